Feature: While capacity is short, work with the highest worth is admitted

  Scenario: Everything is admitted while capacity is sufficient
    When a demand of 900 tokens per second meets a capacity of 1000
    Then everything is admitted

  Scenario: Work with the lowest worth is refused first
    When a demand of 600 tokens per second each at worth 4, 2 and 1 meets 1000
    Then all work of worth 4 is admitted
    And about 0.63 of the work of worth 2 is admitted
    And no work of worth 1 is admitted

  Scenario: Admitted work fits the capacity and has the highest worth
    Then over 300 random demands the admitted work fits the capacity
    And over 300 random demands no refused work has more worth than admitted work

  Scenario: A shortage ends only below the usable part of the capacity
    Given a shortage of capacity
    When a demand of 990 tokens per second meets a capacity of 1000
    Then capacity is still short
    When a demand of 970 tokens per second meets a capacity of 1000
    Then everything is admitted

  Scenario: All routers refuse the same work when a zone is taken out
    Given 3 zones with 3 routers and 4 upstreams each
    And requests for 0.9 of the capacity at three levels of worth
    When every router applies a revision that has attica-1 out
    Then within 6 s all routers refuse the same work

  Scenario: Without any capacity nothing is refused by worth
    When a demand of 900 tokens per second meets a capacity of 0
    Then everything is admitted

  Scenario: Admission by worth exempts accounts with a reserved share
    Given an admission threshold at a worth of 2 for 100 tokens
    When accounts ask for 100 tokens
      | account      | worth | outcome        |
      | volos        | 1.0   | capacity_short |
      | volos        | 4.0   | admitted       |
      | inspectorate | 1.0   | admitted       |
    When the capacity is sufficient again
    And accounts ask for 100 tokens
      | account | worth | outcome  |
      | volos   | 1.0   | admitted |
