Feature: An upstream's owner goes on when the upstream first names it

  Scenario: A new upstream names its only router and gets work without a pause
    Given 1 routers and 1 engines with a batch of 1000 tokens
    And engine "engine-0" restarts now
    When 1 seconds pass
    And the owner of every engine becomes router 0 with epoch 1
    And router 0 places 1 requests of 100 tokens of the chat "a"
    Then 1 requests are placed

  # Guards against orders that wait out their dispatch lease at an idle upstream.
  Scenario: A new upstream names one of three routers and gets work without a pause
    Given 3 routers and 1 engines with a batch of 1000 tokens
    And engine "engine-0" restarts now
    And router 0 is the owner of every engine with epoch 0
    When 1 seconds pass
    And the owner of every engine becomes router 0 with epoch 1
    And router 1 places 1 requests of 100 tokens of the chat "a"
    Then 1 requests are placed

  Scenario: An upstream that names its owner late waits for work placed without one
    Given 3 routers and 1 engines with a batch of 1000 tokens
    And engine "engine-0" restarts now
    And router 0 is the owner of every engine with epoch 0
    When 4 seconds pass
    And the owner of every engine becomes router 0 with epoch 1
    And router 1 places 1 requests of 100 tokens of the chat "a"
    Then 0 requests are placed

  Scenario Outline: A queued request keeps its place when the upstream names its owner
    Given <routers> routers and 1 engines with a batch of 1000 tokens
    And engine "engine-0" restarts now
    And router 0 is the owner of every engine with epoch 0
    And router 0 has 2 requests of 100 tokens of the chat "a" in progress
    When the owner of every engine becomes router 0 with epoch 1
    Then router 0 has 1 request queued at "engine-0"
    And router 0 has 100 tokens reserved at the first engine
    When 4 seconds pass
    Then 2 requests are placed

    Examples:
      | routers |
      | 1       |
      | 3       |

  Scenario: A router that restarts waits for renewals at an upstream that names it
    Given 1 routers and 1 engines with a batch of 1000 tokens
    And engine "engine-0" restarts now and names router 0 with epoch 1
    When the owner of every engine becomes router 0 with epoch 1
    And router 0 places 1 requests of 100 tokens of the chat "a"
    Then 0 requests are placed
