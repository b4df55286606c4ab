Feature: A control host takes announcements of upstreams that name no owner

  Scenario: Nothing is acknowledged that no router can be told
    Given a control host that knows no router
    When upstream "e1" announces itself
    Then it is refused as not_joined

  Scenario: The control host names the owner, and keeps it
    Given a control host that knows routers "r1 r2 r3"
    When upstream "e1" announces itself
    Then the record that is passed on names a router as owner
    When upstream "e1" announces itself again 20 s later
    Then the same owner is named in the same epoch

  Scenario: A lost owner is replaced with a later epoch
    Given a control host that knows routers "r1 r2 r3"
    When upstream "e1" announces itself
    And its owner dies
    And upstream "e1" announces itself again 2 s later
    Then another owner is named with a higher epoch

  Scenario: Leaving is told at once to every router, whatever else changed
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" announces that it leaves, no longer cold
    Then every router is told at once, as urgent news, that "e1" leaves

  Scenario: A good-bye without a record is told as leaving
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" is withdrawn
    Then every router is told at once, as urgent news, that "e1" leaves
    And it is acknowledged

  Scenario: A good-bye of an upstream that is not known here is for another host
    Given a control host that knows routers "r1 r2 r3"
    When upstream "e9" is withdrawn
    Then it is refused as not_known

  Scenario: After a pause of its own a holder ends no lease
    Given a router that holds the lease of "e1"
    When it stands still for 20 s
    Then "e1" is not gone after 2 s
    But it is gone after 14 s without an announcement
