Feature: Requests that upstreams can't start in time are rejected early

  Background:
    Given 3 routers and 2 engines with a batch of 1000 tokens
    And the owner of every engine is router 0

  Scenario: While queues are longer than callers wait, they are told at once
    Given requests must start within 1500 ms
    When a burst of 20 requests of 200 tokens reaches each router
    Then more than 20 requests are rejected as overloaded within 50 ms
    And their return times are spread over 300 ms or more

  Scenario: A request waits no longer than its caller has a use for the answer
    Given requests must start within 1500 ms
    When a burst of 20 requests of 200 tokens reaches each router
    And 2 seconds pass
    Then no router has a request that waits
    And every rejection came within 1600 ms

  Scenario: A request without such a time waits until its deadline
    When a burst of 5 requests of 200 tokens reaches each router
    And 3 seconds pass
    Then a router has a request that waits

  Scenario: A request that is placed late is still tried once
    Given requests should have started 100 ms ago
    When router 1 places 1 requests of 200 tokens of the chat "a"
    Then 1 requests are placed

  Scenario: While no owner replies and no engine has room, callers are told in time
    Given requests must start within 1500 ms
    And router 0 is dead
    When a burst of 20 requests of 200 tokens reaches each router
    And 2 seconds pass
    Then no router has a request that waits
    And every rejection came within 1600 ms
