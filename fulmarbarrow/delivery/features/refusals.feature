Feature: Refusals tell the truth about what ran

  Scenario: The page of error codes is current
    Then the errors page is what its tool writes

  Scenario: Every "not run" has a proof
    Then every refusal that says "no" has a proof
    And every refusal that says "unknown" claims none

  Scenario: Who is refused while everything starts returns once it is back
    Given a router that starts at 0 ms, and upstreams that are back at 2200 ms
    When callers are refused with no_configuration and no_upstream until then
    Then none of them returns before 2200 ms, nor all within 500 ms
    And one that is refused with no_upstream after a minute waits 800 to 2000 ms

  Scenario Outline: <code> after a part may have run
    Given a request of which an attempt may have run
    Then it is never refused with <code> as it stands

    Examples:
      | code              |
      | no_upstream       |
      | deadline_exceeded |
      | quarantined       |
      | upstream_refused  |
