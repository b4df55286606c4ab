Feature: Amendments change a part of the accepted configuration

  Scenario: The document with the highest number wins
    Given an empty state
    When documents with the numbers "3 7 5 7" and different accounts are sent
    Then document 7 is stored with its first content, after 2 revisions
    And every document is acknowledged

  Scenario: A document without other changes still creates a revision
    Given an empty state
    When documents with the numbers "3 4" and the same accounts are sent
    Then document 4 is stored with its first content, after 2 revisions

  Scenario: A document keeps a zone's state, and setting it again is a no-op
    Given an empty state
    When zone "z1" is disabled, document 3 is sent, and zone "z1" is disabled again
    Then zone "z1" is out after 2 revisions
    When zone "z1" is enabled
    Then zone "z1" is in after 3 revisions

  # Guards against a file that ends rollouts and releases versions that were
  # rolled back, whether or not its host has the current revision.
  Scenario Outline: Rollouts are kept when a file is published at <host> host
    Given an empty state
    And a rollout of service "s" to "v2" is in force
    When a file with service "s" is published at <host> host
    Then the rollout to "v2" is in force
    When a file with service "other" is published at <host> host
    Then no rollout is in force

    Examples:
      | host        |
      | the current |
      | an outdated |

  # Guards against an order that undoes a later one (EVAC).
  Scenario: An order that is committed late does not undo what was accepted since
    Given control hosts "a" and "b", where zone "z1" is out
    And "a" is ordered to take "z1" in, which is not committed yet
    When "b" is ordered to take "z1" in, and then out
    And 2 s later the order of "a" is committed
    Then zone "z1" is out at every host
    And "a" has answered its order with "superseded"

  Scenario: An order whose caller has hung up is not proposed again
    Given control hosts "a" and "b", where zone "z1" is out
    And "a" is ordered to take "z1" in, which is not committed yet
    When the caller of "a" hangs up
    And "b" is ordered to take "z1" in, and then out
    And 0 s later the order of "a" is committed
    Then zone "z1" is out at every host

  Scenario: An order beside another change is carried out while its caller waits
    Given control hosts "a" and "b", where zone "z1" is out
    And "a" is ordered to take "z1" in, which is not committed yet
    When "b" is ordered to take "z2" out
    And 0 s later the order of "a" is committed
    Then zone "z1" is in at every host
    And "a" has answered its order with ""

  Scenario: The same order sent twice is acknowledged twice
    Given control hosts "a" and "b", where zone "z1" is out
    And "a" is ordered to take "z1" in, which is not committed yet
    When "b" is ordered to take "z1" in
    And 2 s later the order of "a" is committed
    Then zone "z1" is in at every host
    And "a" has answered its order with ""

  Scenario: An order of a daemon of an earlier build is applied
    Given control hosts "a" and "b", where zone "z1" is out
    When an unconditional order to take "z1" in is committed
    Then zone "z1" is in at every host

  Scenario: Only the changes of a large document are replicated
    Given a state with document 3 of 1500 routes
    When document 4 with a different deadline for one route is encoded as a diff
    Then less than 2000 bytes are replicated
    And another host that applies them has document 4 as it was sent
    And the hosts agree on the revision's digest

  Scenario: A diff with many new routes is not larger than the full document
    Given a state with document 3 of 250 routes
    When document 4 with 1240 more routes is encoded as a diff
    Then no more bytes are replicated than for the full document
    And another host that applies them has document 4 as it was sent

  Scenario: The diff of similar records takes linear time
    Given two documents of 1500 records, half of them equal, with one change each
    Then the diff between them copies all but the changed records
    And less than 20000 records are compared

  Scenario Outline: A diff reproduces the document that was sent, <change>
    Given a document of records "a b c d e"
    When the records change to "<records>"
    Then the diff reproduces them

    Examples:
      | change                | records       |
      | one changed           | a b x d e     |
      | one added at the start | x a b c d e   |
      | the first two removed | c d e         |
      | in reverse order      | e d c b a     |
      | repeated              | a a b b e e e |
      | all new               | x y           |

  Scenario: A diff from an outdated base is not applied
    Given a state with document 3 of 20 routes
    When document 4 with a different deadline for one route is encoded as a diff
    And zone "z1" is disabled meanwhile
    Then the diff is not applied, but the full document is

  Scenario: A snapshot contains the document as it was sent
    Given an empty state
    When documents with the numbers "3 7" and different accounts are sent
    And the state is restored from a snapshot
    Then document 7 is stored with its first content, after 2 revisions

  Scenario: The deltas produce the same content on a follower
    Given an empty state
    When documents with the numbers "3 7 9" and different accounts are sent
    Then the deltas produce the content and digest of the last revision
