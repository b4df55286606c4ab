Feature: Snapshots among hosts with different state machines

  # Without this, a host whose settings lack a machine writes snapshots that
  # lose its state, and one that has it keeps a state older than the snapshot.
  Scenario: A snapshot keeps the states of machines that a host does not run
    Given a host with the machines "a, c" and a snapshot of "a, b"
    Then "a" is restored with its state, and "c" with the empty one
    When the host takes a snapshot after 3 entries
    Then it has the new states of "a, c" and the former one of "b"

  Scenario: A host takes a leader's snapshot with other machines than its own
    Given a host with the machines "a, c" that has no log
    When a leader sends it a snapshot of "a, b"
    Then "a" is restored with its state, and "c" with the empty one
    And it has stored the former states of "a, b"
