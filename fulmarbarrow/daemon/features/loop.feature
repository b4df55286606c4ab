Feature: The event loop of a daemon takes few turns

  Scenario: What a turn writes is sent without waiting for the kernel
    Given a connection over the daemon's reactor
    When 20 requests are sent, each after the answer to the one before
    Then every byte came in order
    And no connection was watched for room

  Scenario: What the kernel has no room for is sent once it has
    Given a connection over the daemon's reactor
    When 8 MB are written at once to a reader that waits for 300 ms
    Then every byte came in order
    And a connection was watched for room

  Scenario: A connection that is closed after a write sends it first
    Given a connection over the daemon's reactor
    When 1 MB are written and the connection is closed at once
    Then every byte came in order

  Scenario: A placement without work ticks rarely, and soon when work comes
    Given placement ticks of 50 ms with work and 200 ms without
    When 2 seconds pass without work
    Then there were between 10 and 11 ticks
    When a request arrives that waits for 1 second
    Then the next tick comes within 50 ms
    And there are between 20 and 21 ticks while it waits

  Scenario: A placement tick that fails is not the last one
    Given placement ticks of 50 ms with work and 200 ms without
    And each tick fails
    When 2 seconds pass without work
    Then there were between 10 and 11 ticks
