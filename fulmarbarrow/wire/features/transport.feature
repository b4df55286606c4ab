Feature: Frames travel on connections that end when they go silent

  Scenario: A frame waits for the first connection
    When a message is sent to a peer
    Then a connection is opened, and nothing is written yet
    When the connection is made
    Then the frame is written and the kernel watches the connection

  # Guards against a sound connection that ends with one lost probe.
  Scenario: Unacknowledged bytes and lost probes are judged apart
    When a message is sent to a peer
    And the connection is made
    Then it ends after bytes that nobody acknowledges, and is not probed
    And a connection that a peer opens ends after 3 lost probes
    And a connection to an upstream outlives a silence of 1500 ms

  Scenario: A frame waits for a peer that refuses connections for a moment
    When a message is sent to a peer
    And the connection is refused, and made 100 ms later
    Then the frame is written

  Scenario: A frame that is too old is dropped and counted
    When a message is sent to a peer
    And connections are refused for 1500 ms
    Then nothing waits and 1 frame is counted as unsent

  Scenario: After a loss the next frame opens another connection
    When a message is sent to a peer
    And the connection is made
    And the connection is lost and another message is sent
    Then a second connection is opened

  # Guards against the loss of the first message to a host that lost power.
  Scenario: No frame is sent to the former process of a peer that has started
    When a message is sent to a peer
    And the connection is made
    And the peer has started again and another message is sent
    Then a second connection is opened
    And what was written on the first one is still sent

  Scenario: A peer that runs on keeps its connection
    When a message is sent to a peer
    And the connection is made
    And the peer is announced again and another message is sent
    Then no second connection is opened

  Scenario: What waits for a peer that does not answer is bounded
    When messages of 1 MB are sent 8 times to a peer that does not answer
    Then at most 4 MB wait and the others are counted as unsent

  # Guards against changes of a configuration that arrive newest first (CONFIG).
  Scenario: Urgent messages leave before others, in their own order
    When messages 1, 2 and 3 are sent to a peer in one turn, 2 and 3 urgently
    Then they are written in the order 2, 3, 1

  Scenario: A message that can't be encoded takes no other one with it
    When a message with a number of 80 bits is sent among 3 others, to two peers
    Then the 3 others reach their peers
    And 1 message is counted as unencodable
