Feature: Control hosts come, go and change their addresses

  Scenario: Founders form the log though other empty hosts ask to join
    Given hosts "a b c" as founders of which 1 may be lost, and "d e" beside them
    When 5 seconds pass
    Then the log was formed by "a b c" alone
    And exactly one of "a b c" leads

  Scenario: A further host takes no seat while all voters answer
    Given hosts "a b c" as founders of which 1 may be lost, and "d" beside them
    When 10 seconds pass
    Then the voters are "a b c"

  Scenario: A further host takes the seat of one that is gone
    Given hosts "a b c" as founders of which 1 may be lost, and "d" beside them
    When 5 seconds pass
    And "c" is gone for 8 seconds
    Then the voters are "a b d"
    And a command is committed

  Scenario: With two losses to bear five hosts vote
    Given hosts "a b c" as founders of which 2 may be lost, and "d e f" beside them
    When 12 seconds pass
    Then there are 5 voters

  Scenario: Hosts that may not form never begin a history
    Given hosts "a b c" as founders that may not form
    When 20 seconds pass
    Then no host holds a log

  Scenario: A host that lost its disk copies the log before it votes
    Given hosts "a b c" as founders of which 1 may be lost, and "" beside them
    When 5 seconds pass
    And a command is committed
    And "c" loses its disk and comes back, not allowed to form
    And 10 seconds pass
    Then the voters are "a b c" and the former "c" is none
    And "c" has applied the command
