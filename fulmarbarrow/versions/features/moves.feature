Feature: Version moves finish or are taken back

  Scenario: A good version takes over by its deadline
    Given a version move
    When the move is played to its end
    Then it is completed before its deadline
    And never fewer than 5 of 6 engines served

  Scenario Outline: A version that <fault> is taken back
    Given a version move whose new version <fault>
    When the move is played to its end
    Then it is taken back for <reason>
    And at most 5% of the attempts were hurt until the fault was found
    And none was hurt from 2 seconds after

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

  Scenario: A move that can't be complete by its deadline is taken back
    Given a version move whose loads take 80 seconds each
    When the move is played to its end
    Then it is taken back for not complete by its deadline

  Scenario: An engine that refuses its order does not hold the move up
    Given a version move of which 1 engine refuses orders
    When it is played until the phase watching
    Then the refused order went to another engine

  Scenario: The share stays under its cap until the version is proven
    Given a version move
    When it is played until the phase expanding
    Then the share was never above 5% before

  Scenario: A router that restarts learns the share from the others
    Given a version move
    When it is played until the phase watching
    And a router restarts
    Then it sends nothing to the new version at first
    But it has the others' share after a few messages

  Scenario: A router that restarts never brings a stopped version back
    Given a version move whose new version fails at once
    When it is played until the phase taking_back
    And a router restarts
    And the share from before the stop arrives late
    Then it sends nothing to the new version at first
    And it sends nothing to the new version after a few messages

  Scenario: A share that arrives late does not replace a newer one
    Given a version move
    When it is played until the phase watching
    And the share of an earlier step arrives late
    Then every router keeps its share

  Scenario: A new leader waits out the old lease where fencing is ignored
    Given a version move with engines that ignore fencing numbers
    When it is played until the phase expanding
    And another term begins
    Then no order is given for 4 seconds
    And the next order carries a higher fencing number

  Scenario: A control host that restarts goes on with the move
    Given a version move
    When it is played until the phase expanding
    And the control host restarts from its snapshot and leads again
    Then the move is still expanding at the same share
    And it is played until the phase completed

  Scenario Outline: Reports without signs of a fault are rarer in a large fleet
    Given a router that knows <daemons> daemons and has a move
    When it sees good attempts of both versions for 60 seconds
    Then it reports between <least> and <most> times to each control host

    Examples:
      | daemons | least | most |
      | 7       | 58    | 61   |
      | 399     | 5     | 7    |

  Scenario: Signs of a fault are reported each second in a large fleet
    Given a router that knows 399 daemons and has a move
    When it sees 3 failed attempts and good ones for 10 seconds
    Then it reports between 8 and 11 times to each control host
