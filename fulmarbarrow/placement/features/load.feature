Feature: Decisions for the worst load, each replayed

  Scenario: A crashed upstream is left after one attempt and tried by one request
    When the only attempts at "e1" fail as unreachable at 0, 300 and 900 ms
    Then "e1" is left out until 1500 ms at least
    And at 2500 ms one request tries "e1" and the next ones do not

  Scenario: A misdirected upstream is never asked again in its incarnation
    When an attempt at "e1" fails as misdirected
    Then "e1" is left out after an hour
    But another incarnation of "e1" gets work

  Scenario: Work that must run once avoids an upstream that has just failed
    When an attempt at "e1" fails as crashed at 0 ms
    Then at 400 ms "e1" gets work that may run again, and none that must run once

  Scenario: A cut zone is left as a whole
    When attempts at "e1 e2" of zone "z1" fail as unreachable at 0 ms
    Then at 400 ms no upstream of zone "z1" gets work
    When an attempt at "e3" of zone "z1" completes
    Then at 400 ms "e3" gets work

  Scenario: One of a pool that fails half of its requests is left for a while
    When 20 attempts end at each of "e1 e2 e3", at "e1" half of them failed
    Then "e1" is left out and the others get work

  Scenario: One of a pool that takes ten times as long is left for a while
    When 20 attempts end at each of "e1 e2 e3", at "e1" ten times as late
    Then "e1" is left out and the others get work

  Scenario: Where all fail alike nobody is left out
    When 20 attempts end at each of "e1 e2 e3", at each half of them failed
    Then none is left out

  Scenario: When all are out they are all asked, but for the misdirected
    When attempts at "e1 e2" of zone "z1" fail as unreachable at 0 ms
    And an attempt at "e3" fails as misdirected
    Then "e1 e2" are asked at 1 ms

  Scenario: Sessions follow their long shared part, not their own last one
    When 300 requests of 60 sessions come within 10 s
    Then each session has one home

  Scenario: A part with much of the work gets several homes
    When 300 requests come within 10 s, a third of them of one session
    Then that session has between 3 and 5 homes of 6 engines

  Scenario: Where last parts return they are what is followed
    When 200 requests of 20 chats come that share one long part
    Then each chat has one home and the chats have many

  Scenario: A new engine fetches what the one before it has read
    Given engines "old1 old2 old3" for a minute and "new" for 2 seconds
    Then prompts whose home is "new" are fetched from their home before
    And prompts whose home is an old engine are not fetched
    And short prompts are not fetched

  Scenario: A prompt placed away from its home is fetched from there
    Given engines "old1 old2 old3" for a minute and "new" for 2 seconds
    Then a prompt placed at its second engine is fetched from its first
    But from its third where the first is new

  Scenario Outline: An upstream holds at most about CapX times the mean
    Given a bound of 2 times the mean and 2, and 6 at least
    Then at a mean of <mean> requests an upstream holds <most> at most

    Examples:
      | mean | most |
      | 0    | 6    |
      | 2    | 6    |
      | 10   | 20   |
      | 50   | 92   |

  Scenario Outline: A cold upstream starts no more than it states
    Given a pool whose cold upstreams take 24 requests a second
    Then an upstream that is <state> may start <starts> a second

    Examples:
      | state                            | starts    |
      | cold                             | 20        |
      | warm                             | any       |
      | warm in a zone that comes back   | 20        |

  Scenario: Retries stay within a part of the requests over any ten seconds
    When 100 requests come within 5 s and each wants a retry, with a ratio of 0.2 and a slack of 7
    Then 27 retries are made
    And after 11 s without a request 7 more may be made

  Scenario: Urgent work leaves a queue first, and none is put behind less urgent
    When work of the ranks "2 1 0 2 0 1" queues and is served
    Then it is served in the order "0 0 1 1 2 2"
