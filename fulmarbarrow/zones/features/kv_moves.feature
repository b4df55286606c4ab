Feature: KV cache of busy chats moves before a zone's traffic returns

  Scenario: A router requests the return of chats that left the zone
    Given a router with 3 configured zones
    And chats that were placed in attica-b before it was taken out
    When a later revision brings it back
    Then a control host is asked to move them back, busiest first

  Scenario: The leader orders the busiest chats' moves within its limits
    Given a control host that leads with fencing number 7
    When 40 moves of 60000 tokens between 8 engines are requested
    Then 3 orders are issued immediately, for the busiest chats
    And each carries fencing number 7
    When 1 s passes with all orders accepted
    Then at most 7 orders were issued
    And no engine took part in more than 2 moves at a time

  Scenario: No order is issued after the warm-up has ended
    Given a control host that leads with fencing number 7
    When 40 moves of 60000 tokens between 8 engines are requested
    And 9 s pass without any result
    Then no more orders are issued

  Scenario: The target imports a chat if its source refuses to export it
    Given a control host that leads with fencing number 7
    When 1 moves of 1000 tokens between 2 engines are requested
    And its order is refused
    Then the target is ordered to import the chat
    When its order is refused
    Then no more orders are issued

  Scenario: A control host that does not lead forwards a request once
    Given a control host that does not lead
    When 1 moves of 1000 tokens between 2 engines are requested
    Then the request is sent to the leader
    And a request that was already forwarded is dropped

  Scenario: A leader that was replaced issues no more orders
    Given a control host that leads with fencing number 7
    When 40 moves of 60000 tokens between 8 engines are requested
    And another control host leads with fencing number 8
    And 3 s pass without any result
    Then no more orders are issued
