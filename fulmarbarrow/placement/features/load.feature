Feature: Placement decisions under adverse load

  Scenario: A crashed upstream is excluded after one attempt and probed by one request
    When the only attempts at "e1" fail as unreachable at 0, 300 and 900 ms
    Then "e1" is excluded until at least 1500 ms
    And at 2500 ms one request probes "e1" and the next ones do not

  Scenario: A misdirected upstream gets no more work in its incarnation
    When an attempt at "e1" fails as misdirected
    Then "e1" is still excluded after an hour
    But another incarnation of "e1" gets work

  Scenario: Work that must run once avoids an upstream that has just failed
    When an attempt at "e1" fails as crashed at 0 ms
    Then at 400 ms "e1" gets repeatable work but none that must run once

  Scenario: An unreachable zone is excluded as a whole
    When attempts at "e1 e2" of zone "z1" fail as unreachable at 0 ms
    Then at 400 ms no upstream of zone "z1" gets work
    When an attempt at "e3" of zone "z1" completes
    Then at 400 ms "e3" gets work

  Scenario: An upstream that fails half of its requests is excluded for a while
    When 20 attempts end at each of "e1 e2 e3", half of those at "e1" failed
    Then "e1" is excluded and the others get work

  Scenario: An upstream ten times slower than its pool is excluded for a while
    When 20 attempts end at each of "e1 e2 e3", those at "e1" ten times slower
    Then "e1" is excluded and the others get work

  Scenario: If all upstreams fail equally often, none is excluded
    When 20 attempts end at each of "e1 e2 e3", half of them failed everywhere
    Then no upstream is excluded

  Scenario: If all upstreams are excluded, all but the misdirected ones get work
    When attempts at "e1 e2" of zone "z1" fail as unreachable at 0 ms
    And an attempt at "e3" fails as misdirected
    Then "e1 e2" get work at 1 ms

  Scenario: Sessions are routed by their long shared prefix, not by their last segment
    When 300 requests of 60 sessions arrive within 10 s
    Then each session has one home

  Scenario: A prefix with a large share of the work gets several homes
    When 300 requests arrive within 10 s, a third of them from one session
    Then that session has between 3 and 5 homes of 6 engines

  Scenario: Requests are routed by their last segments once these recur
    When 200 requests of 20 chats that share one long prefix arrive
    Then each chat has one home and the chats have different homes

  Scenario: A new engine fetches prompts that their former home has cached
    Given engines "old1 old2 old3" running for a minute and "new" for 2 seconds
    Then prompts whose home is "new" are fetched from their former home
    And prompts whose home is an old engine are not fetched
    And short prompts are not fetched

  Scenario: A prompt placed away from its home is fetched from its home
    Given engines "old1 old2 old3" running for a minute and "new" for 2 seconds
    Then a prompt placed at its second engine is fetched from its first
    But a prompt whose first engine is new is fetched from its third

  Scenario Outline: The requests at an upstream are bounded by a multiple of their mean number
    Given a bound of 2 times the mean plus 2, but at least 6
    Then at a mean of <mean> requests an upstream gets at most <most>

    Examples:
      | mean | most |
      | 0    | 6    |
      | 2    | 6    |
      | 10   | 20   |
      | 50   | 92   |

  Scenario Outline: A cold upstream starts no more requests a second than its pool allows
    Given a pool whose cold upstreams accept 24 requests a second
    Then an upstream that is <state> may start <starts> a second

    Examples:
      | state                           | starts |
      | cold                            | 20     |
      | warm                            | any    |
      | warm in a zone that is restored | 20     |

  Scenario: Retries stay within a fraction of the requests over any ten seconds
    When 100 requests arrive within 5 s and each needs a retry, with a ratio of 0.2 and a slack of 7
    Then 27 retries are made
    And after 11 s without a request 7 more may be made

  Scenario: Queued work is served in the order of its rank
    When work of the ranks "2 1 0 2 0 1" is queued and then served
    Then it is served in the order "0 0 1 1 2 2"
