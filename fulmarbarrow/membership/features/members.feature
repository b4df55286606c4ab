Feature: Daemons and upstreams are discovered and their failures detected

  Scenario: A daemon joins through one seed and receives all records
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When another daemon starts in the zone
    Then within 3 s it knows all daemons and upstreams
    And within 3 s all daemons know it

  Scenario: A fleet whose daemons all start at once converges
    Given 3 zones with 23 daemons and 22 upstreams each
    Then within 15 s every daemon knows all others and 95 % of the upstreams

  Scenario: Seeds that all restart rediscover the daemons that kept running
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When the first 3 daemons crash
    And they start again 3 s later and know only each other
    Then within 3 s every daemon knows all others and 95 % of the upstreams

  Scenario: Gossip that can't be decompressed is dropped
    Given 1 zones with 2 daemons and 2 upstreams each
    And 5 s have passed
    When malformed gossip arrives
    Then within 1 s it knows all daemons and upstreams

  Scenario: A daemon whose seed is down starts on its own and joins later
    Given 1 zones with 2 daemons and 2 upstreams each
    And 5 s have passed
    When the seed is down
    And another daemon starts in the zone
    And 4 s have passed
    And the seed starts again
    Then within 8 s it knows all daemons and upstreams

  Scenario: A crashed daemon is declared dead by all, and no running one is
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When a daemon crashes
    Then within 8 s all daemons consider it dead
    And no running daemon was declared dead

  Scenario: Lost frames do not cause a daemon to be declared dead
    Given a network that loses 0.1 of all frames
    And 3 zones with 3 daemons and 4 upstreams each
    When 60 s have passed
    Then no running daemon was declared dead

  Scenario: A restarted daemon is not confused with its previous incarnation
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When a daemon crashes
    And it starts again 1 s later
    And 12 s have passed
    Then all daemons consider its new incarnation alive
    When a delayed message reports its old incarnation as dead
    Then all daemons consider its new incarnation alive

  Scenario: A daemon refutes a suspicion
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When a daemon wrongly suspects another
    And 6 s have passed
    Then no running daemon was declared dead
    And all daemons consider it alive

  Scenario: A crashed upstream is removed by all daemons
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream crashes
    Then within 6 s no daemon knows it

  Scenario: An upstream that crashed together with its owner is removed by all
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream and its owner crash
    Then within 14 s no daemon knows it

  Scenario: Announcements that reach a different daemon each time keep a lease
    Given 3 zones with 3 daemons and 4 upstreams each
    When 60 s have passed
    Then no daemon was notified that an upstream is gone

  Scenario: Every router knows within two seconds that an upstream is leaving
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream announces that it is leaving
    Then within 2 s every daemon knows that it is leaving

  Scenario: Every router knows of a leaving upstream whose owner just crashed
    Given 3 zones with 8 daemons and 4 upstreams each
    And 10 s have passed
    When the owner of an upstream crashes
    And that upstream announces that it is leaving
    Then within 2 s every daemon knows that it is leaving

  # Guards against a leave that is acknowledged and not spread (DRAIN).
  Scenario: A withdrawal is spread by a daemon that forwards many announcements
    Given 4 zones with 23 daemons and 16 upstreams each
    And 5 s have passed
    And one daemon has taken the announcements of all upstreams for 12 s
    When an upstream withdraws there
    Then within 2 s every daemon knows that it is leaving

  Scenario: A withdrawal outranks announcements that its host never got
    Given 4 zones with 23 daemons and 16 upstreams each
    And 5 s have passed
    And one daemon has taken the announcements of all upstreams for 12 s
    When an upstream withdraws at another daemon
    And its last announcement arrives late at each daemon
    And 2 s have passed
    Then within 1 s every daemon knows that it is leaving

  Scenario: An announcement that arrives after the tombstone changes nothing
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream crashes
    And 6 s have passed
    And its last announcement arrives late at each daemon
    Then no daemon knows it
    When 5 s have passed
    Then no daemon knows it

  Scenario: An upstream that left does not come back in its old incarnation
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream announces that it is leaving
    And it stops
    And 6 s have passed
    And it announces its old incarnation for 3 s
    Then no daemon knows it
    And its announcement was refused as already_left

  Scenario: A restarted upstream is live again at once
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream crashes
    And it starts again as a new incarnation
    Then within 3 s every daemon knows its new incarnation

  Scenario: The return of a flapping upstream is delayed longer each time
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream crashes and starts again 5 times
    Then each return after the second took longer than the one before

  Scenario: An announcement that arrives out of order is refused
    Given a daemon without seeds
    When 1 upstreams announce themselves once
    And an older announcement of it arrives
    Then its announcement was refused as stale_sequence
