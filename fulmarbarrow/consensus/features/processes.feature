Feature: Failures of control daemons in real processes

  Scenario: The leader is killed, comes back, and nothing is lost
    Given 3 control daemons and 3 routers on loopback
    And revision 1 is in force on all of them
    When the leader is killed
    And a revision is published to another control daemon
    Then revision 2 is in force on the other daemons
    When the killed daemon restarts
    Then revision 2 is in force on every daemon

  Scenario: A suspended leader does not reply as leader after it resumes
    Given 3 control daemons and 0 routers on loopback
    And revision 1 is in force on all of them
    When the leader is suspended
    And a revision is published to another control daemon
    And the suspended daemon resumes
    Then its first status is revision 2 from the new leader, or not current
    And revision 2 is in force on every daemon

  Scenario: A second host is lost right after the first one was replaced
    Given 3 control daemons and 0 routers on loopback
    And revision 1 is in force on all of them
    When a control daemon's host is replaced by one with an empty disk
    Then it becomes a member under a new identity
    When another control daemon is killed
    And a revision is published to the replaced daemon
    Then revision 2 is in force on the other daemons

  Scenario: Without a quorum no publish is accepted and the status is not current
    Given 3 control daemons and 0 routers on loopback
    And revision 1 is in force on all of them
    When two control daemons are killed
    Then the status of the third is not current
    And a publish there is not accepted

  Scenario: A graceful stop hands the leadership over
    Given 3 control daemons and 0 routers on loopback
    And revision 1 is in force on all of them
    When the leader is stopped gracefully
    Then another daemon is leader of the next term

  Scenario: Fleets of concurrent test runs use distinct ports
    When two other processes and this one choose 600 ports each
    Then no port was chosen twice
