Feature: Accounts share an upstream's queue by weight and token cost

  Scenario: Accounts are served in proportion to their weights
    Given the accounts "volos" with weight 1 and "chania" with weight 3
    And 60 attempts of 100 tokens of each wait
    When 40 of them are served
    Then "volos" was served 10 times and "chania" 30 times

  Scenario: Attempts are counted by their token cost
    Given the accounts "volos" with weight 1 and "chania" with weight 1
    And 60 attempts of 300 tokens of "volos" wait
    And 60 attempts of 100 tokens of "chania" wait
    When 40 of them are served
    Then "volos" was served 10 times and "chania" 30 times

  Scenario: An idle account gains neither credit nor debt
    Given the accounts "volos" with weight 1 and "chania" with weight 1
    And 60 attempts of 100 tokens of "volos" wait
    When 20 of them are served
    And 20 attempts of 100 tokens of "chania" wait
    And 20 of them are served
    Then "volos" was served 30 times and "chania" 10 times

  Scenario: Attempts that expire are not charged to their account
    Given the accounts "volos" with weight 1 and "chania" with weight 1
    And 40 attempts of 100 tokens of "volos" wait
    And all of them expire
    And 20 attempts of 100 tokens of each wait
    When 20 of them are served
    Then "volos" was served 10 times and "chania" 10 times

  Scenario: A full queue refuses the attempt with the lowest worth
    Given a queue for 4 attempts
    And attempts with worth 5, 1, 4 and 3 wait
    When an attempt with worth 2 arrives
    Then the attempt with worth 1 is refused
    When an attempt with worth 1 arrives
    Then the attempt with worth 1 is refused

  Scenario: A full queue refuses attempts of the account that fills it
    Given a queue for 4 attempts
    And 4 attempts of 100 tokens of "volos" wait
    When 2 attempts of 100 tokens of "chania" wait
    Then 2 attempts of "volos" and 2 of "chania" wait

  Scenario: Best-effort work is served last
    Given 2 best-effort attempts of "volos" wait
    And 2 attempts of 100 tokens of "chania" wait
    When 2 of them are served
    Then "volos" was served 0 times and "chania" 2 times
