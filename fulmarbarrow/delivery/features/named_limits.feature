Feature: Upstreams name limits in their answers

  Scenario: An answer without a limit ends it if it was asked for after that
    When an answer to an attempt sent at 100 ms names 5 a second at 200 ms
    Then the limit 5 is reported
    When an answer to an attempt sent at 150 ms names nothing at 250 ms
    Then nothing is reported
    When an answer to an attempt sent at 210 ms names nothing at 300 ms
    Then the end of the limit is reported
    When an answer to an attempt sent at 310 ms names nothing at 400 ms
    Then nothing is reported

  Scenario: A limit that can't be read leaves the last one as it is
    When an answer to an attempt sent at 100 ms names 5 a second at 200 ms
    And an answer to an attempt sent at 250 ms names noise at 300 ms
    Then nothing is reported
    And 1 upstream is known to have a limit

  Scenario: Upstreams that are gone are forgotten
    When an answer to an attempt sent at 100 ms names 5 a second at 200 ms
    And the upstream is gone
    Then 0 upstream is known to have a limit
