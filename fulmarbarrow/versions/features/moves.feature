Feature: Version moves complete or are rolled back

  Scenario: A move to a good version completes by its deadline
    Given a version move
    When the move runs until it ends
    Then it is completed before its deadline
    And at least 5 of 6 engines served at all times

  Scenario Outline: A version that <fault> is rolled back
    Given a version move whose new version <fault>
    When the move runs until it ends
    Then it is rolled back with a reason that starts with "<reason>"
    And the fault affected at most 5% of the attempts
    And it affected no attempt later than 2 seconds after it was found

    Examples:
      | fault              | reason |
      | fails at once      | errors |
      | slow at once       | slow   |
      | fails later        | errors |
      | slow later         | slow   |
      | fails under load   | errors |
      | slow under load    | slow   |
      | fails on one route | errors |
      | slow on one route  | slow   |

  Scenario: A move that is not complete by its deadline is rolled back
    Given a version move whose loads take 80 seconds each
    When the move runs until it ends
    Then it is rolled back with a reason that starts with "not complete by its deadline"

  Scenario: An engine that refuses its order does not block the move
    Given a version move of which 1 engine refuses orders
    When it runs until the phase watching
    Then the refused order went to another engine

  Scenario: The share stays under its cap until the canary has passed
    Given a version move
    When it runs until the phase expanding
    Then the share was never above 5% before

  Scenario: A restarted router learns the share from other daemons
    Given a version move
    When it runs until the phase watching
    And a router restarts
    Then it sends nothing to the new version at first
    But it has the others' share after a few messages

  # Guards against requests to a version that the leader has taken back.
  Scenario: A restarted router takes no share on another router's word
    Given a router that knows 7 daemons and has a move
    When another router tells it share 0.4 of step 7
    Then its share of the new version is 0.0
    When the leader sends it share 0.1 of step 6
    Then its share of the new version is 0.1
    When another router tells it share 0.4 of step 7
    Then its share of the new version is 0.4

  Scenario: A restarted router that is cut off takes the share that it was told
    Given a router that knows 7 daemons and has a move
    When another router tells it share 0.4 of step 7
    And this side of the network is cut off
    Then its share of the new version is 0.4

  # Guards against shares that other daemons tell a router after a cut.
  Scenario: A router whose cut has ended takes no share on another router's word
    Given a router that knows 7 daemons and has a move
    When this side of the network is cut off
    And a leader confirms the revision that is in force
    And another router tells it share 0.4 of step 7
    Then its share of the new version is 0.0

  Scenario: A host that hands its leadership over takes no step and sends no share
    Given a version move
    When it runs until the phase loading
    And the control host hands its leadership over
    Then the move takes no step and no share is sent for 30 seconds

  Scenario: A restarted router never resumes a stopped version
    Given a version move whose new version fails at once
    When it runs until the phase taking_back
    And a router restarts
    And the share from before the stop arrives late
    Then it sends nothing to the new version at first
    And it sends nothing to the new version after a few messages

  Scenario: A delayed share does not replace a newer one
    Given a version move
    When it runs until the phase watching
    And the share of an earlier step arrives late
    Then every router keeps its share

  Scenario: A new leader waits for the old lease if engines ignore fencing
    Given a version move with engines that ignore fencing numbers
    When it runs until the phase expanding
    And a new term begins
    Then no order is sent for 4 seconds
    And the next order carries a higher fencing number

  Scenario: A restarted control host continues the move
    Given a version move
    When it runs until the phase expanding
    And the control host restarts from a snapshot and becomes leader again
    Then the move is still expanding at the same share
    And it runs until the phase completed

  Scenario Outline: Reports without signs of a fault are less frequent in a large fleet
    Given a router that knows <daemons> daemons and has a move
    When it observes successful attempts of both versions for 60 seconds
    Then it reports between <least> and <most> times to each control host

    Examples:
      | daemons | least | most |
      | 7       | 58    | 61   |
      | 399     | 5     | 7    |

  Scenario: Signs of a fault are reported every second in a large fleet
    Given a router that knows 399 daemons and has a move
    When it observes 3 failed attempts, then successful ones for 10 seconds
    Then it reports between 8 and 11 times to each control host
