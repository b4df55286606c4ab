Feature: Admission refuses with codes that callers know

  Scenario Outline: A request is refused because <reason>
    Given an account that may have 1 open request
    When a request arrives while <reason>
    Then it is refused with <code>, which callers are told as not run

    Examples:
      | reason                         | code                   |
      | its deadline has passed        | deadline_exceeded      |
      | another one is open            | too_many_open_requests |
      | capacity is short for its worth | capacity_short        |
