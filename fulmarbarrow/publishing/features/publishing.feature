Feature: A published revision is activated on all daemons and never reverts

  Background:
    Given a control host and 40 daemons in 4 zones

  Scenario: A change reaches every daemon through one relay per zone
    When "amina" publishes a change on base revision 0
    Then it is accepted as revision 1
    And revision 1 is active on all daemons
    And the control host sent the change to at most 4 other daemons

  Scenario: The second of two publishes on one base gets a conflict
    Given "amina" has published account "volos" on revision 0
    When "babis" publishes account "patras" on revision 0
    Then it is rejected with revision_conflict
    And the winner is "amina" with revision 1
    And the differences are "account patras, account volos"

  Scenario: A retried publish gets the first result
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When the first publish is retried
    Then it is accepted as revision 1
    And revision 2 is active on all daemons

  Scenario: Publishing the same files again changes nothing
    Given "amina" has published account "volos" on revision 0
    When "babis" publishes account "volos" on revision 0
    Then it is accepted as revision 1

  Scenario: A bundle that does not match its digest is rejected
    When a corrupted bundle is published
    Then it is rejected with bundle_invalid

  Scenario: A daemon recovers from a lost push
    Given daemon 7 is disconnected
    And "amina" has published account "volos" on revision 0
    And revision 1 is not active on daemon 7
    When daemon 7 is connected again and 2 seconds pass
    Then revision 1 is active on all daemons

  Scenario: Daemons recover from lost relayed messages
    Given no daemon relays messages
    And "amina" has published account "volos" on revision 0
    When 4 seconds pass
    Then revision 1 is active on all daemons

  Scenario: A zone without a connection to control gets a revision from a peer
    Given zone 2 is disconnected except for daemon 22
    And "amina" has published account "volos" on revision 0
    And 2 seconds have passed
    And zone 2 is disconnected completely
    When 60 seconds pass
    Then revision 1 is active on all daemons

  Scenario: The status lists unreachable daemons
    Given "amina" has published account "volos" on revision 0
    And daemon 7 is disconnected
    And "babis" has published account "patras" on revision 1
    When 40 seconds pass
    Then the status counts 9 of 10 daemons in zone 3
    And it lists daemon 7 as unreachable at revision 1 for about 40 seconds

  Scenario: An old revision never replaces a newer one
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 3 receives revision 1 again
    Then revision 2 is active on all daemons

  Scenario: A restarted daemon restores its revision from disk
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 5 restarts from disk and receives revision 1
    And 1 seconds pass
    Then revision 2 is active on daemon 5

  Scenario: A revision that cannot be stored is not activated
    Given the disk of daemon 5 is full
    When "amina" publishes account "volos" on revision 0
    Then revision 1 is not active on daemon 5
    And it is activated once the disk has space

  Scenario: A control host without a leader marks its status as not current
    Given "amina" has published account "volos" on revision 0
    When the control host loses leadership and 3 seconds pass
    Then the status is marked as not current since then

  Scenario: A snapshot contains revisions and results
    Given "amina" has published account "volos" on revision 0
    When the control host restarts from a snapshot
    And the first publish is retried
    Then it is accepted as revision 1

  Scenario: All daemons start at once and the leader knows none of them
    Given "amina" has published account "volos" on revision 0
    When all daemons restart with empty disks and without known peers
    And 2 seconds pass
    Then revision 1 is active on all daemons

  Scenario: A new daemon polls frequently until the leader's notice
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 5 starts with revision 1 while there is no leader
    Then no revision is in force on daemon 5
    And it polls at least 9 times within 10 seconds
    And no revision is in force on daemon 5
    When the control host becomes leader and sends daemon 5 a notice
    Then it polls at most 3 times within 10 seconds
    And revision 2 is active on daemon 5

  # Guards against routers that a restarted leader sends nothing (CONFIG).
  Scenario: Routers that a restarted control host does not know soon have a revision
    Given "amina" has published account "volos" on revision 0
    And 30 seconds have passed
    When the control host restarts, leads and knows no router
    And "babis" publishes account "patras" on revision 1
    And 2 seconds pass
    Then revision 2 is active on all daemons

  # Guards against routers that are sent nothing as they seem to have it (CONFIG).
  Scenario: A late acknowledgement of the process before does not count
    Given "amina" has published account "volos" on revision 0
    When daemon 5 restarts with an empty disk, and its last acknowledgement comes late
    Then the status shows daemon 5 behind revision 1

  Scenario: A daemon polls frequently after a notice of a newer revision
    Given "amina" has published account "volos" on revision 0
    When daemon 5 gets a notice of revision 9, which no answer contains
    Then it polls at least 9 times within 10 seconds

  Scenario: A daemon that starts with an old revision soon gets the newest one
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 5 restarts with revision 1 and the leader knows no daemon
    And 2 seconds pass
    Then revision 2 is active on daemon 5

  Scenario: A daemon that a new leader told of an old revision soon gets the newest one
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 5 restarts with revision 1, gets a notice of it and no later one
    And 3 seconds pass
    Then revision 2 is active on daemon 5

  # Guards against a router that serves an old configuration while it stops.
  Scenario: A daemon that is leaving gets each revision until it is gone
    Given "amina" has published account "volos" on revision 0
    And daemon 7 is leaving
    When "babis" publishes account "patras" on revision 1
    Then revision 2 is active on all daemons
    When daemon 7 is gone and "calliope" publishes account "syros" on revision 2
    Then the status counts 9 of 9 daemons in zone 3
    When 40 seconds pass
    Then the control host sends daemon 7 no notice any more

  Scenario: A leaving daemon that is wrongly taken for dead gets each revision
    Given "amina" has published account "volos" on revision 0
    And daemon 7 is leaving
    And the control host takes daemon 7 for dead
    When "babis" publishes account "patras" on revision 1
    And 2 seconds pass
    Then revision 2 is active on all daemons

  # Guards against a change that waits for a dead connection to be noticed.
  Scenario: A change reaches daemons whose connections have gone silent in time
    Given "amina" has published account "volos" on revision 0
    And every connection of daemons 4 to 21 has gone silent
    When "babis" publishes account "patras" on revision 1 and 1 second passes
    Then revision 2 is active on all daemons

  Scenario: A lost push to a daemon that is leaving is repaired
    Given "amina" has published account "volos" on revision 0
    And daemon 7 is leaving
    And daemon 7 is disconnected
    And "babis" has published account "patras" on revision 1
    When daemon 7 is connected again and 2 seconds pass
    Then revision 2 is active on all daemons

  Scenario: Changes are not relayed by daemons that are leaving
    Given all daemons but 4 of each zone are leaving
    And daemons that are leaving relay no messages
    When "amina" publishes account "volos" on revision 0
    Then revision 1 is active on all daemons

  # Guards against routers that stay behind for as long as changes come.
  Scenario: Changes in quick succession do not defer the repair of lost pushes
    Given no daemon relays messages
    When a change is published every 750 ms for 9 seconds
    Then each revision was active on all daemons within 2 seconds

  Scenario: A daemon behind a relay that is behind as well gets the changes
    Given daemon 1 relays no messages
    And "amina" has published account "volos" on revision 0
    When "babis" publishes account "patras" on revision 1
    Then revision 2 is active on all daemons
