Feature: Bytes without end from a worker don't fill a daemon's memory

  Background:
    Given a daemon on the platform

  # Guards against a daemon that keeps what its clients don't read.
  Scenario Outline: A worker <fault>, and most clients don't read
    Given a configuration with time limits of 30 s, worker "i-1" and another service
    When 24 clients ask worker "i-1" for 4 s, 16 don't read, and it <fault>
    Then the daemon's memory peaked below 200 MB
    And the other service answered all of its clients

    Examples:
      | fault                        |
      | sends a body without end     |
      | sends chunks without end     |
      | sends a head without end     |
      | sends an event without end   |
      | sends events without end     |

  Scenario Outline: A worker <fault> by way of a peer, and most clients don't read
    Given a configuration with time limits of 30 s, worker "i-1" and another service
    And a second router that the daemon relays for
    When 24 clients ask worker "i-1" for 4 s by way of the daemon, 16 don't read, and it <fault>
    Then the daemon relayed for them
    And the memory of the daemon and of the second router peaked below 200 MB
    And the other service answered all of its clients

    Examples:
      | fault                        |
      | sends a body without end     |
      | sends events without end     |

  Scenario: A worker that goes on after its clients have left is cut off
    Given a configuration with time limits of 30 s, worker "i-1" and another service
    When 24 clients ask worker "i-1" for 1 s, 16 don't read, and it sends a body without end
    Then within 1 s the worker's connections are closed
