Feature: Storage of the log

  Scenario: Synced entries are read after a restart
    Given a stored log with 20 entries
    When it is reopened
    Then its ballot and 20 entries are found

  Scenario: A write torn at any byte by a crash is removed
    Given a stored log with 5 entries
    When the last write is truncated at each of its bytes
    Then 4 entries are found each time and later writes succeed

  Scenario: Damage before the last write is reported with file and offset
    Given a stored log with 5 entries
    When each byte of the third write is damaged in turn
    Then opening fails each time with the file and the offset

  Scenario: Damage in an earlier segment is reported
    Given a stored log with 40 entries in small segments
    When the end of the first segment is truncated
    Then opening fails with the name of that segment

  Scenario: A damaged snapshot is reported
    Given a stored log with 40 entries in small segments
    And a snapshot at entry 30
    When a byte of the snapshot is damaged
    Then opening fails with the name of the snapshot

  Scenario: A snapshot deletes older segments
    Given a stored log with 40 entries in small segments
    And a snapshot at entry 30
    When it is reopened
    Then its ballot and 10 entries are found
    And fewer segments are left than before

  Scenario: A crash between writing a leader's snapshot and resetting the log
    Given a stored log with 20 entries
    And a snapshot of another leader at entry 10, without the reset of the old log
    When it is reopened
    Then its ballot and 0 entries are found

  Scenario: Writes fail on a full disk without loss of entries
    Given a stored log with 5 entries
    When the disk has space for only part of the next write
    Then the write fails with storage_full
    And with free space the same write succeeds
    And 6 entries are found after a restart

  # Guards against a host that writes nothing more once its disk has room.
  Scenario: A disk that fills at any call of a write takes the same write later
    When the disk fills at each call in turn of a write with a snapshot
    Then each time the write succeeds once there is room
    And 3 entries after the snapshot are found after a restart

  Scenario: No write succeeds after a failed sync
    Given a stored log with 5 entries
    When a sync fails
    Then that write and all later ones fail with storage_failed

  Scenario: A data folder is locked by one process
    Given a data folder in use by a process
    When another process opens it
    Then it fails with storage_failed

  Scenario: A host that lost its log but not its identity does not start
    Given a data folder whose log was formed
    When the log is removed but not the identity
    Then it fails with log_corrupt

  Scenario: A new data folder has a new identity
    Given a data folder in use by a process
    When the folder is replaced with an empty one
    Then the host has another identity

  Scenario: A control host with a full disk answers reads and commits nothing
    Given a single control host that is leader
    When its disk is full and a command is proposed
    Then the command is not committed after 2 seconds
    And a read barrier is answered
    When the disk has space again and a second passes
    Then the command is committed
