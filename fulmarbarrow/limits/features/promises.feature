Feature: An upstream's owner keeps the promises to accounts

  Background:
    Given an engine with a batch of 1000 tokens
    And the account "inspectorate" has a reserved share of 0.1
    And the service has short and long work

  Scenario: A full engine has room for a priority account
    Given "volos" fills the engine with long work of 100 tokens
    When "inspectorate" asks for 100 tokens
    Then it is placed with engine priority 0

  Scenario: Weeks of quiet take nothing from the right
    Given "inspectorate" asks for 100 tokens
    And 21 days pass
    And "volos" fills the engine with long work of 100 tokens
    When "inspectorate" asks for 100 tokens
    Then it is placed with engine priority 0

  Scenario: Beyond its share a priority account takes its turn
    Given "volos" fills the engine with long work of 100 tokens
    When "inspectorate" asks for 100 tokens
    And "inspectorate" asks for 100 tokens
    Then it is not placed at once

  Scenario: Short work has slots that long work never takes
    Given "volos" fills the engine with long work of 100 tokens
    When "chania" asks for 50 tokens of short work
    Then it is placed with engine priority 1

  Scenario: A priority account preempts best-effort work
    Given "volos" fills the engine with best-effort work of 100 tokens
    And short work of "chania" fills the rest
    And "inspectorate" asks for 100 tokens
    When "inspectorate" has ended its work and asks for 400 tokens
    Then best-effort work is told to stop
    And it is placed when that work has stopped

  Scenario: A deadline that can't be met is refused early
    Given "volos" fills the engine with long work of 100 tokens
    And 30 attempts of 100 tokens of "volos" wait for it
    When "volos" asks for 100 tokens within 2 seconds
    Then it is refused with "deadline_exceeded" at once

  Scenario: A deadline that has passed is refused at the entry
    When a request arrives after its deadline
    Then it is not admitted with "deadline_exceeded"

  Scenario: Open requests of an account are bounded at each entry
    When "volos" opens 257 requests
    Then the last is not admitted with "too_many_open_requests"
    When one of them leaves
    Then one more is admitted
