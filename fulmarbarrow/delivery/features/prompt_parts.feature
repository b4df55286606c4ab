Feature: Crashes are attributed to the part of a prompt that causes them

  Scenario: A part in crashes that are apart is quarantined
    When upstreams crash under the parts "bad" at 0, 400 and 800 ms
    Then by 1400 ms "bad" is quarantined

  Scenario: Reports of other routers are awaited
    When upstreams crash under the parts "bad" at 0, 400 and 800 ms
    Then by 1200 ms nothing is quarantined

  Scenario: A host that takes its upstreams down implicates no part
    When upstreams crash under the parts "first" at 0, 20, 40, 60 and 80 ms
    Then by 2000 ms nothing is quarantined

  Scenario: A part that completes between crashes is not quarantined
    When upstreams crash under the parts "first" at 0 and 400 ms
    And a run with the parts "first" completes at 500 ms
    And upstreams crash under the parts "first" at 800 and 1200 ms
    Then by 3000 ms nothing is quarantined

  Scenario: A part that has completed before is sound if another one never has
    Given a run with the parts "first" completed 20 s ago
    When upstreams crash under the parts "first bad" at 0, 400 and 800 ms
    Then by 1400 ms "bad" is quarantined

  Scenario: A part is released once another one fits the crashes better
    When upstreams crash under the parts "bad second" at 0, 400 and 800 ms
    And upstreams crash under the parts "bad" at 1200 ms
    Then by 2000 ms "bad" is quarantined

  Scenario: An upstream that answers a later request has not crashed
    When upstreams crash under the parts "bad" at 0, 400 and 800 ms
    And the second of them answers a request that was sent at 500 ms
    Then by 2000 ms nothing is quarantined

  Scenario: Failures that one upstream survives count once
    When one upstream fails requests with the parts "second" at 0, 400, 800 and 1200 ms
    Then by 2000 ms nothing is quarantined

  Scenario: Crashes that are long ago are forgotten
    When upstreams crash under the parts "bad" at 0, 400 and 800 ms
    Then by 1400 ms "bad" is quarantined
    And 601 s later nothing is quarantined

  Scenario: Routers that saw different crashes come to the same decision
    Given routers whose clocks differ by 1 hour
    When each of them sees upstreams crash under the parts "bad" at 0, 400 and 800 ms
    Then by 1400 ms each of them has "bad" quarantined

  Scenario: A router that knows a part to be sound tells the others
    Given routers whose clocks differ by 1 hour
    And the first of them has a run with the parts "first" complete at 1000 ms
    When the second of them sees upstreams crash under the parts "first" at 0, 300 and 600 ms
    Then by 3000 ms none of them has anything quarantined

  Scenario: A router tells of a part that is known to be sound once
    Given a run with the parts "first" completed 20 s ago
    When peers report crashes under the parts "first" each 10 ms for 1 s
    Then the part is told of once

  Scenario: What is kept and told of crashes is bounded
    When 2000 upstreams crash under 100 parts each within 100 s
    Then at most 128 crashes of 64 parts are kept
    And each message about them has at most 2 KB
    And deciding takes less than 100 ms

  Scenario: The last part of a prompt is never implicated
    Then a prompt of the parts "a b c" has the keys of "a b"
    And keys of the same part differ by service and model

  Scenario: A prompt of many parts takes bounded memory
    Then a prompt of 4000 parts has at most 64 keys
