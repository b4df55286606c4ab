Feature: HTTP client connections to upstreams

  Scenario: An attempt carries the time left until its deadline
    When an order is sent 1200 ms before its deadline
    And its connection is established
    Then the request carries a deadline of 1200 ms

  Scenario: An order is sent if its connection is established before the lease ends
    When an order with a lease of 2 seconds is sent
    And its connection is established after 1900 ms
    Then the request has been written
    When the connection is lost
    Then the attempt has failed as crashed and sent

  Scenario: An order is not sent if its connection is established after the lease ends
    When an order with a lease of 2 seconds is sent
    And its connection is established after 2000 ms
    Then nothing has been written
    And the attempt has failed as lease_passed and not sent

  Scenario: An order whose connection is refused counts as not sent
    When an order with a lease of 2 seconds is sent
    And its connection is refused
    Then the attempt has failed as connect and not sent

  Scenario: Suspected connections are not reused
    Given a completed order whose connection is kept alive
    When another order is sent
    Then it uses the pooled connection
    When it completes and the upstream's connections are suspected
    And another order is sent
    Then it uses a new connection
