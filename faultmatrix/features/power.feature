Feature: A fleet that lost all its power enforces what was accepted last

  # Guards against routers that refuse by a configuration that was replaced (CONFIG).
  Scenario: No host enforces a revision that was replaced before the loss
    Given 10 fleets whose control hosts write a snapshot after 8 entries
    And 10 changes were published
    When all hosts lose their power for 1.0 s
    And 4.0 s pass
    Then no check is breached in any fleet
    And revision 10 is in force on all hosts of every fleet

  # Guards against routers that take a wait without a leader for a cut (CONFIG).
  Scenario: Routers that restart wait for a leader, however long there is none
    Given 10 fleets whose control hosts write a snapshot after 8 entries
    And 4 changes were published
    When "control-a" is cut off from the other control hosts
    And 3.0 s pass
    And 6 more changes are published
    And the cut ends as "control-c" goes dark and "control-b" loses its disk
    And all routers lose their power for 0.5 s
    And 12.0 s pass
    Then no check is breached in any fleet
    And no revision is in force on any router of any fleet
    When "control-c" starts again
    And 4.0 s pass
    Then no check is breached in any fleet
    And revision 10 is in force on all hosts of every fleet

  # What serves through cuts goes on: a zone alone keeps what it has.
  Scenario: A zone that is cut off when its power returns goes on with what it has
    Given 10 fleets whose control hosts write a snapshot after 8 entries
    And 10 changes were published
    When zone "a" is cut off and all hosts lose their power for 1.0 s
    And 4.5 s pass
    Then no revision is in force in zone "a" of any fleet
    When 3.0 s pass
    Then no check is breached in any fleet
    And a revision is in force on all routers in zone "a" of every fleet
    And revision 10 is in force on all hosts of the other zones of every fleet

  Scenario: Routers that keep running keep their revision without a leader
    Given 10 fleets whose control hosts write a snapshot after 8 entries
    And 10 changes were published
    When all control hosts lose their power for 1.0 s
    And 0.2 s pass
    Then revision 10 is in force on all routers of every fleet
    When 6.0 s pass
    Then no check is breached in any fleet
    And revision 10 is in force on all hosts of every fleet

  # Guards against a fleet that waits a second longer than it has to.
  Scenario: Control hosts that reach each other late elect a leader at once
    Given 10 fleets whose control hosts write a snapshot after 8 entries
    And 3 changes were published
    When all hosts lose their power for 1.0 s, and control hosts reach nobody for 1.7 s
    And 0.5 s pass
    Then each fleet has a leader

  # Guards against a change that only a leader that was lost could tell (CONFIG).
  Scenario Outline: A change reaches routers that run as its leader is lost: <reached>
    Given 10 fleets whose control hosts write a snapshot after 8 entries
    And 4 changes were published
    When one more is accepted by a leader that reaches <reached>, and is lost then
    And the two others don't reach each other
    And 2.0 s pass
    Then no check is breached in any fleet
    And revision 5 is in force on all routers of every fleet

    Examples:
      | reached             |
      | half of the routers |
      | none of the routers |
