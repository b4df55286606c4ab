Feature: A silent upstream is left once another one can go on

  # Guards against streams that are broken off by the silence of a sound worker.
  Scenario: A stream goes on after a silence if no other upstream takes it
    Given a pool of one engine
    When a stream's engine pauses for 2600 ms
    Then the caller's stream is complete without duplicates
    And the stream took 1 attempt

  Scenario: Streams go on after a silence that all upstreams share
    Given a pool of two engines
    When 8 streams are sent and all engines pause for 2400 ms
    Then every stream is complete
    And 8 attempts were made

  Scenario: Streams go on after a silence if the budget allows no retry
    Given a pool of two engines and a budget of 2 retries
    When 8 streams are sent and all engines pause for 3500 ms
    Then every stream is complete

  Scenario: A stream that goes on before another upstream is found stays
    Given a pool of two engines
    And placement takes 300 ms
    When a stream's engine pauses for 2100 ms
    Then the caller's stream is complete without duplicates
    And the stream took 1 attempt

  Scenario: A stream moves once another upstream is found
    Given a pool of two engines
    When a stream's engine pauses for 9000 ms
    Then the caller's stream is complete without duplicates
    And the stream took 2 attempts
    And its longest gap was less than 2200 ms
