Feature: Published files take an availability zone out and bring it back

  Scenario: A zone that is taken out stops receiving new work immediately
    Given a router with 3 configured zones
    When a revision takes the zone attica-b out
    Then its weight is 0 and the others' is 1

  Scenario: A zone's weight rises in small steps after its warm-up
    Given a router with 3 configured zones
    When a revision takes the zone attica-b out
    And a later revision brings it back
    Then its weight stays 0 for 8 s
    And then rises to 1 within 31 s by steps of at most 0.1

  Scenario: A zone taken out again during its ramp gets no new work
    Given a router with 3 configured zones
    When a revision takes the zone attica-b out
    And a later revision brings it back
    And 20 s pass
    And a later revision takes it out again
    Then its weight is 0 and the others' is 1

  Scenario: A notice takes effect before its revision and overrides older ones
    Given a router with 3 configured zones
    When another router announces that revision 5 has attica-b out
    Then its weight is 0 and the others' is 1
    When revision 4 is applied with all zones in
    Then its weight is 0 and the others' is 1
    When revision 6 is applied with all zones in
    And 40 s pass
    Then the weight of every zone is 1

  Scenario: A restarted router does not announce a zone that is out
    Given a router that has just started
    When a revision takes the zone attica-b out
    Then its weight is 0 and the others' is 1
    And it announces nothing within 2 s

  Scenario: A zone change at one router reaches all routers within 2 s
    Given 3 zones with 8 routers and 4 upstreams each
    When one router applies a revision that has attica-1 out
    Then within 2 s no router sends new work to attica-1

  Scenario: A late notice of an older revision does not bring a zone back
    Given a router with 3 configured zones
    When a revision takes the zone attica-b out
    And another router announces that revision 1 has attica-b in
    Then its weight is 0 and the others' is 1

  Scenario: Routers of a zone that is out use the other zones' upstreams
    Given 3 zones with 3 routers and 4 upstreams each
    When every router applies a revision that has attica-1 out
    And 100 chats send a request to the routers of attica-1
    Then all are placed and none in attica-1

  Scenario: A partitioned zone continues with its own upstreams
    Given 3 zones with 3 routers and 4 upstreams each
    When the zone attica-1 is partitioned from the others for 12 s
    And 100 chats send a request to the routers of attica-1
    Then all are placed and all in attica-1

  Scenario: Only chats of the zone taken out move, and all return
    Given 3 zones with 3 routers and 4 upstreams each
    When 300 chats send a request to the routers of attica-0
    And every router applies a revision that has attica-1 out
    And the same chats send another request
    Then only those of attica-1 have moved
    When every router applies a revision with all zones in
    And 45 s have passed
    And the same chats send another request
    Then every chat is on its original upstream
