Feature: The replicated log through random faults
  Every schedule crashes hosts at syncs, loses, doubles and reorders messages,
  cuts hosts off, lets clocks run apart, hands leadership over and replaces
  hosts by ones with empty disks.

  Scenario Outline: No schedule breaks the log
    When <schedules> schedules of <steps> steps run over <hosts> hosts
    Then nothing that must hold was broken
    And leaders changed, disks were lost and proposals were acknowledged

    Examples:
      | schedules | steps | hosts |
      | 150       | 500   | 3     |
      | 60        | 500   | 5     |

  Scenario Outline: The checks notice a system that is broken on purpose
    When schedules run over 3 hosts with "<fault>" until a check fails
    Then a check failed within <schedules> schedules

    Examples:
      | fault                              | schedules |
      | sync skipped                       | 300       |
      | ballot forgotten                   | 50        |
      | identity kept on an empty disk     | 300       |
      | clocks beyond the drift bound      | 300       |
