Feature: An upstream gets no more requests a second than it names

  # The rule that the bounds come from: in any 4 s at most one and a half times
  # what the limit allows and 5 requests.

  Scenario Outline: One limit holds for all routers together
    Given <routers> routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 40 requests a second come for 8 s and the engine names <rate> a second
    Then it gets at most <most> and at least <least> requests in any 4 s
    And the requests that got no place were refused within 700 ms

    Examples:
      | routers | rate | most | least |
      | 1       | 6    | 41   | 24    |
      | 8       | 6    | 41   | 24    |
      | 195     | 6    | 41   | 24    |
      | 8       | 0.7  | 9    | 2     |
      | 8       | 0    | 5    | 1     |

  Scenario: A limit binds the owner although another router got the answer
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    And only answers to router 3 name a limit
    When 40 requests a second come for 8 s and the engine names 6 a second
    Then it gets at most 41 and at least 24 requests in any 4 s

  Scenario Outline: A limit holds while its owner is <event>
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 40 requests a second come for 4 s and the engine names 6 a second
    And router 0 <happens>
    And 40 requests a second come for 8 s and the engine names 6 a second
    Then it gets at most 41 and at least 2 requests in any 4 s

    Examples:
      | event    | happens                                 |
      | dead     | dies                                    |
      | replaced | dies and router 5 owns every engine     |
      | asleep   | dies and returns after 2 s              |
      | new      | forgets all and router 0 owns every engine |

  Scenario: A limit that falls and rises holds at once
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 40 requests a second come for 6 s and the engine names 12 a second
    And 40 requests a second come for 6 s and the engine names 3 a second
    Then it got at most 23 requests in the last 4 s
    When 40 requests a second come for 6 s and the engine names 20 a second
    Then it got at least 68 requests in the last 4 s

  Scenario: A limit ends with the first answer without one
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 40 requests a second come for 4 s and the engine names 3 a second
    And 40 requests a second come for 6 s and the engine names no limit
    Then it got at least 150 requests in the last 4 s
    And no router knows a limit

  Scenario: A limit whose end the owner did not hear of ends
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 40 requests a second come for 4 s and the engine names 3 a second
    And 40 requests a second come for 12 s and no answer is read
    Then it got at least 150 requests in the last 4 s

  Scenario: An answer that was overtaken does not end a limit
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 40 requests a second come for 4 s and the engine names 3 a second
    And router 2 hears of another limit and router 4 100 ms later of none
    Then the owner still limits the engine

  Scenario: A new run of an upstream has no limit
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 40 requests a second come for 4 s and the engine names 3 a second
    And engine "engine-0" starts anew
    Then no router knows a limit

  Scenario: Few messages tell an owner of a limit
    Given 8 routers and 1 engines with a batch of 90000 tokens
    And the owner of every engine is router 0
    When 200 requests a second come for 8 s and the engine names 50 a second
    Then the owner was told of the limit at most 72 times
