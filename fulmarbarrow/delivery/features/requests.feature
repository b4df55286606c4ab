Feature: One request from its arrival to its end

  Scenario: A slow look-up is asked for at a second upstream
    Given the first register that is asked takes 3 seconds
    When a look-up is sent
    Then it is answered within 1 second
    And no upstream still works on it

  Scenario: A preempted stream goes on where it was
    When a stream is sent and preempted after 70 ms
    Then the caller's stream is whole with nothing twice
    And the stream took 2 attempts

  Scenario: A caller that goes away cancels its stream
    When a stream is sent and its caller goes away after 70 ms
    Then no upstream still works on it

  Scenario: A caller that goes away leaves its order running
    When an order is sent and its caller goes away after 10 ms
    Then the order ran once
    And a resend through another router gets the recorded answer

  Scenario: A slow caller's stream is not taken for silent
    When a stream is sent, paused after 70 ms and silent for 4 seconds
    Then the stream took 1 attempt

  Scenario: The answer of an order is too large to be kept
    Given orders whose answer has 100000 bytes
    When an order is sent
    Then it is answered within 1 second
    And a resend through another router is told answer_not_kept

  Scenario: An upstream that lives on is acquitted of its crash
    When a stream's connection is cut
    Then its digest is a suspect on every router
    When the engine renews its lease 4 seconds later
    Then no digest is a suspect

  Scenario: A suspect never runs on the last healthy upstream
    Given a pool of two engines
    When a poison stream is sent once
    Then 1 engine crashed
    And a resend through another router is told quarantined
