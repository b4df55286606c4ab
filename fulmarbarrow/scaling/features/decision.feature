Feature: The number of upstreams follows the offered work

  Scenario: A jump is followed without many more upstreams than it needs
    When the load "jump" is replayed
    Then at most 3 requests in 100 are lost
    And 8 or more upstreams are ordered in each zone within 5 s of second 60
    And no zone gets more than 13 upstreams

  Scenario: A slow rise is ordered ahead of its arrival
    When the load "slow rise" is replayed
    Then at most 0.2 requests in 100 are lost

  Scenario: A wave with the period of the start time is not followed
    When the load "wave" is replayed
    Then at most 0.2 requests in 100 are lost
    And there are at most 15 orders

  Scenario: Zones that remain take over the work of a lost one
    When the load "zone lost" is replayed
    Then at most 1 request in 100 is lost
    And the zones "b" and "c" have 9 or more upstreams ordered by second 62
    And zone "a" gets no order after second 60

  Scenario: The work of a lost zone is expected for a limited time
    Given steady work for which 4 upstreams are ordered
    And a second zone with the same work that was lost 2 s ago
    When its figures have nothing wrong
    Then the number is raised to 5 or more
    When 60 s pass with the same work
    Then the number is lowered to 1

  Scenario: Crashes do not look like lower demand
    When the load "crashes" is replayed
    Then no number below 9 is ordered for zone "a"

  Scenario Outline: Wrong figures leave the last order unchanged
    Given steady work for which 4 upstreams are ordered
    When its figures have <fault>
    Then the number stays unchanged

    Examples:
      | fault                  |
      | a negative rate        |
      | a rate that is NaN     |
      | an infinite rate       |
      | a time of 10^9 s       |
      | negative waiting       |
      | a gap in the window    |
      | a router missing       |
      | no sample              |
      | an old last sample     |
      | no known slots         |
      | a rollout in progress  |
      | no order and no time to register |
      | a raise just before    |

  Scenario: Low work without a fault lowers the number
    Given steady work for which 4 upstreams are ordered
    When its figures have nothing wrong
    Then the number is lowered to 1
