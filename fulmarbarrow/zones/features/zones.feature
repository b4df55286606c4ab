Feature: An availability zone leaves and returns by published files

  Scenario: A zone that is taken out gets no new work at once
    Given a router that knows 3 zones
    When a revision has the zone attica-b out
    Then its weight is 0 and the others' is 1

  Scenario: A zone returns after its warm-up in small steps
    Given a router that knows 3 zones
    When a revision has the zone attica-b out
    And a later revision has it in again
    Then its weight stays 0 for 8 s
    And then climbs to 1 within 31 s by steps of at most 0.1

  Scenario: A zone taken out again while it returns gets no work at once
    Given a router that knows 3 zones
    When a revision has the zone attica-b out
    And a later revision has it in again
    And 20 s pass
    And a later revision has it out again
    Then its weight is 0 and the others' is 1

  Scenario: News of a zone is followed ahead of the revision and kept
    Given a router that knows 3 zones
    When another router tells that revision 5 has attica-b out
    Then its weight is 0 and the others' is 1
    When revision 4 comes into force with all zones in
    Then its weight is 0 and the others' is 1
    When revision 6 comes into force with all zones in
    And 40 s pass
    Then the weight of every zone is 1

  Scenario: A router that restarts finds a zone out in its configuration
    Given a router that has just started
    When a revision has the zone attica-b out
    Then its weight is 0 and the others' is 1
    And it tells nobody within 2 s

  Scenario: A revision that one router has reaches all within two seconds
    Given 3 zones with 8 routers and 4 upstreams each
    When one router puts a revision in force that has attica-1 out
    Then within 2 s no router gives new work to attica-1

  Scenario: A lost notice does not keep a zone in once the revision comes
    Given a router that knows 3 zones
    When a revision has the zone attica-b out
    And another router tells that revision 1 has attica-b in
    Then its weight is 0 and the others' is 1

  Scenario: Entry hosts of an out zone go on by the other zones' upstreams
    Given 3 zones with 3 routers and 4 upstreams each
    When every router puts a revision in force that has attica-1 out
    And 100 chats ask the routers of attica-1
    Then all are placed and none in attica-1

  Scenario: A zone cut off goes on with its own upstreams
    Given 3 zones with 3 routers and 4 upstreams each
    When the zone attica-1 is cut off for 12 s
    And 100 chats ask the routers of attica-1
    Then all are placed and all in attica-1

  Scenario: Only chats of an out zone move, and the same ones come back
    Given 3 zones with 3 routers and 4 upstreams each
    When 300 chats ask the routers of attica-0
    And every router puts a revision in force that has attica-1 out
    And the same chats ask again
    Then only those of attica-1 have moved
    When every router puts a revision in force that has all zones in
    And 45 s have gone by
    And the same chats ask again
    Then every chat is where it was at first
