Feature: The cache of hot chats moves before a zone's traffic returns

  Scenario: A router asks for the chats that left with the zone
    Given a router that knows 3 zones
    And chats that were placed in attica-b before it was taken out
    When a later revision has it in again
    Then a control host is asked to move them back, hottest first

  Scenario: The leader gives the hottest chats' orders within its budgets
    Given a control host that leads with fencing number 7
    When 40 moves of 60000 tokens between 8 engines are wanted
    Then 3 orders are given at once, for the chats with most requests
    And each carries fencing number 7
    When 1 s passes with all orders taken
    Then at most 7 orders were given
    And no engine took part in more than 2 moves at a time

  Scenario: No order is given after the warm-up has ended
    Given a control host that leads with fencing number 7
    When 40 moves of 60000 tokens between 8 engines are wanted
    And 9 s pass without any answer
    Then no more orders are given

  Scenario: An engine that refuses to export makes the target import
    Given a control host that leads with fencing number 7
    When 1 moves of 1000 tokens between 2 engines are wanted
    And its order is refused
    Then the target is told to import the chat
    When its order is refused
    Then no more orders are given

  Scenario: A control host that does not lead passes the wish on once
    Given a control host that does not lead
    When 1 moves of 1000 tokens between 2 engines are wanted
    Then the wish goes to the leader
    And a wish that was passed on before is dropped

  Scenario: A leader that is replaced gives no more orders
    Given a control host that leads with fencing number 7
    When 40 moves of 60000 tokens between 8 engines are wanted
    And another control host leads with fencing number 8
    And 3 s pass without any answer
    Then no more orders are given
