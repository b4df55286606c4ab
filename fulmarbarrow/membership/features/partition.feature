Feature: A zone that is cut off goes on, and heals without a burst

  Background:
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed

  Scenario: A zone cut off keeps its own upstreams and hides the others
    When the first zone is cut off
    And 12 s have passed
    Then daemons in the first zone know only its upstreams
    And the other daemons know all upstreams but those

  Scenario: A healed zone is whole again
    When the first zone is cut off
    And 30 s have passed
    And the cut is healed
    Then within 20 s all daemons know all upstreams
    And within 20 s all daemons hold the same records
    And no upstream of a zone was gone for its own daemons

  Scenario: Changes on both sides of a cut are merged
    When the first zone is cut off
    And 12 s have passed
    And an upstream joins in each zone
    And an upstream of each zone crashes
    And 12 s have passed
    And the cut is healed
    Then within 20 s all daemons know the same upstreams
    And within 20 s all daemons hold the same records

  Scenario: All zones cut off from each other at once
    When all zones are cut off
    And 30 s have passed
    Then each daemon knows the upstreams of its zone alone
    When the cut is healed
    Then within 20 s all daemons know all upstreams

  Scenario: A zone whose entry hosts all crash keeps its upstreams
    When all daemons of the first zone crash
    And 20 s have passed
    Then the daemons know all upstreams
    And each upstream has an owner that runs
