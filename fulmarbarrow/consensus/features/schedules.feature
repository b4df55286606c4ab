Feature: The replicated log under random faults
  Each schedule crashes hosts at syncs, drops, duplicates and reorders messages,
  partitions hosts, skews clocks, hands leadership over and replaces hosts with
  ones that have empty disks.

  Scenario Outline: No schedule violates an invariant of the log
    When <schedules> schedules of <steps> steps run over <hosts> hosts
    Then no invariant was violated
    And leaders changed, disks were lost and proposals were acknowledged

    Examples:
      | schedules | steps | hosts |
      | 150       | 500   | 3     |
      | 60        | 500   | 5     |

  Scenario Outline: Nothing acknowledged is lost with disks and the power of all
    When <schedules> schedules over <hosts> hosts end with the loss of all power and <disks> disks
    Then no invariant was violated
    And each schedule lost its power

    Examples:
      | schedules | hosts | disks |
      | 120       | 3     | 1     |
      | 60        | 5     | 2     |
      | 40        | 6     | 2     |

  Scenario: The loss of all power and of disks is noticed if the sync is skipped
    When 300 schedules over 3 hosts lose all power and 1 disks without a sync
    Then an invariant was violated

  Scenario Outline: The checks detect deliberate faults
    When schedules run over 3 hosts with "<fault>" until a check fails
    Then a check failed within <schedules> schedules

    Examples:
      | fault                              | schedules |
      | sync skipped                       | 300       |
      | ballot forgotten                   | 50        |
      | identity kept on an empty disk     | 300       |
      | clocks beyond the drift bound      | 300       |
