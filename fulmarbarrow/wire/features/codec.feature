Feature: Frames between daemons prove their sender

  Background:
    Given two daemons with the same fleet key

  Scenario: Messages arrive as they were sent
    When a frame with 3 messages is sent
    Then the receiver gets the 3 messages

  Scenario: A frame that arrives twice is dropped
    When a frame with 1 messages is sent
    And the same frame arrives again
    Then it is dropped as replayed

  Scenario: A frame for another daemon is dropped
    When a frame for another daemon arrives
    Then it is dropped as replayed

  Scenario: A frame under another key is dropped
    When a frame under another fleet key arrives
    Then it is dropped as wrong_key

  Scenario: Altered and random bytes are dropped
    When each byte of a frame is altered in turn
    Then every one is dropped as wrong_key

  Scenario: An old protocol version is dropped
    When a frame of wire version 0 arrives
    Then it is dropped as old_version

  Scenario: Frames of an earlier incarnation are dropped
    When a frame with 1 messages is sent
    And the sender restarts and sends a frame
    And a frame of the earlier incarnation arrives
    Then it is dropped as replayed

  Scenario: Frames that overtake each other all arrive once
    When 50 frames arrive in reverse order
    Then all 50 frames are accepted

  Scenario: Mutated messages under the right key raise nothing
    When 10000 frames whose bytes were altered before they were signed arrive
    Then each is dropped or holds messages
