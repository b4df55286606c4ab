Feature: Refusals tell the truth about what ran

  Scenario: The page of error codes is current
    Then the errors page is what its tool writes

  Scenario: Every "not run" has a proof
    Then every refusal that says "no" has a proof
    And every refusal that says "unknown" claims none

  Scenario Outline: <code> after a part may have run
    Given a request of which an attempt may have run
    Then it is never refused with <code> as it stands

    Examples:
      | code              |
      | no_upstream       |
      | deadline_exceeded |
      | quarantined       |
      | upstream_refused  |
