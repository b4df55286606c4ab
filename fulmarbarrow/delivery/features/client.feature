Feature: Attempts on the connections to upstreams

  Scenario: The time that is left goes with the attempt
    When an order is sent 1200 ms before its deadline
    And its connection is made
    Then the request carries a deadline of 1200 ms

  Scenario: An order whose connection is made in time is sent
    When an order with a lease of 2 seconds is sent
    And its connection is made after 1900 ms
    Then the request has been written
    When the connection is lost
    Then the attempt has failed as crashed and sent

  Scenario: An order whose connection is made after its lease is not sent
    When an order with a lease of 2 seconds is sent
    And its connection is made after 2000 ms
    Then not a byte has been written
    And the attempt has failed as lease_passed and not sent

  Scenario: An order whose connection is refused is not sent
    When an order with a lease of 2 seconds is sent
    And its connection is refused
    Then the attempt has failed as connect and not sent

  Scenario: Suspected connections are never used again
    Given an answered order whose connection is kept
    When another order is sent
    Then it went over the kept connection
    When that one is answered, and the upstream's connections are suspected
    And another order is sent
    Then it went over a new connection
