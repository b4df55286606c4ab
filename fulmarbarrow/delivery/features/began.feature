Feature: A request is counted once, when it begins to run

  # Guards against a report that counts attempts instead of requests.
  Scenario Outline: A request whose first attempt is <fate> counts once
    Given routers that tell which requests began
    When the first attempt of a <kind> is <fate>
    Then <count> request has begun

    Examples:
      | kind    | fate      | count |
      | stream  | completed | 1     |
      | look-up | completed | 1     |
      | look-up | hedged    | 1     |
      | stream  | preempted | 1     |
      | stream  | refused   | 1     |
      | look-up | refused   | 1     |

  # Guards against counts of requests that no upstream ran.
  Scenario: A request that all upstreams refuse is not counted
    Given routers that tell which requests began
    When all upstreams refuse a stream
    Then 0 request has begun

  Scenario: Without usage reports nothing is told
    When a stream is sent
    Then it completes within 1 second
    And 0 request has begun
