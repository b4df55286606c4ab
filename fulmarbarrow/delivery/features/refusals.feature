Feature: Error codes state correctly whether a request ran

  Scenario: The error reference is up to date
    Then the errors page equals the output of its generator

  Scenario: Every refusal with a definite "ran" value has a proof
    Then every refusal that says "no" or "yes" has a proof
    And no refusal that says "unknown" has a proof

  Scenario: Callers refused during startup retry after it, spread over time
    Given a router that starts at 0 ms and upstreams that are available at 2200 ms
    When callers are refused with no_configuration and no_upstream until then
    Then none of them retries before 2200 ms, and not all within 500 ms
    And a caller refused with no_upstream after a minute waits 800 to 2000 ms

  Scenario Outline: <code> is replaced after an attempt that may have run
    Given a request of which an attempt may have run
    Then a refusal with <code> gets a code that says "unknown"

    Examples:
      | code              |
      | no_upstream       |
      | deadline_exceeded |
      | quarantined       |
      | upstream_refused  |
