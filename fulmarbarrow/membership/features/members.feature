Feature: All routers know who is alive

  Scenario: A daemon joins by one seed and learns everything
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When another daemon starts in the zone
    Then within 3 s it knows all daemons and upstreams
    And within 3 s all daemons know it

  Scenario: A fleet whose daemons all start at once soon knows itself
    Given 3 zones with 23 daemons and 22 upstreams each
    Then within 15 s every daemon knows all others and 95 % of the upstreams

  Scenario: Seeds that all restart learn of the others, which went on
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When the first 3 daemons crash
    And they start again 3 s later and know only each other
    Then within 3 s every daemon knows all others and 95 % of the upstreams

  Scenario: Gossip that can't be unpacked is dropped
    Given 1 zones with 2 daemons and 2 upstreams each
    And 5 s have passed
    When damaged gossip arrives
    Then within 1 s it knows all daemons and upstreams

  Scenario: A daemon whose seed is down serves alone and joins later
    Given 1 zones with 2 daemons and 2 upstreams each
    And 5 s have passed
    When the seed is down
    And another daemon starts in the zone
    And 4 s have passed
    And the seed starts again
    Then within 8 s it knows all daemons and upstreams

  Scenario: A crashed daemon is found dead by all and by none without cause
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When a daemon crashes
    Then within 8 s all daemons believe it dead
    And no other daemon was believed dead

  Scenario: Lost frames make no daemon dead
    Given a network that loses 0.1 of all frames
    And 3 zones with 3 daemons and 4 upstreams each
    When 60 s have passed
    Then no other daemon was believed dead

  Scenario: A daemon that restarts is not confused with its old self
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When a daemon crashes
    And it starts again 1 s later
    And 12 s have passed
    Then all daemons know its new incarnation as alive
    When late news says that its old incarnation is dead
    Then all daemons know its new incarnation as alive

  Scenario: A daemon refutes a suspicion
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When a daemon wrongly suspects another
    And 6 s have passed
    Then no other daemon was believed dead
    And all daemons know it as alive

  Scenario: An upstream that crashed is gone for all
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream crashes
    Then within 6 s no daemon knows it

  Scenario: An upstream that crashed together with its owner is gone for all
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream and its owner crash
    Then within 14 s no daemon knows it

  Scenario: Only announcements at every daemon in turn keep a lease
    Given 3 zones with 3 daemons and 4 upstreams each
    When 60 s have passed
    Then no daemon was told that an upstream is gone

  Scenario: Leaving reaches every router within two seconds
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream says that it is leaving
    Then within 2 s every daemon knows that it is leaving

  Scenario: Leaving reaches every router though its owner has just crashed
    Given 3 zones with 8 daemons and 4 upstreams each
    And 10 s have passed
    When the owner of an upstream crashes
    And that upstream says that it is leaving
    Then within 2 s every daemon knows that it is leaving

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
    When an upstream says that it is leaving
    And it stops
    And 6 s have passed
    And it announces its old incarnation for 3 s
    Then no daemon knows it
    And its announcement was refused as already_left

  Scenario: An upstream that restarts is back at once
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream crashes
    And it starts again as a new incarnation
    Then within 3 s every daemon knows its new incarnation

  Scenario: An upstream that flaps is held back longer each time
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When an upstream crashes and starts again 5 times
    Then each return after the second took longer than the one before

  Scenario: Announcements that overtake each other do not turn time back
    Given a daemon without seeds
    When 1 upstreams announce themselves once
    And an older announcement of it arrives
    Then its announcement was refused as stale_sequence
