Feature: The log on its disk

  Scenario: What was synced is found again
    Given a stored log with 20 entries
    When it is opened again
    Then its ballot and 20 entries are found

  Scenario: A write that a crash cut off anywhere is repaired
    Given a stored log with 5 entries
    When the last write is cut off at each of its bytes
    Then 4 entries are found each time, and writing goes on

  Scenario: Damage before the last write is refused with its place
    Given a stored log with 5 entries
    When each byte of the third write is damaged in turn
    Then opening is refused each time, naming the file and the offset

  Scenario: Damage in an earlier file is refused
    Given a stored log with 40 entries in small files
    When the end of the first file is cut off
    Then opening is refused, naming that file

  Scenario: A damaged snapshot is refused
    Given a stored log with 40 entries in small files
    And a snapshot at entry 30
    When a byte of the snapshot is damaged
    Then opening is refused, naming the snapshot

  Scenario: A snapshot lets older files go
    Given a stored log with 40 entries in small files
    And a snapshot at entry 30
    When it is opened again
    Then its ballot and 10 entries are found
    And fewer files are left than before

  Scenario: A crash between a leader's snapshot and the end of the old log
    Given a stored log with 20 entries
    And a snapshot of another leader at entry 10, with the old log still there
    When it is opened again
    Then its ballot and 0 entries are found

  Scenario: A full disk stops writes and loses nothing
    Given a stored log with 5 entries
    When the disk has room for only part of the next write
    Then the write is refused as storage_full
    And after room is made the same write succeeds
    And 6 entries are found after a restart

  Scenario: A failed sync is never trusted again
    Given a stored log with 5 entries
    When a sync fails
    Then that write and all later ones are refused as storage_failed

  Scenario: Two processes can't use one folder
    Given a data folder that a process uses
    When another process opens it
    Then it is refused as storage_failed

  Scenario: A host that lost only its log does not start
    Given a data folder whose log was formed
    When the log is removed but the identity stays
    Then it is refused as log_corrupt

  Scenario: A new data folder is another host
    Given a data folder that a process uses
    When the folder is replaced by an empty one
    Then the host has another identity

  Scenario: A control host with a full disk reads on and accepts nothing
    Given a control host of its own that leads
    When its disk is full and a command is proposed
    Then the command is not committed after 2 seconds
    And a read barrier is answered
    When the disk has room again and a second passes
    Then the command is committed
