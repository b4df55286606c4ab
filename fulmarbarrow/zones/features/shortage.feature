Feature: While capacity is short the work worth most is admitted

  Scenario: Nothing is refused while capacity is enough
    When a demand of 900 tokens a second meets a capacity of 1000
    Then everything is admitted

  Scenario: The work worth least is refused first
    When a demand of 600 tokens a second each at worth 4, 2 and 1 meets 1000
    Then all work of worth 4 is admitted
    And about 0.63 of the work of worth 2 is admitted
    And no work of worth 1 is admitted

  Scenario: Whatever the demand, what is admitted fits and is worth most
    Then over 300 random demands the admitted work fits the capacity
    And over 300 random demands no refused work is worth more than admitted

  Scenario: A shortage is over only when there is room again
    Given a shortage of capacity
    When a demand of 990 tokens a second meets a capacity of 1000
    Then it is still short
    When a demand of 970 tokens a second meets a capacity of 1000
    Then everything is admitted

  Scenario: All routers refuse the same work when a zone leaves
    Given 3 zones with 3 routers and 4 upstreams each
    And requests for 0.9 of the capacity in three kinds of worth
    When every router puts a revision in force that has attica-1 out
    Then within 6 s all routers refuse the same work

  Scenario: A zone without capacity decides nothing
    When a demand of 900 tokens a second meets a capacity of 0
    Then everything is admitted

  Scenario: The entry refuses by worth, but never a priority account
    Given an entry that was told to admit from a worth of 2 for 100 tokens
    When accounts ask for 100 tokens
      | account      | worth | outcome        |
      | volos        | 1.0   | capacity_short |
      | volos        | 4.0   | admitted       |
      | inspectorate | 1.0   | admitted       |
    When the capacity is enough again
    And accounts ask for 100 tokens
      | account | worth | outcome  |
      | volos   | 1.0   | admitted |
