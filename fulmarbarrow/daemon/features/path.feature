Feature: A request is served from end to end over real sockets

  Background:
    Given a daemon with an engine and a plain service
    And the Office's files are published

  Scenario: A streamed chat is relayed whole
    When a chat of 8 tokens is streamed
    Then the answer has the 8 tokens and the end marker

  Scenario: An order with the same key runs once
    When the order is placed 3 times with one key
    Then every answer is the same
    And the plain service ran it once

  Scenario: A planned stop cuts no request
    When a chat of 200 tokens is streamed while the daemon stops
    Then the answer has the 200 tokens and the end marker
    And the daemon's exit code is 0

  Scenario: A planned stop waits until a slow caller has read its answer
    Given a fast engine
    When a chat of 40000 tokens is read slowly while the daemon stops
    Then the slow caller has the 40000 tokens and the end marker
    And the daemon's exit code is 0
