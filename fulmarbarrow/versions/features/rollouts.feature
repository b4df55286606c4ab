Feature: Rollouts that operators order by call

  Scenario Outline: A good version is completed before its deadline
    Given a fleet of <routers> routers with <rate> requests a second
    When a rollout to v2 in <seconds> seconds is ordered
    And it runs for <seconds> seconds
    Then the rollout to v2 is completed before its deadline
    And the exposure never exceeded its bound before the move
    And no request was sent to v1 after the rollout was completed
    And the share rose only in the last 6 seconds

    Examples:
      | routers | rate | seconds |
      | 8       | 400  | 12      |
      | 74      | 800  | 12      |
      | 8       | 2    | 12      |
      | 8       | 0    | 8       |

  Scenario Outline: A version that <fault> is rolled back
    Given a fleet of 8 routers with 400 requests a second
    And a new version that <fault>
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 13 seconds
    Then the rollout to v2 is rolled_back before its deadline
    And nothing reaches v2 later than 5 seconds after its 50th bad response
    And the exposure never exceeded its bound before the move

    Examples:
      | fault                 |
      | fails at once         |
      | fails rarely          |
      | answers 500 at once   |
      | cuts its responses    |
      | is slow at once       |
      | fails later           |
      | is slow later         |
      | fails on one route    |
      | is slow on one route  |
      | fails under load      |

  # Guards against a proof that the deadline alone gives.
  Scenario: A version that no upstream serves is rolled back with its reason
    Given a fleet of 8 routers with 100 requests a second
    And the platform starts no upstream of v2
    When a rollout to v2 in 8 seconds is ordered
    And it runs for 9 seconds
    Then the rollout to v2 is rolled_back before its deadline
    And its reason contains "no upstream serves it"

  # Guards against a rollback because a machine was lost.
  Scenario: A crash that only looks like a bad version is no reason to stop
    Given a fleet of 8 routers with 400 requests a second
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 3 seconds
    And upstream v2-0 crashes under 30 requests
    And it runs for 9 seconds
    Then the rollout to v2 is completed before its deadline

  # Guards against a rollback because both versions were slow at the start,
  # when the slack sent all requests to the new one.
  Scenario Outline: Slowness of both versions is no reason to stop one
    Given a fleet of <routers> routers with <rate> requests a second
    And both versions take <factor> times as long until <seconds> s after the order
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 12 seconds
    Then the rollout to v2 is completed before its deadline
    And the exposure never exceeded its bound before the move

    Examples:
      | routers | rate | factor | seconds |
      | 1       | 30   | 3      | 1       |
      | 1       | 100  | 3      | 0.5     |
      | 8       | 100  | 3      | 1       |

  # Guards against a rollback because one route's slow responses were by chance
  # those of the new version.
  Scenario: Slowness of both versions counts the same with few requests a route
    Given a fleet of 1 routers with 30 requests a second
    And both versions take 3 times as long until 2 s after the order
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 12 seconds
    Then the rollout to v2 is completed before its deadline

  # Guards against a move that a new leader restarts, shortens or forgets.
  Scenario Outline: A leader that is lost after <at> seconds changes nothing
    Given a fleet of 8 routers with 400 requests a second
    And a new version that <fault>
    When a rollout to v2 in 12 seconds is ordered
    And it runs for <at> seconds
    And the leader is lost and another one leads 1.0 seconds later
    And it runs for <rest> seconds
    Then the rollout to v2 is <end> before its deadline
    And nothing reaches v2 later than 5 seconds after its 50th bad response
    And the exposure never exceeded its bound before the move

    Examples:
      | fault         | at   | rest | end         |
      | is good       | 0.1  | 12   | completed   |
      | is good       | 5    | 7    | completed   |
      | is good       | 9.5  | 2.5  | completed   |
      | fails later   | 4.2  | 8    | rolled_back |

  # Guards against routers that never learn of a state whose push is lost.
  Scenario Outline: Routers learn of states whose first <messages> are lost
    Given a fleet of 8 routers with 400 requests a second
    And a new version that <fault>
    And the first <messages> are lost
    When a rollout to v2 in 14 seconds is ordered
    And it runs for 14 seconds
    Then the rollout to v2 is <end> before its deadline
    And every router knows that the rollout is <end>

    Examples:
      | messages            | fault         | end         |
      | pushes              | is good       | completed   |
      | pushes              | fails at once | rolled_back |
      | pushes and requests | is good       | completed   |

  # Guards against a deadline by the wall clock of another host.
  Scenario Outline: Clocks that differ by seconds do not shift the deadline
    Given a fleet of 8 routers with 400 requests a second
    And the clock of control-0 is <first> seconds ahead
    And the clock of control-2 is <second> seconds ahead
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 5 seconds
    And the leader is lost and another one leads 1.0 seconds later
    And it runs for 7 seconds
    Then the rollout to v2 is completed before its deadline
    And the share rose only in the last 6 seconds

    Examples:
      | first | second |
      | 4     | -4     |
      | -4    | 4      |

  # Guards against routers that keep sending while no control host leads.
  Scenario: A router that is cut off stops a bad version by itself
    Given a fleet of 8 routers with 800 requests a second
    And a new version that fails later
    When a rollout to v2 in 30 seconds is ordered
    And it runs for 3 seconds
    And router-0 is cut off
    And it runs for 20 seconds
    Then router-0 sends nothing to v2
    And the exposure never exceeded its bound before the move

  # Guards against a resent order that restarts a rollout.
  Scenario: An order that is sent again to another host is the same order
    Given a fleet of 8 routers with 400 requests a second
    And a new version that fails at once
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 4 seconds
    And a rollout to v2 in 12 seconds is ordered at control-2
    And it runs for 4 seconds
    Then the rollout to v2 is rolled_back before its deadline
    And there is 1 rollout

  # Guards against an acknowledged order without an effect.
  Scenario Outline: An order after a roll-back <what> is a new order
    Given a fleet of 8 routers with 400 requests a second
    And a new version that fails at once
    When a rollout to v2 in 30 seconds is ordered
    And it runs for <at> seconds
    And a new version that is good
    And a rollout to v2 in <seconds> seconds is ordered at control-2
    And it runs for <seconds> seconds
    Then the rollout to v2 is completed before its deadline

    Examples:
      | what                  | at | seconds |
      | with another duration | 5  | 12      |
      | that is sent later    | 11 | 30      |

  Scenario: A second target rolls the first one back and is completed
    Given a fleet of 8 routers with 400 requests a second
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 3 seconds
    And a rollout to v3 in 12 seconds is ordered
    And it runs for 12 seconds
    Then the rollout to v2 is rolled_back before its deadline
    And the rollout to v3 is completed before its deadline
    And nothing reaches v2 any more

  # Guards against most requests at a version that is taken back.
  Scenario: An order for the old version takes a rollout back
    Given a fleet of 8 routers with 400 requests a second
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 3 seconds
    And a rollout to v1 in 8 seconds is ordered
    And it runs for 8 seconds
    Then the rollout to v2 is rolled_back before its deadline
    And the rollout to v1 is completed before its deadline
    And nothing reaches v2 any more

  # Guards against an order that leaves the service without an upstream, as
  # the old version of an earlier rollout has been replaced since.
  Scenario: The old version of a rollout that is over is not used again
    Given a fleet of 8 routers with 400 requests a second
    And a new version that fails at once
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 6 seconds
    And upstreams of v4 replace those of v1 and v2
    And a rollout to v3 in 12 seconds is ordered
    And it runs for 12 seconds
    Then the rollout to v3 is completed before its deadline
    And the rollout to v3 has the old version v4
    And no request was without an upstream

  # Guards against the same where the order itself has an outdated version.
  Scenario: An old version without an upstream is replaced by the other one
    Given a fleet of 8 routers with 400 requests a second
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 1 seconds
    And upstreams of v4 replace those of v1 and v1
    And it runs for 11 seconds
    Then the rollout to v2 is completed before its deadline
    And the exposure never exceeded its bound before the move
    And no request was without an upstream

  # Guards against a completed rollout that begins again without its step.
  Scenario: The steps of many rollouts are kept
    Given a control host with 1100 rollouts that are completed one by one
    Then all 1100 rollouts are completed there

  # Guards against a stream that another version continues.
  Scenario: A stream is continued by the version that began it
    Given a fleet of 8 routers with 400 requests a second
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 2 seconds
    Then a stream that v2 began is placed at v2 only
    And a stream that v1 began is placed at v1 only

  Scenario: Two services are moved at the same time, each on its own evidence
    Given a fleet of 8 routers with 400 requests a second
    And a new version that fails at once
    And another service with a good version
    When a rollout to v2 in 12 seconds is ordered
    And a rollout of other to v2 in 12 seconds is ordered
    And it runs for 12 seconds
    Then the rollout to v2 is rolled_back before its deadline
    And the rollout of other to v2 is completed before its deadline

  # Guards against requests to a bad version after a router has restarted.
  Scenario: A restarted router gives a rolled back version nothing
    Given a fleet of 8 routers with 400 requests a second
    And a new version that fails at once
    When a rollout to v2 in 12 seconds is ordered
    And it runs for 6 seconds
    And router-0 restarts
    And it runs for 3 seconds
    Then nothing reaches v2 any more

  Scenario: A service without an order is served by all its versions
    Given a fleet of 8 routers with 400 requests a second
    When it runs for 2 seconds
    Then both versions were served

  # Guards against answers from a host that has missed the newest order.
  Scenario: A read waits for the revision that the leader confirms
    Given a fleet of 8 routers with 0 requests a second
    When control-2 gets no configuration
    And a rollout to v2 in 12 seconds is ordered
    And it runs for 1 seconds
    Then a read at control-2 is answered "not_current"
    And a read at control-1 is answered "in_progress"

  Scenario Outline: A wrong order is refused with findings
    Given a fleet of 8 routers with 0 requests a second
    When a rollout of <service> to <target> in <seconds> seconds is refused

    Examples:
      | service | target | seconds |
      | unknown | v2     | 12      |
      | service | -      | 12      |
      | service | v2     | 0       |
      | service | v2     | -1      |
