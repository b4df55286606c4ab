Feature: A partitioned zone keeps working and heals without a burst of traffic

  Background:
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed

  Scenario: A partitioned zone keeps its own upstreams and hides the others
    When the first zone is partitioned
    And 12 s have passed
    Then daemons in the first zone know only its upstreams
    And the other daemons know all upstreams but those

  Scenario: A healed zone converges with the others
    When the first zone is partitioned
    And 30 s have passed
    And the partition is healed
    Then within 20 s all daemons know all upstreams
    And within 20 s all daemons hold the same records
    And no daemon was notified that an upstream of its own zone is gone

  Scenario: Changes on both sides of a partition are merged
    When the first zone is partitioned
    And 12 s have passed
    And an upstream joins in each zone
    And an upstream of each zone crashes
    And 12 s have passed
    And the partition is healed
    Then within 20 s all daemons know the same upstreams
    And within 20 s all daemons hold the same records

  Scenario: All zones are partitioned from each other at once
    When all zones are partitioned
    And 30 s have passed
    Then each daemon knows only the upstreams of its zone
    When the partition is healed
    Then within 20 s all daemons know all upstreams

  Scenario: A zone whose daemons all crash keeps its upstreams
    When all daemons of the first zone crash
    And 20 s have passed
    Then the daemons know all upstreams
    And each upstream has a running owner
