Feature: A control host accepts announcements of upstreams that name no owner

  Scenario: An announcement is refused while no router is known
    Given a control host that knows no router
    When upstream "e1" announces itself
    Then it is refused as not_joined

  Scenario: The control host names an owner and keeps it
    Given a control host that knows routers "r1 r2 r3"
    When upstream "e1" announces itself
    Then the forwarded record names a router as owner
    When upstream "e1" announces itself again 20 s later
    Then the same owner is named in the same epoch

  Scenario: A failed owner is replaced by one with a higher epoch
    Given a control host that knows routers "r1 r2 r3"
    When upstream "e1" announces itself
    And its owner crashes
    And upstream "e1" announces itself again 2 s later
    Then another owner is named with a higher epoch

  Scenario: A leaving upstream is broadcast at once, even if other fields changed
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" announces that it leaves, no longer cold
    Then every router is sent at once, as urgent, that "e1" is leaving

  Scenario: A withdrawal without a record is broadcast as leaving
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" is withdrawn
    Then every router is sent at once, as urgent, that "e1" is leaving
    But it is not acknowledged yet
    When the routers acknowledge that "e1" is leaving
    Then it is acknowledged

  Scenario: A withdrawal that no router acknowledges is refused, for another host to try
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" is withdrawn
    And no router acknowledges it for 750 ms
    Then it is refused as not_confirmed

  Scenario: A withdrawal among routers of an earlier build is acknowledged
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    And the routers answer its probes
    When upstream "e1" is withdrawn
    And no router acknowledges it for 750 ms
    Then it is acknowledged

  Scenario: A withdrawal is refused if the routers that acknowledged one before don't
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    And upstream "e2" is known
    And the routers answer its probes
    When upstream "e1" is withdrawn
    And the routers acknowledge that "e1" is leaving
    Then it is acknowledged
    When upstream "e2" is withdrawn
    And no router acknowledges it for 750 ms
    Then it is refused as not_confirmed

  Scenario: A withdrawal is acknowledged although one router is lost
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" is withdrawn
    And router "r1" alone acknowledges that "e1" is leaving
    But it is not acknowledged yet
    When no router acknowledges it for 750 ms
    Then it is acknowledged

  Scenario: A leave of an upstream that this host does not know is broadcast
    Given a control host that knows routers "r1 r2 r3"
    When upstream "e1" announces that it leaves, no longer cold
    Then every router is sent at once, as urgent, that "e1" is leaving
    But it is not acknowledged yet

  # Guards against a withdrawal that a late announcement undoes (DRAIN).
  Scenario: An announcement from before a withdrawal does not undo it
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" is withdrawn
    And upstream "e1" announces itself with sequence 40
    Then it is refused as already_left

  Scenario: An upstream that starts again under its id is taken
    Given a control host that knows routers "r1 r2 r3"
    And upstream "e1" is known
    When upstream "e1" is withdrawn
    And a later incarnation of upstream "e1" announces itself
    Then it is acknowledged

  Scenario Outline: A record from before a leave does not undo it, whatever came first
    Given a router that knows upstream "e1" by its record 5
    When it hears that "e1" leaves at sequence <leave>, of a record that it does not have
    And it hears of record <late> of "e1"
    Then it knows that "e1" is <state>

    Examples:
      | leave            | late | state   |
      | 9                | 8    | leaving |
      | 9                | 10   | serving |
      | 9007199254740992 | 40   | leaving |

  # Guards against a change of the owner that arrives after the leave.
  Scenario: A delta from before a leave does not undo it
    Given a router that knows upstream "e1" by its record 5
    When it hears that "e1" leaves at sequence 9, of a record that it does not have
    And it hears of a change of "e1" from record 5 to 8
    Then it knows that "e1" is leaving
    When it hears of a change of "e1" from record 8 to 10
    Then it knows that "e1" is serving

  Scenario: A withdrawal of an unknown upstream is refused, for another host to try
    Given a control host that knows routers "r1 r2 r3"
    When upstream "e9" is withdrawn
    Then it is refused as not_known

  Scenario: A lease holder whose process was paused does not end leases at once
    Given a router that holds the lease of "e1"
    When its process is paused for 20 s
    Then "e1" is not gone after 2 s
    But it is gone after 14 s without an announcement
