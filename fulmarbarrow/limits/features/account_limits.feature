Feature: An upstream's owner enforces reserved shares and deadlines

  Background:
    Given an engine with a batch of 1000 tokens
    And the account "inspectorate" has a reserved share of 0.1
    And the service has short and long work

  Scenario: A full engine admits a priority account within its share
    Given "volos" fills the engine with long work of 100 tokens
    When "inspectorate" asks for 100 tokens
    Then it is placed with engine priority 0

  Scenario: A reserved share does not shrink while it is unused
    Given "inspectorate" asks for 100 tokens
    And 21 days pass
    And "volos" fills the engine with long work of 100 tokens
    When "inspectorate" asks for 100 tokens
    Then it is placed with engine priority 0

  Scenario: A priority account waits like others beyond its share
    Given "volos" fills the engine with long work of 100 tokens
    When "inspectorate" asks for 100 tokens
    And "inspectorate" asks for 100 tokens
    Then it is not placed immediately

  Scenario: Long work leaves part of a batch free for short work
    Given "volos" fills the engine with long work of 100 tokens
    When "chania" asks for 50 tokens of short work
    Then it is placed with engine priority 1

  Scenario: A priority account preempts best-effort work
    Given "volos" fills the engine with best-effort work of 100 tokens
    And short work of "chania" fills the rest of the engine
    And "inspectorate" asks for 100 tokens
    When "inspectorate" has ended its work and asks for 400 tokens
    Then best-effort work is preempted
    And it is placed after the preempted work has ended

  Scenario: A request whose deadline can't be met is refused early
    Given "volos" fills the engine with long work of 100 tokens
    And 30 attempts of 100 tokens of "volos" wait for it
    When "volos" asks for 100 tokens within 2 seconds
    Then it is refused with "deadline_exceeded" immediately

  Scenario: A request whose deadline has passed is not admitted
    When a request arrives after its deadline
    Then it is not admitted with "deadline_exceeded"

  Scenario: Each router limits the open requests of an account
    When "volos" opens 257 requests
    Then the last is not admitted with "too_many_open_requests"
    When one of them ends
    Then one more is admitted
