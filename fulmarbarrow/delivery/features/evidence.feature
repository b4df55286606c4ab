Feature: Daemons share evidence of requests that crash upstreams

  # Guards against sound requests that stay refused after connections broke at
  # upstreams that have not crashed.
  Scenario: A request whose upstreams have not crashed after all is released
    Given a router whose upstreams stay registered
    When upstreams crash under the request "a" at 0, 20 and 40 ms
    Then at 1 s "a" is quarantined
    And at 40 s nothing is quarantined

  # Guards against a stream that is refused as its second connection breaks,
  # though the upstream of the first has renewed its lease.
  Scenario: A crash under a request is dropped once its upstream renews its lease
    Given a router whose upstreams stay registered
    When upstreams crash under the request "a" at 0, 5000 and 6000 ms
    And the first of them renews its lease at 4 s
    Then at 8 s nothing is quarantined

  Scenario: A late renewal of an upstream that is gone proves nothing
    Given a router whose upstreams are gone
    When upstreams crash under the request "a" at 0, 5000 and 6000 ms
    And the first of them renews its lease at 4 s
    Then at 8 s "a" is quarantined

  Scenario: A request whose upstreams have crashed stays quarantined
    Given a router whose upstreams are gone
    When upstreams crash under the request "a" at 0, 20 and 40 ms
    Then at 1 s "a" is quarantined
    And at 500 s "a" is quarantined
    And at 620 s nothing is quarantined

  # Guards against old evidence that locks out a sound request at a router that
  # learns of it late.
  Scenario: Evidence that comes late does not count crashes of registered upstreams
    Given a router whose upstreams stay registered
    When a peer tells at 1 s of crashes under the request "a", 40 s ago
    Then at 2 s nothing is quarantined

  Scenario: A daemon that missed that a request completed is told again
    Given a router whose upstreams are gone
    When upstreams crash under the request "a" at 0 and 100 ms
    And a run of the request "a" completes at 500 ms
    And a peer tells at 3 s of crashes under the request "a", 3 s ago
    And a peer tells at 9 s of crashes under the request "a", 9 s ago
    Then at 12 s nothing is quarantined
    And the peers were told of "a" as served at 0, 3 and 9 s

  Scenario: A request that ran with many others is found
    Given a router whose upstreams are gone
    When 3 upstreams crash, 400 ms apart, each under "a" and 250 other requests
    Then at 3 s "a" is quarantined

  Scenario: A request whose runs complete between crashes is not quarantined
    Given a router whose upstreams are gone
    When upstreams crash under the requests "a" and "b" at 0, 400 and 800 ms
    And a run of the request "a" completes at 600 ms
    Then at 3 s "b" is quarantined

  # Guards against traffic for each request that a crash cuts off.
  Scenario: A request that was cut off once and completes is not told of
    Given a router whose upstreams are gone
    When upstreams crash under the request "a" at 0 ms
    And a run of the request "a" completes at 500 ms
    Then at 12 s nothing is quarantined
    And the peers were told of no request as served

  Scenario Outline: A <role> that starts is told what is quarantined
    Given a <teller> whose upstreams are gone
    When upstreams crash under the request "a" at 0, 400 and 800 ms
    And a <role> starts at 3 s
    Then it is told of the crashes under "a" at 3 s

    Examples:
      | teller       | role         |
      | router       | router       |
      | router       | control host |
      | control host | router       |

  Scenario Outline: A daemon with the roles <roles> keeps evidence once
    Then a daemon with the roles <roles> has one core that keeps it

    Examples:
      | roles           |
      | router          |
      | control         |
      | router, control |

  Scenario: Each of many quarantined requests is told of
    Given a router whose upstreams are gone
    When each of 40 requests crashes upstreams 3 times
    And a router starts at 3 s
    Then by 60 s it is told of all 40

  # What the evidence costs a daemon, whatever the number of daemons.
  Scenario: Evidence of requests has a bounded size
    Given a router whose upstreams are gone
    When 300 upstreams crash under 600 requests each
    Then at most 128 crashes of 256 requests are kept
    And no message has more than 2 KB
