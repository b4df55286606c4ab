Feature: Every fault of an upstream can be switched on

  Background:
    Given a running engine

  Scenario: A crash ends the process
    When the fault is switched on
      """
      {"fault": "crash"}
      """
    Then the engine's process ends

  Scenario: Only a poison request crashes
    When the fault is switched on
      """
      {"fault": "poison", "phrase": "belladonna"}
      """
    And a chat says "hemlock"
    Then the answer is whole
    When a chat says "belladonna"
    Then there is no answer
    And the engine's process ends

  Scenario: A full engine says truthfully that it did not run
    When the fault is switched on
      """
      {"fault": "refuse", "count": 1}
      """
    And a chat says "hemlock"
    Then the status is 503 with header X-Not-Run "true"
    When a chat says "hemlock"
    Then the answer is whole

  Scenario: An engine refuses what is meant for an earlier incarnation
    When a chat expects incarnation 1
    Then the status is 421 with header X-Not-Run "true"

  Scenario: An answer is cut
    When the fault is switched on
      """
      {"fault": "cut", "events": 2, "count": 1}
      """
    And a chat says "hemlock"
    Then the answer ends after 2 words

  Scenario: Answers are crossed
    When a chat says "hemlock"
    And the fault is switched on
      """
      {"fault": "crossed", "count": 1}
      """
    And a chat says "hemlock"
    Then the answer names the attempt before

  Scenario: A connection goes silent while new ones work
    When a connection is opened and used
    And the fault is switched on
      """
      {"fault": "silent"}
      """
    Then the connection gives no answer
    When a chat says "hemlock"
    Then the answer is whole

  Scenario: A bad version fails on its route only
    When the fault is switched on
      """
      {"fault": "bad_version", "version": "2", "route": "/v1/chat"}
      """
    And a chat says "hemlock"
    Then the answer is whole
    When version 2 is asked
    Then the status is 500 with header X-Not-Run ""
