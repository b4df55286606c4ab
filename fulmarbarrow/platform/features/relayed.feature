Feature: What comes by way of a peer is what the worker sent

  Background:
    Given a daemon on the platform
    And a configuration with time limits of 30 s, worker "i-1" and another service
    And a second router that the daemon relays for

  # Guards against ids that are taken for a count of events (ORDER).
  Scenario Outline: A stream with the ids <ids> comes whole by way of a peer
    Given streams have events with the ids <ids>
    When a client asks for a stream by way of the daemon
    Then the client gets the events <ids>, once each, with the end
    And the daemon relayed it

    Examples:
      | ids        |
      | 0, 1, 2, 3 |
      | 10, 20, 30 |

  # Guards against a worker's own status that clients take for a promise, after
  # the worker has run the request (REFUSED).
  Scenario: A status after a run is no promise by way of a peer
    When a client sends an order by way of the daemon, and its worker answers 503 signed after its run
    Then the client gets 502 unsigned
    And the daemon relayed it
