Feature: Amendments change a part of whatever is accepted

  Scenario: Of several documents the one with the highest number holds
    Given an accepted state
    When documents come with the numbers "3 7 5 7" and other accounts each
    Then number 7 holds with its first content, after 2 revisions
    And every one of them is acknowledged

  Scenario: A document that changes nothing else still makes a revision
    Given an accepted state
    When documents come with the numbers "3 4" and the same accounts
    Then number 4 holds with its first content, after 2 revisions

  Scenario: A zone's state outlives documents, and setting it again is nothing
    Given an accepted state
    When zone "z1" is taken out, a document 3 comes, and zone "z1" is taken out again
    Then zone "z1" is out after 2 revisions
    When zone "z1" is taken back in
    Then zone "z1" is in after 3 revisions

  Scenario: Of a large document only what changes is replicated
    Given an accepted state with a document 3 of 1500 routes
    When document 4 with another time limit for one route is shortened
    Then less than 2000 bytes are replicated
    And applied by another host they make document 4 as it was sent
    And the hosts agree on the revision's digest

  Scenario: Many new routes are replicated in no more than the whole takes
    Given an accepted state with a document 3 of 250 routes
    When document 4 with 1240 routes more is shortened
    Then no more bytes are replicated than of the whole document
    And applied by another host they make document 4 as it was sent

  Scenario: Records that are much alike are found in time linear in them
    Given documents of 1500 records that are half alike, with one changed each
    Then the steps from one to the other copy all but the changed records
    And less than 20000 records are compared

  Scenario Outline: Steps make the document that was sent, <change>
    Given a document of records "a b c d e"
    When the records become "<records>"
    Then the steps make them

    Examples:
      | change                | records       |
      | one changed           | a b x d e     |
      | one added in front    | x a b c d e   |
      | the first two removed | c d e         |
      | others in their order | e d c b a     |
      | repeated              | a a b b e e e |
      | all new               | x y           |

  Scenario: Steps from a base that has moved are not applied
    Given an accepted state with a document 3 of 20 routes
    When document 4 with another time limit for one route is shortened
    And zone "z1" is taken out meanwhile
    Then its steps are not applied, and the whole document is

  Scenario: A snapshot keeps the document as it was sent
    Given an accepted state
    When documents come with the numbers "3 7" and other accounts each
    And the state is restored from a snapshot
    Then number 7 holds with its first content, after 2 revisions

  Scenario: The steps lead a follower to the same content
    Given an accepted state
    When documents come with the numbers "3 7 9" and other accounts each
    Then the steps give the content of the last revision and its digest
