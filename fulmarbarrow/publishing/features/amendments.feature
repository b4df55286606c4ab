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

  Scenario: A snapshot keeps the document as it was sent
    Given an accepted state
    When documents come with the numbers "3 7" and other accounts each
    And the state is restored from a snapshot
    Then number 7 holds with its first content, after 2 revisions

  Scenario: The steps lead a follower to the same content
    Given an accepted state
    When documents come with the numbers "3 7 9" and other accounts each
    Then the steps give the content of the last revision and its digest
