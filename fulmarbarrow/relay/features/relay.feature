Feature: A host without a path to an upstream connects by way of a peer

  Background:
    Given routers "a", "b" and "c" and an upstream that all of them know

  # Guards against a host that fails requests while others reach the upstream.
  Scenario: A request is served while its host can't connect to the upstream
    Given "a" is cut off from the upstream
    When "a" sends a request
    Then it is answered within 600 ms
    And the upstream got 1 request

  Scenario: A request is served while the host's connections are refused
    Given connections of "a" to the upstream are refused
    When "a" sends a request
    Then it is answered within 100 ms

  Scenario: A host that is cut off goes by way of peers at once
    Given "a" is cut off from the upstream
    And "a" has sent 2 requests
    When "a" sends a request
    Then it is answered within 100 ms

  Scenario: A single connection that fails does not move a host to peers
    Given "a" is cut off from the upstream
    And "a" has sent 1 request
    And all paths are open again
    When "a" sends a request
    Then it is answered directly

  Scenario: A host returns to its own path when probes succeed twice
    Given "a" is cut off from the upstream
    And "a" has sent 2 requests
    And all paths are open again
    When "a" sends a request every 300 ms for 3 s
    Then all are answered
    And the last one is answered directly

  Scenario: An upstream that no router reaches fails as without peers
    Given all routers are cut off from the upstream
    When "a" sends a request
    Then it fails without a byte sent within 500 ms
    When "a" sends a request
    Then it fails without a byte sent within 200 ms

  Scenario: Peers that are cut off as well say so at once and another one serves
    Given "a" and "b" are cut off from the upstream
    And "b" has sent 2 requests
    And "a" has sent 2 requests
    When "a" sends a request
    Then it is answered within 100 ms

  Scenario: A peer that is leaving relays nothing new
    Given "a" is cut off from the upstream
    And "b" is leaving, which "a" does not know
    And "a" has sent 2 requests
    When "a" sends a request
    Then it is answered within 100 ms
    And "b" relayed no connection

  Scenario: A peer relays a bounded number of connections
    Given "a" is cut off from the upstream
    And "b" and "c" relay as many connections as they may
    When "a" sends a request
    Then it fails without a byte sent within 400 ms

  Scenario: A peer connects to nothing but upstreams
    Given an address that is no upstream's
    And "a" is cut off from the address
    When "a" sends a request there
    Then it fails without a byte sent within 600 ms
    And nothing was connected to the address

  Scenario: A caller's close reaches the upstream over the peer
    Given "a" is cut off from the upstream
    And the upstream answers nothing
    When "a" sends a request
    And it is cancelled after 700 ms
    Then the upstream's connection is closed within 10 ms

  Scenario: A request on a relayed connection that is lost may have run
    Given "a" is cut off from the upstream
    And the upstream answers nothing
    When "a" sends a request
    And the upstream resets its connection after 700 ms
    Then it fails after bytes were sent

  Scenario: An answer without a length that is reset on the way is not complete
    Given "a" is cut off from the upstream
    And the upstream answers a part without a length
    When "a" sends a request
    And the upstream resets its connection after 700 ms
    Then it fails after bytes were sent
    And the failure is the upstream's

  # Guards against a part of an answer that is passed on as the whole.
  Scenario: An answer without a length whose relaying peer ends is not complete
    Given "a" is cut off from the upstream
    And the upstream answers a part without a length
    When "a" sends a request
    And the peer that relayed it ends after 700 ms
    Then it fails after bytes were sent
    And the failure is not the upstream's

  Scenario: An answer without a length that ends by way of a peer is complete
    Given "a" is cut off from the upstream
    And the upstream answers a part without a length
    When "a" sends a request
    And the upstream ends its connection after 700 ms
    Then it is answered within 100 ms
    And its body is "part"

  Scenario: A long answer comes whole by way of a peer
    Given "a" is cut off from the upstream
    And the upstream answers 1000000 bytes in one part
    When "a" sends a request
    Then it is answered within 700 ms
    And its body has 1000000 bytes

  Scenario: A peer of a build without frames relays what has a length
    Given "a" is cut off from the upstream
    And "b" and "c" are daemons of a build without frames
    When "a" sends a request
    Then it is answered within 600 ms
    And its body is "ok"

  # Its end can't be told from the peer's own.
  Scenario Outline: A peer of a build without frames completes no answer by its end
    Given "a" is cut off from the upstream
    And "b" and "c" are daemons of a build without frames
    And the upstream answers a part without a length
    When "a" sends a request
    And <end> after 700 ms
    Then it fails after bytes were sent

    Examples:
      | end                              |
      | the peer that relayed it ends    |
      | the upstream ends its connection |

  Scenario: A daemon that asks for no frames gets plain bytes
    Given "a" is cut off from the upstream
    And "a" is a daemon of a build that asks for no frames
    When "a" sends a request
    Then it is answered within 600 ms
    And its body is "ok"

  Scenario: A peer that stops keeps no idle connection of others
    Given "a" is cut off from the upstream
    And "a" has sent 1 request
    When the peer that relayed it announces that it leaves
    Then no connection is relayed any more

  Scenario: A peer that stops lets a request end and keeps no connection for more
    Given "a" is cut off from the upstream
    And the upstream answers nothing
    When "a" sends a request
    And the peer that relayed it announces that it leaves after 500 ms
    And the upstream answers
    Then it is answered within 100 ms
    And no connection is relayed any more

  Scenario: Silent connections are not used again after a failure to connect
    Given "a" has sent 1 request
    And "a" is cut off from the upstream
    When "a" sends a request that needs a fresh connection
    Then it is answered within 600 ms
    And "a" keeps no direct connection
