Feature: Bootstrap and membership changes of control hosts

  Scenario: Only founders form the log when other empty hosts request to join
    Given hosts "a b c" as founders with loss tolerance 1 and "d e" as further hosts
    When 5 seconds pass
    Then the log was formed by "a b c" only
    And exactly one of "a b c" is leader

  Scenario: A further host does not become a voter while all voters reply
    Given hosts "a b c" as founders with loss tolerance 1 and "d" as further hosts
    When 10 seconds pass
    Then the voters are "a b c"

  Scenario: A further host replaces a failed voter
    Given hosts "a b c" as founders with loss tolerance 1 and "d" as further hosts
    When 5 seconds pass
    And "c" is down for 8 seconds
    Then the voters are "a b d"
    And a command is committed

  Scenario: A new leader gives each voter time to reply before it replaces one
    Given hosts "a b c" as founders with loss tolerance 1 and "d" as further hosts
    When 10 seconds pass
    And the leader is down for 3 seconds
    Then the former leader is still a voter
    When 5 seconds pass
    Then the former leader is no voter, and there are 3

  Scenario: Five hosts vote if two losses must be tolerated
    Given hosts "a b c" as founders with loss tolerance 2 and "d e f" as further hosts
    When 12 seconds pass
    Then there are 5 voters

  Scenario: Hosts that may not form a log stay without one
    Given hosts "a b c" as founders that may not form a log
    When 20 seconds pass
    Then no host has a log

  Scenario: A host that lost its disk receives the log before it votes
    Given hosts "a b c" as founders with loss tolerance 1 and no further hosts
    When 5 seconds pass
    And a command is committed
    And "c" restarts with an empty disk and may not form a log
    And 10 seconds pass
    Then the voters are "a b c" and the former "c" is not a voter
    And "c" has applied the command

  # Guards against a host that lost its disk and never votes again (CONFIG).
  Scenario Outline: A host that lost its disk votes again, <link>
    Given hosts "a b c" as founders with loss tolerance 1 and no further hosts
    And snapshots of <bytes> bytes after 4 entries, on links of <rate> bytes per second
    When 5 seconds pass
    And 8 commands are committed in 2 seconds
    And "c" restarts with an empty disk and may not form a log
    And <time> seconds pass while a command is sent each 300 ms
    Then the voters are "a b c" and the former "c" is not a voter

    Examples:
      | link                                                   | bytes   | rate   | time |
      | where a large snapshot takes longer than a resend      | 800000  | 750000 | 12   |
      | where snapshots are taken faster than one can be sent  | 1600000 | 750000 | 20   |
      | where each part takes longer than a resend             | 800000  | 200000 | 25   |

  # Guards against a group that runs and has no leader for want of one message.
  Scenario Outline: A lost <message> does not cost another election timeout
    Given hosts "a b c" as founders with loss tolerance 1 and no further hosts
    When 5 seconds pass
    And the leader is gone, and the first <message> of each term is lost
    Then there is a leader of the same term 0.5 seconds later

    Examples:
      | message      |
      | vote request |
      | vote reply   |
