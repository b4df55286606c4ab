Feature: A recorded trace is replayed against its stated outcome

  Scenario: A daemon's recording is replayed as it happened
    Given a daemon that records from its start
    And an engine and a register
    When the Office's files are published, a chat is streamed and an order is placed twice
    And the daemon stops
    And the trace is replayed against the outcome
      """
      story = "a chat, and an order that its caller sends again"
      [requests]
      whole = 3
      [counts]
      ConfigurationChanged = 1
      [[request]]
      account = "volos"
      number = 1
      ending = "whole"
      upstreams = ["engine-1"]
      [[request]]
      account = "volos"
      number = 3
      ending = "whole"
      replayed = true
      attempts = 0
      """
    Then the replay's exit code is 0
    And the trace holds no key
    When the trace is replayed against the outcome
      """
      [requests]
      refused = 1
      [[request]]
      account = "volos"
      number = 2
      ending = "whole"
      attempts = 2
      """
    Then the replay's exit code is 7
    And it prints "requests refused: 0, not 1"
    And it prints "request 2 of volos: attempts 1, not 2"
    When a turn of the trace is left out
    And the trace is replayed against the outcome
      """
      """
    Then the replay's exit code is 7
    And it prints "messages instead of the"

  Scenario: Messages posted while another is handled keep their place
    Given a bus with cores and a shell that posts in between
    When its turns are recorded and replayed without the shell
    Then the replay delivers the same messages in the same order

  Scenario: A trace ends at its bound
    Given a bus with cores and a shell that posts in between
    When 1000 turns are recorded to a file of at most 2000 bytes
    Then the file is below 2000 bytes and all of its turns can be read

  Scenario: A trace stays below the data folder
    When a trace is wanted at "../elsewhere"
    Then it is refused as "is not a file below the data folder"

  Scenario: Keys in settings become unreadable
    When the settings are made fit for a trace
      """
      [daemon]
      fleet_key = "a secret of the fleet"
      admin_key='a secret of operators'
      [upstreams]
      "key" = 'a secret of upstreams'
      """
    Then the text holds no "secret" but 3 keys

  Scenario Outline: The story <name> ends as it is stated
    When the shipped trace <name> is replayed
    Then it ends as it is stated, in at least <requests> requests

    Examples:
      | name                     | requests |
      | late-answer-at-the-press | 1        |
      | lost-order               | 3        |
      | doubled-stamp            | 3        |
      | hung-glaze-advisor       | 1        |
      | double-wholesale-order   | 3        |
      | morning-auction          | 28       |
      | tagger-behind-drafts     | 14       |
      | zone-out-and-back        | 18       |
