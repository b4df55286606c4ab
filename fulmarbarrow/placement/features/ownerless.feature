Feature: Routers share an upstream that has no owner

  Scenario: All routers together respect the ramp of a restarted engine
    Given 8 routers and 1 engines with a batch of 1000 tokens
    And no engine has an owner
    And engine "engine-0" restarts now
    When each router places 20 requests of 10 tokens of many chats
    Then engine "engine-0" has at most 0 tokens of work
    When 6 seconds pass
    And each router places 20 requests of 10 tokens of many chats
    Then engine "engine-0" has at most 280 tokens of work

  Scenario: All routers together respect an engine's batch
    Given 8 routers and 1 engines with a batch of 1000 tokens
    And no engine has an owner
    When each router places 40 requests of 10 tokens of many chats
    Then engine "engine-0" has at most 1000 tokens of work

  Scenario: Four hundred routers respect the ramp of a restarted engine
    Given 400 routers and 1 engines with a batch of 1000 tokens
    And no engine has an owner
    And engine "engine-0" restarts now
    When 6 seconds pass
    And each router places 3 requests of 10 tokens of many chats
    Then engine "engine-0" has at most 280 tokens of work

  Scenario: An engine that is reported as full gets no more work
    Given 8 routers and 2 engines with a batch of 1000 tokens
    And no engine has an owner
    And engine "engine-0" reports 1000 tokens
    When each router places 3 requests of 10 tokens of many chats
    Then engine "engine-0" has at most 0 tokens of work

  Scenario: A router without peers owns every engine
    Given 1 routers and 2 engines with a batch of 1000 tokens
    When router 0 places 4 requests of 200 tokens of the chat "a"
    Then they are all placed at the chat's first engine
    And router 0 has 800 tokens reserved at the first engine

  Scenario: Requests of a plain service are placed within the zone first
    Given 3 routers and 6 plain upstreams in 3 zones
    And the owner of every engine is router 0
    When each router places 2 requests of 100 tokens to the plain service
    Then every request is placed in its router's zone

  Scenario: An announced owner is kept although its epoch is 0
    Given 3 routers and 2 engines with a batch of 1000 tokens
    When the owner of every engine becomes router 1 with epoch 0
    And another router joins
    Then router 0 regards router 1 as the owner of "engine-0"
