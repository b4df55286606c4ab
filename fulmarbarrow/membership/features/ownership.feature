Feature: Each upstream names the one router that owns it

  Scenario: A single daemon owns every upstream at once
    Given a daemon without seeds
    When 3 upstreams announce themselves once
    Then the daemon owns all 3 upstreams

  Scenario: Routers know the same owner of each upstream
    Given 3 zones with 3 daemons and 4 upstreams each
    Then within 5 s all daemons know the same owner of each upstream
    And each owner is in the zone of its upstream

  Scenario: An upstream whose owner crashed names another
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When the owner of an upstream crashes
    Then within 8 s all daemons know another owner with a higher epoch

  Scenario: An upstream whose owner leaves names another before it is gone
    Given 3 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When the owner of an upstream leaves
    Then within 3 s all daemons know another owner with a higher epoch

  Scenario: Two daemons never own an upstream in the same epoch
    Given 2 zones with 3 daemons and 4 upstreams each
    And 5 s have passed
    When the owner of an upstream crashes
    And the daemons disagree about it for 6 s
    Then no two daemons saw different owners in one epoch

  Scenario: A new daemon takes over its share of the upstreams and no others
    Given 1 zones with 4 daemons and 40 upstreams each
    And 80 s have passed
    When another daemon starts in the zone
    And 80 s have passed
    Then it owns its share of the upstreams
    And no other upstream has changed its owner

  Scenario: An upstream that names no owner has one while routers agree
    Given 2 zones with 3 daemons and 4 upstreams each that name no owner
    Then within 5 s the daemons of each zone know the same owner in epoch 0

  Scenario: An upstream that names no owner has none while routers disagree
    Given 2 zones with 3 daemons and 4 upstreams each that name no owner
    And 5 s have passed
    When one daemon reports another view of its zone
    Then it leaves the upstreams of its zone without an owner
