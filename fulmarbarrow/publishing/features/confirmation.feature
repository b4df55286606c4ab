Feature: A daemon that starts enforces only a revision that a leader confirmed

  Background:
    Given a control host and 12 daemons in 3 zones

  # Guards against routers that refuse by a configuration that was replaced (CONFIG).
  Scenario: No replaced revision is in force after all hosts lost their power
    Given "amina" has published account "volos" on revision 0
    And the control host has written a snapshot
    And "babis" has published account "patras" on revision 1
    When all hosts restart after a loss of power, and there is no leader
    And 2 seconds pass
    Then no revision is in force on any daemon
    When the control host leads and has applied all that is committed
    And 1 seconds pass
    Then revision 2 is active on all daemons

  # Guards against routers that take a wait without a leader for a cut (CONFIG).
  Scenario: A wait without a leader puts no replaced revision in force
    Given "amina" has published account "volos" on revision 0
    And the control host has written a snapshot
    And "babis" has published account "patras" on revision 1
    When all hosts restart after a loss of power, and there is no leader
    And 60 seconds pass
    Then no revision is in force on any daemon
    When the control host leads and has applied all that is committed
    And 1 seconds pass
    Then revision 2 is active on all daemons

  Scenario: A zone that is cut off goes on with what it holds
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When zone 1 is cut off, and its daemons restart, one of them with an empty disk
    And 4 seconds pass
    Then no revision is in force on the daemons of zone 1
    When 4 seconds pass
    Then revision 2 is active on all daemons of zone 1

  Scenario: Daemons that keep running keep their revision without a leader
    Given "amina" has published account "volos" on revision 0
    When the control host loses leadership and 20 seconds pass
    Then revision 1 is active on all daemons

  Scenario Outline: What a daemon that starts takes for a confirmation: <word>
    Given "amina" has published account "volos" on revision 0
    And a daemon that starts and holds revision 1
    When it is sent <word>
    Then revision <revision> is in force on it

    Examples: answers to its question
      | word                                              | revision |
      | a notice of revision 1 by the leader of term 2    | 1        |
      | a notice of revision 2 by the leader of term 2    | 0        |
      | a notice of revision 1 by an earlier release      | 1        |
      | revision 1 by the leader of term 2                | 1        |
      | revision 1 by an earlier release                  | 0        |
      | the delta to revision 1, relayed by a peer        | 0        |

    # They may have waited in a connection while a newer one was accepted.
    Examples: what answers no question of this process
      | word                                                       | revision |
      | an unasked notice of revision 1 by the leader of term 2    | 0        |
      | a late notice of revision 1 to the process before          | 0        |
      | unasked revision 1 by the leader of term 2                 | 0        |

  # Guards against routers that go by a revision replaced while its answer waited (CONFIG).
  Scenario Outline: An answer counts as of its question: after <seconds> seconds
    Given "amina" has published account "volos" on revision 0
    And a daemon that starts and holds revision 1
    When its question is answered after <seconds> seconds that revision 1 is the newest
    Then revision <revision> is in force on it

    Examples:
      | seconds | revision |
      | 1       | 1        |
      | 2       | 0        |
      | 4       | 0        |

  Scenario: A revision that comes seconds after its confirmation is confirmed again
    Given "amina" has published account "volos" on revision 0
    And a daemon that starts and holds revision 1
    When its question is answered after 1 seconds that revision 2 is the newest
    And 3 seconds pass, and revision 2 reaches it
    Then revision 0 is in force on it
    And it asks the leader to confirm revision 2

  Scenario: A daemon that is sent a statement without having asked asks for one
    Given "amina" has published account "volos" on revision 0
    And a daemon that starts and holds revision 1
    When it is sent an unasked notice of revision 1 by the leader of term 2
    Then it asks the leader to confirm revision 1

  # A leader's statement tells that what is below it is replaced, cut off or not.
  Scenario: No revision below an announced one is in force on a daemon that is cut off
    Given "amina" has published account "volos" on revision 0
    And a daemon that starts and holds revision 1
    When it is sent a notice of revision 2 by the leader of term 2
    And it reaches nobody for 60 seconds
    Then revision 0 is in force on it

  # Guards against shares that other daemons tell a router after a cut.
  Scenario: A daemon that was cut off tells its slices that the cut has ended
    Given "amina" has published account "volos" on revision 0
    And a daemon that starts and holds revision 1
    When it reaches nobody for 6 seconds
    Then revision 1 is in force on it, as it is cut off
    When a leader confirms revision 1 to it
    Then revision 1 is in force on it, as confirmed

  Scenario: A daemon hands out no revision that is not in force on it
    Given "amina" has published account "volos" on revision 0
    And a daemon that starts and holds revision 1
    When a peer without a revision asks it
    Then the peer is sent nothing

  Scenario: A leader whose lease has ended confirms nothing
    Given "amina" has published account "volos" on revision 0
    And the lease of the control host has ended
    When daemon 5 restarts with an empty disk and 2 seconds pass
    Then no revision is in force on daemon 5

  Scenario: A control host that follows a leader asks it before it answers
    Given a control host that follows a leader and has restored revision 1
    When a daemon that starts asks it for a revision
    Then the daemon is sent nothing, and the leader is asked for its revision
    When the leader answers that revision 2 is the newest
    Then the daemon is sent nothing
    When revision 2 is applied
    Then the daemon is sent revision 2, confirmed by the leader of term 3

  Scenario: One question to the leader covers all who asked before it
    Given a control host that follows a leader and has restored revision 1
    When 40 daemons that start ask it for a revision
    Then the leader is asked once
    When the leader answers that revision 1 is the newest
    Then the leader is asked twice
    And 1 daemons are sent revision 1
    When the leader answers that revision 1 is the newest
    Then 40 daemons are sent revision 1

  # Guards against routers that wait for a configuration beside a busy leader.
  Scenario: A leader that takes more than a second confirms all the same
    Given a control host that follows a leader and has restored revision 1
    When a daemon that starts asks it for a revision
    And 1.2 seconds pass on it
    And the leader answers its first question that revision 1 is the newest
    Then the daemon is told that revision 1 is confirmed

  Scenario: A daemon that runs is sent what it lacks beside a busy leader, too
    Given a control host that follows a leader and has applied revision 2
    When a daemon with revision 1 in force asks it for a revision
    And 1.2 seconds pass on it
    And the leader answers its first question that revision 2 is the newest
    Then the daemon is sent revision 2, confirmed by the leader of term 3

  Scenario: A question to a leader that was lost is asked of the next one
    Given a control host that follows a leader and has restored revision 1
    When a daemon that starts asks it for a revision
    And the leader is lost and this host is elected
    Then the daemon is sent revision 1, confirmed by the leader of term 4

  Scenario: Daemons that run and are not behind cost the leader nothing
    Given a control host that follows a leader and has restored revision 1
    When a daemon with revision 1 in force asks it for a revision
    Then the leader is not asked
