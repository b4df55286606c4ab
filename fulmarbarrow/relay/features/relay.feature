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
