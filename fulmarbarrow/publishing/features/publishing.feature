Feature: A publish comes into force everywhere and never reverts

  Background:
    Given a control host and 40 daemons in 4 zones

  Scenario: A change reaches every daemon through one relay per zone
    When "amina" publishes a change on revision 0
    Then it is accepted as revision 1
    And revision 1 is in force on all daemons
    And the control host sent the change to 4 other daemons at most

  Scenario: Of two publishers on one base one wins and the other is told
    Given "amina" has published account "volos" on revision 0
    When "babis" publishes account "patras" on revision 0
    Then it is refused as revision_conflict
    And the winner is "amina" with revision 1
    And the differences are "account patras, account volos"

  Scenario: A resend gets the first result
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When the first publish is sent again
    Then it is accepted as revision 1
    And revision 2 is in force on all daemons

  Scenario: The same files again change nothing
    Given "amina" has published account "volos" on revision 0
    When "babis" publishes account "volos" on revision 0
    Then it is accepted as revision 1

  Scenario: A bundle that does not fit its digest is refused
    When a damaged bundle is published
    Then it is refused as bundle_invalid

  Scenario: A lost push is made up for
    Given daemon 7 receives nothing
    And "amina" has published account "volos" on revision 0
    And revision 1 is not in force on daemon 7
    When daemon 7 receives again and 2 seconds pass
    Then revision 1 is in force on all daemons

  Scenario: A lost relay is made up for
    Given no daemon passes anything on
    And "amina" has published account "volos" on revision 0
    When 4 seconds pass
    Then revision 1 is in force on all daemons

  Scenario: A zone cut off from control gets the revision from a peer
    Given zone 2 is cut off except for daemon 22
    And "amina" has published account "volos" on revision 0
    And 2 seconds have passed
    And zone 2 is cut off completely
    When 60 seconds pass
    Then revision 1 is in force on all daemons

  Scenario: The status names who is cut off and since when
    Given "amina" has published account "volos" on revision 0
    And daemon 7 receives nothing
    And "babis" has published account "patras" on revision 1
    When 40 seconds pass
    Then the status counts 9 of 10 daemons in zone 3
    And it names daemon 7 as cut off at revision 1 for about 40 seconds

  Scenario: An old revision never replaces a newer one
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 3 is pushed revision 1 again
    Then revision 2 is in force on all daemons

  Scenario: A daemon with a disk comes back with its revision
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 5 restarts from its disk and is pushed revision 1
    Then revision 2 is in force on daemon 5

  Scenario: A revision that can't be stored is not put in force
    Given the disk of daemon 5 is full
    When "amina" publishes account "volos" on revision 0
    Then revision 1 is not in force on daemon 5
    And it comes into force once the disk has room

  Scenario: A control host that reaches no leader says so
    Given "amina" has published account "volos" on revision 0
    When the control host loses its leadership and 3 seconds pass
    Then the status is marked as not current since then

  Scenario: A snapshot keeps revisions and results
    Given "amina" has published account "volos" on revision 0
    When the control host restarts from a snapshot
    And the first publish is sent again
    Then it is accepted as revision 1

  Scenario: All daemons start at once and the leader has heard of none
    Given "amina" has published account "volos" on revision 0
    When all daemons restart without disks and without knowing each other
    And 2 seconds pass
    Then revision 1 is in force on all daemons

  Scenario: Only the leader's answer ends a new daemon's frequent questions
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 5 starts with revision 1 while nobody leads, and asks
    Then revision 2 is in force on daemon 5
    And within 10 seconds it asks 9 times or more
    When the control host leads and daemon 5 gets the leader's notice
    Then within 10 seconds it asks 3 times or less

  Scenario: A daemon that hears of a newer revision than it has asks on soon
    Given "amina" has published account "volos" on revision 0
    When a notice of revision 9 reaches daemon 5, and no answer brings it
    Then within 10 seconds it asks 9 times or more

  Scenario: A daemon that starts with an old revision asks for the newest soon
    Given "amina" has published account "volos" on revision 0
    And "babis" has published account "patras" on revision 1
    When daemon 5 restarts with revision 1, and the leader has heard of none
    And 2 seconds pass
    Then revision 2 is in force on daemon 5
