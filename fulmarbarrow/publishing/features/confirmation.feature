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
