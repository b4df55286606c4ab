Feature: The holder of the duty orders upstreams

  Background:
    Given a control host that may order upstreams of service "s"
    And a router of zone "a" that reports work for 6 upstreams

  Scenario: Nothing is decided without the duty
    When 30 s pass
    Then the subject "s/a" is wanted
    And there are no calls

  Scenario: A number is committed before it is ordered, and only once
    When the host gains the duty with number 7
    And 30 s pass
    Then the calls are "6@7"
    And the last order is settled

  Scenario: After an unknown outcome the last number is sent once more
    Given the platform's next outcome is "unknown"
    When the host gains the duty with number 7
    And 10 s pass
    Then the calls are "6@7"
    When 60 s pass
    Then the calls are "6@7 6@7"

  Scenario: An earlier call may overtake a newer one until its time is over
    Given the platform's next outcome is "unknown"
    When the host gains the duty with number 7
    And 8 s pass
    And the router reports work for 9 upstreams
    And 6 s pass
    Then the calls are "6@7 8@7 9@7"
    And the last order is not settled
    When 20 s pass
    Then the calls are "6@7 8@7 9@7 9@7"
    And the last order is settled

  Scenario: A refused number is given up at once
    Given the platform's next outcome is "superseded"
    When the host gains the duty with number 7
    And 30 s pass
    Then the calls are "6@7"
    And number 7 is given up

  Scenario: Calls that can't be sent hand the duty over
    Given the platform's outcome is always "not_sent"
    When the host gains the duty with number 7
    And 12 s pass
    Then the platform is reported unreachable

  Scenario: A call is limited and sent later
    Given the platform's next outcome is "limited"
    When the host gains the duty with number 7
    And 10 s pass
    Then the calls are "6@7 6@7"

  Scenario: Orders for many zones keep to the calls that the platform accepts
    Given upstreams of service "s" in 12 more zones without routers
    And the router reports work for 9 upstreams
    When the host gains the duty with number 7
    And 20 s pass
    Then each of 12 zones has an order, and no second has more than 4 calls

  Scenario: The next holder sends an order that was not settled
    Given the log has an order for 5 upstreams with number 6
    And the router reports work for 5 upstreams
    When the host gains the duty with number 7
    And 10 s pass
    Then the calls are "5@7"
    When 20 s pass
    Then the calls are "5@7 5@7"

  Scenario: The next holder leaves a settled order
    Given the log has a settled order for 5 upstreams with number 6
    And the router reports work for 5 upstreams
    When the host gains the duty with number 7
    And 30 s pass
    Then there are no calls

  Scenario: A late decision of a former holder is ignored
    Given the log has an order for 5 upstreams with number 6
    When a decision for 2 upstreams with number 5 is committed
    Then the last order is for 5 upstreams

  Scenario: A host whose lease has ended makes no call
    When the host gains the duty with number 7 for 1 s only
    And 30 s pass without a renewal
    Then there are at most 1 calls

  Scenario Outline: Impossible reports are discarded
    When a report with <fault> arrives
    And the host gains the duty with number 7
    And 10 s pass
    Then the calls are "6@7"

    Examples:
      | fault             |
      | a span of 0       |
      | negative arrivals |
      | 10^18 arrivals    |
      | a time of a year  |
      | 10000 services    |

  Scenario: Orders survive in a snapshot
    Given the log has a settled order for 5 upstreams with number 6
    When the state is restored from its snapshot
    Then the last order is for 5 upstreams
    And the last order is settled

  Scenario: A snapshot of a host without scaling leaves no orders
    Given the log has a settled order for 5 upstreams with number 6
    When a snapshot without a state of scaling is restored
    Then there is no order

  Scenario: A router reports only changes and at most once a second
    Given a router core that knows the holder
    When 20 requests a second arrive for 30 s
    Then it has sent at most 30 reports
    When nothing arrives for 30 s
    Then the last report has no work

  Scenario: A router counts requests that are refused or lost
    Given a router core that knows the holder
    When 10 requests arrive, of which 4 are refused and 3 are lost
    Then the reports tell of 10 arrivals, 4 refusals and 3 served

  Scenario: Nothing runs and nothing is encoded without scaling
    Then daemons without "scaling.enabled" have no core of this package
    And a bundle without scaling is encoded as before
