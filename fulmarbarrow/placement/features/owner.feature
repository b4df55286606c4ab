Feature: An upstream's owner keeps its work within the bounds

  Background:
    Given 3 routers and 2 engines with a batch of 1000 tokens
    And the owner of every engine is router 0

  Scenario: A chat is placed at its first engine while that has capacity
    When router 1 places 4 requests of 200 tokens of the chat "a"
    Then they are all placed at the chat's first engine

  Scenario: A chat is placed at its second engine when the first is full
    When router 1 places 6 requests of 200 tokens of the chat "a"
    Then 5 are at the chat's first engine and 1 at its second

  Scenario: The work of all routers counts against one bound
    When each router places 4 requests of 200 tokens of the chat "a"
    Then no engine has more than 1250 tokens

  Scenario: A duplicate of a reservation is counted once
    When a reservation of 400 tokens reaches router 0 twice
    Then both replies grant it
    And router 0 has 400 tokens reserved at the first engine

  Scenario: A release that arrives before its reservation leaves no reservation
    When the release of a reservation of 400 tokens reaches router 0 first
    Then the reservation is refused with "released"
    And router 0 has 0 tokens reserved at the first engine

  Scenario: A grant that arrives too late is released
    Given replies to router 1 are held back
    When router 1 places 1 requests of 200 tokens of the chat "a"
    And 1 seconds pass
    And the replies to router 1 arrive
    And 1 seconds pass
    Then the reservations at router 0 match the running work of router 1

  Scenario: The reservations of a dead router expire with their lease
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And router 1 dies
    And 31 seconds pass
    Then router 0 has 0 tokens reserved at the first engine

  Scenario: The reservations of an unreachable router expire with their requests
    Given requests have a deadline of 2 seconds
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And router 1 dies
    And 4 seconds pass
    Then router 0 has 0 tokens reserved at the first engine

  Scenario: The renewed reservations of a dead router expire with their requests
    When router 1 renews 200 tokens of a request with a deadline of 2 seconds
    Then router 0 has 200 tokens reserved at the first engine
    When 4 seconds pass
    Then router 0 has 0 tokens reserved at the first engine

  Scenario: The reservation of a long answer is renewed
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And 30 seconds pass
    Then router 0 has 800 tokens reserved at the first engine

  Scenario: A new owner learns the running work from renewals
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And the owner of every engine becomes router 2 with epoch 2
    And 2 seconds pass
    Then router 2 has 800 tokens reserved at the first engine

  Scenario: A new owner grants nothing before it knows the work of the former owner
    When router 1 places 6 requests of 200 tokens of the chat "a"
    And router 2 becomes the owner of every engine with epoch 2 and places 3 more requests
    And the other routers learn of it 250 ms later
    And 1 seconds pass
    Then no engine has more than 1250 tokens
    And 9 requests are placed

  Scenario: Of two owners the one with the higher epoch is asked
    Given router 1 is told that router 2 owns every engine with epoch 2
    And router 1 is told that router 0 owns every engine with epoch 1
    When router 1 places 1 requests of 200 tokens of the chat "a"
    Then router 0 has 0 tokens reserved at the first engine
    And 1 requests are placed

  Scenario: Answers without cache information do not move chats away
    Given engines that do not report cache hits
    When router 1 serves 40 chats 20 times each, one request after the other
    And the chat "chat-0" is placed at its second engine once
    Then the chat "chat-0" is placed at its first engine again

  Scenario: Crashed engines do not lower the bound of the others
    Given 3 routers and 5 engines, bounded by twice the mean number of requests
    And the owner of every engine is router 0
    When 2 attempts at each of "engine-2 engine-3 engine-4" are lost
    And 60 attempts start at each of "engine-0 engine-1" within 6 seconds
    Then at least 30 of them run at each of "engine-0 engine-1"

  Scenario: Engines that named a limit do not lower the bound of the others
    Given 3 routers and 5 engines, bounded by twice the mean number of requests
    And the owner of every engine is router 0
    When each of "engine-2 engine-3 engine-4" names a limit of 3 a second
    And 60 attempts start at each of "engine-0 engine-1" within 6 seconds
    Then at least 30 of them run at each of "engine-0 engine-1"

  Scenario: Idle engines lower the bound of the others
    Given 3 routers and 5 engines, bounded by twice the mean number of requests
    And the owner of every engine is router 0
    When 60 attempts start at each of "engine-0 engine-1" within 6 seconds
    Then at most 7 of them run at each of "engine-0 engine-1"

  # Guards against a bound from the mean of one version, which grows with the
  # requests of its only engine (LIMIT).
  Scenario: Idle engines of another version lower the bound of the first engines of a new one
    Given 3 routers and 5 engines, bounded by twice the mean number of requests
    And the owner of every engine is router 0
    And version "2" of the service runs at "engine-0"
    When 60 attempts start at each of "engine-0" within 6 seconds
    Then at most 7 of them run at each of "engine-0"

  # Guards against a lowest bound that a large idle pool does not allow (LIMIT).
  Scenario: The lowest bound in a large idle pool is what its mean allows
    Given 3 routers and 12 engines, bounded by twice the mean number of requests
    And the owner of every engine is router 0
    When 20 attempts start at each of "engine-0" within 6 seconds
    Then at least 3 of them run at each of "engine-0"
    And at most 3 of them run at each of "engine-0"

  Scenario: An engine that one router finds misdirected is refused to others for a while
    When an attempt at "engine-0" finds another engine at its address
    Then another router is refused a place at "engine-0"
    When 2 seconds pass
    Then another router is granted a place at "engine-0"

  Scenario: A reservation under a wrong epoch is refused
    When a reservation with epoch 7 reaches router 0
    Then the reservation is refused with "not_owner"

  Scenario: A lost owner delays a request only by the reply timeout
    Given router 0 is dead
    When router 1 places 1 requests of 100 tokens of the chat "a"
    And 1 seconds pass
    Then 1 requests are placed

  Scenario: A new owner waits for renewals before it places work at a restarted engine
    Given engine "engine-0" restarts now
    When the owner of every engine becomes router 2 with epoch 2
    And each router places 6 requests of 100 tokens of many chats
    Then engine "engine-0" has at most 0 tokens of work

  # Guards against orders whose dispatch lease ends in the queue of an owner
  # that grants nothing yet.
  Scenario: A request does not wait at a restarted engine whose owner waits for renewals
    When the chat's first engine restarts
    And the owner of every engine becomes router 2 with epoch 2
    And router 1 places a request of 100 tokens of the chat "a" and 100 ms pass
    Then 0 are at the chat's first engine and 1 at its second

  Scenario: A restarted engine gets only what its ramp allows
    Given engine "engine-0" restarts now
    When 3 seconds pass
    And each router places 6 requests of 100 tokens of many chats
    Then engine "engine-0" has at most 190 tokens of work

  Scenario Outline: An unavailable engine gets no new work
    Given engine "engine-0" is <event>
    When each router places 3 requests of 100 tokens of many chats
    Then engine "engine-0" has at most 0 tokens of work

    Examples:
      | event                       |
      | leaving                     |
      | in a zone that is taken out |
      | of a stopped version        |

  Scenario: Queued attempts leave an upstream whose zone is taken out
    Given router 1 has 16 requests of 200 tokens of the chat "a" in progress
    When the zone of the chat's first engine is taken out
    And 1 seconds pass
    Then none of them is queued at the chat's first engine

  Scenario: Queued attempts leave an upstream that restarts
    Given router 1 has 16 requests of 200 tokens of the chat "a" in progress
    When the chat's first engine restarts
    Then no request waits for its place in a queue that is gone

  Scenario: Queued attempts leave an upstream whose owner has a new lease
    Given router 1 has 16 requests of 200 tokens of the chat "a" in progress
    When the owner of every engine becomes router 0 with epoch 3
    Then no request waits for its place in a queue that is gone

  Scenario: An engine that lost its cache is ramped again
    Given 60 chats have hit the cache of "engine-0"
    When 12 chats miss the cache of "engine-0"
    Then "engine-0" is ramped again

  Scenario: A moved chat is placed at the engine that has its cache
    Given the chat "a" was moved from its first engine to its second
    When router 2 places 1 requests of 200 tokens of the chat "a"
    Then 0 are at the chat's first engine and 1 at its second

  Scenario: A moved chat is placed at its home if the engine with its cache has left
    Given the chat "a" was moved from its first engine to its second
    And the chat's second engine is gone
    When router 2 places 1 requests of 200 tokens of the chat "a"
    Then 1 are at the chat's first engine and 0 at its second

  Scenario: A moved chat is not placed at a misdirected engine
    Given the chat "a" was moved from its first engine to its second
    When router 2 places 1 requests of 200 tokens of the chat "a"
    And router 2 finds another engine at its upstream's address
    And router 2 places 1 requests of 200 tokens of the chat "a"
    Then 1 are at the chat's first engine and 1 at its second

  Scenario: The retry of a moved chat is not placed at the engine that failed it
    Given the chat "a" was moved from its first engine to its second
    When router 2 places a request of 200 tokens of the chat "a" that its second engine has failed
    Then 1 are at the chat's first engine and 0 at its second

  Scenario: A restarted engine keeps its owner until it names a new one
    When engine "engine-0" restarts and router 1 is announced as owner with epoch 0
    Then router 2 regards router 0 as the owner of "engine-0"

  Scenario: The dead owner of a restarted engine is replaced
    When every router learns that router 0 is gone
    And engine "engine-0" restarts and router 1 is announced as owner with epoch 0
    Then router 2 regards router 1 as the owner of "engine-0"

  Scenario: A restarted engine may name an owner with a lower epoch
    When the owner of every engine becomes router 2 with epoch 7
    And engine "engine-0" restarts and router 1 is announced as owner with epoch 1
    Then router 0 regards router 1 as the owner of "engine-0"
