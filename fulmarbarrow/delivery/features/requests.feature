Feature: Lifecycle of a single request

  Scenario: A slow look-up is hedged at a second upstream
    Given the first register that gets a request takes 3 seconds
    When a look-up is sent
    Then it completes within 1 second
    And no upstream still processes it

  Scenario: A preempted stream resumes where it stopped
    When a stream is sent and preempted after 70 ms
    Then the caller's stream is complete without duplicates
    And the stream took 2 attempts

  Scenario: A stream is cancelled when its caller disconnects
    When a stream is sent and its caller disconnects after 70 ms
    Then no upstream still processes it

  Scenario: An order runs to its end when its caller disconnects
    When an order is sent and its caller disconnects after 10 ms
    Then the order ran once
    And a resend through another router gets the recorded response

  Scenario: A stream paused by a slow caller does not time out as silent
    When a stream is sent, paused after 70 ms and silent for 4 seconds
    Then the stream took 1 attempt

  Scenario: The response of an order is too large for the journal
    Given orders whose response has 100000 bytes
    When an order is sent
    Then it completes within 1 second
    And a resend through another router is refused with answer_not_kept

  # Guards against an upstream's status by which callers take an order that has
  # run for one that has not (REFUSED).
  Scenario: A register's 503 after a run reaches no caller of an order
    Given every register answers its first request with 503 after its run
    When an order is sent
    Then it is refused with outcome_unknown
    And the order ran once
    And a resend through another router is refused with outcome_unknown

  Scenario: A register's 503 after a run is not passed on for a look-up either
    Given every register answers 503 after its run
    When a look-up is sent
    Then it is refused with upstream_failed

  Scenario: A hedge's 429 after a run does not end its look-up
    Given the first register that gets a request takes 3 seconds
    And every register answers its first request with 429 after its run
    When a look-up is sent
    Then it ends with no status that tells it has not run

  Scenario: A 503 that an earlier build has recorded is not replayed
    When an order is sent whose recorded answer is a 503
    Then it is refused with upstream_failed

  Scenario: A leaving engine that closes its connections implicates no prompt part
    When the connections of 4 leaving engines break under a shared part, 400 ms apart
    Then no prompt part is quarantined on any router

  Scenario: A lease renewal after a presumed crash clears the suspect
    When a stream's connection is cut
    Then its digest is a suspect on every router
    When the engine renews its lease 4 seconds later
    Then no digest is a suspect

  # Guards against an upstream that is left out because a peer was stopped.
  Scenario: A lost relay is no evidence against the upstream or the request
    When the peer that relays a stream is lost
    Then no digest is a suspect

  Scenario: A suspect is never dispatched to the last healthy upstream
    Given a pool of two engines
    When a poison stream is sent once
    Then 1 engine crashed
    And a resend through another router is refused with quarantined

  # Guards against sound look-ups that are refused, as upstreams that failed at
  # once or were lost by others ran them.
  Scenario: A look-up that comes alike again and again is served after crashes at once
    Given suspects run beside other requests, and 6 registers
    When look-ups that are alike go on, and 3 registers crash at once, 3 times
    Then no digest is quarantined on any router
    And the look-ups are answered from 1 s after each crash on
