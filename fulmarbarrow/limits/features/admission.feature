Feature: Admission refuses requests with documented error codes

  Scenario Outline: A request is refused because <reason>
    Given an account with a limit of 1 open request
    When a request arrives while <reason>
    Then it is refused with <code>, which is reported as not executed

    Examples:
      | reason                          | code                   |
      | its deadline has passed         | deadline_exceeded      |
      | another one is open             | too_many_open_requests |
      | capacity is short for its worth | capacity_short         |
