Feature: An upstream's owner keeps its work within the bounds

  Background:
    Given 3 routers and 2 engines with a batch of 1000 tokens
    And the owner of every engine is router 0

  Scenario: The chat's first engine takes it while there is room
    When router 1 places 4 requests of 200 tokens of the chat "a"
    Then they are all placed at the chat's first engine

  Scenario: A full engine passes a chat on to the next
    When router 1 places 6 requests of 200 tokens of the chat "a"
    Then 5 are at the chat's first engine and 1 at its second

  Scenario: Work of all routers counts together
    When each router places 4 requests of 200 tokens of the chat "a"
    Then no engine has more than 1250 tokens

  Scenario: A duplicate of a reservation is granted once
    When a reservation of 400 tokens reaches router 0 twice
    Then both replies grant it
    And router 0 keeps 400 tokens for the first engine

  Scenario: A release that overtakes its reservation leaves nothing behind
    When the release of a reservation of 400 tokens reaches router 0 first
    Then the reservation is refused with "released"
    And router 0 keeps 0 tokens for the first engine

  Scenario: A grant that comes too late is given back
    Given replies to router 1 are held back
    When router 1 places 1 requests of 200 tokens of the chat "a"
    And 1 seconds pass
    And the replies to router 1 arrive
    And 1 seconds pass
    Then router 0 keeps as much as router 1 runs

  Scenario: A dead router's reservations end with their lease
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And router 1 dies
    And 31 seconds pass
    Then router 0 keeps 0 tokens for the first engine

  Scenario: What a holder that is cut off reserved ends with its requests
    Given requests have 2 seconds
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And router 1 dies
    And 4 seconds pass
    Then router 0 keeps 0 tokens for the first engine

  Scenario: What a dead router had renewed ends with its requests
    When router 1 renews 200 tokens of a request that has 2 seconds
    Then router 0 keeps 200 tokens for the first engine
    When 4 seconds pass
    Then router 0 keeps 0 tokens for the first engine

  Scenario: A long answer's reservation is renewed
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And 30 seconds pass
    Then router 0 keeps 800 tokens for the first engine

  Scenario: A new owner learns of the work that runs
    When router 1 places 4 requests of 200 tokens of the chat "a"
    And the owner of every engine becomes router 2 with epoch 2
    And 2 seconds pass
    Then router 2 keeps 800 tokens for the first engine

  Scenario: A new owner grants nothing before it knows the former one's work
    When router 1 places 6 requests of 200 tokens of the chat "a"
    And router 2 takes every engine over with epoch 2 and places 3 more of them
    And 250 ms later the other routers hear of it
    And 1 seconds pass
    Then no engine has more than 1250 tokens
    And 9 requests are placed

  Scenario: Of two claimants the one with the later epoch is asked
    Given router 1 is told that router 2 owns every engine with epoch 2
    And router 1 is told that router 0 owns every engine with epoch 1
    When router 1 places 1 requests of 200 tokens of the chat "a"
    Then router 0 keeps 0 tokens for the first engine
    And 1 requests are placed

  Scenario: Answers that don't tell of the cache don't move chats away
    Given engines that don't tell what they found in their cache
    When router 1 serves 40 chats 20 times each, one request after the other
    And the chat "chat-0" is placed at its second engine once
    Then the chat "chat-0" is placed at its first engine again

  Scenario: Engines that crash don't lower what the others may take
    Given 3 routers and 5 engines, bounded by twice the mean number of requests
    And the owner of every engine is router 0
    When 2 attempts at each of "engine-2 engine-3 engine-4" are lost
    And 60 attempts start at each of "engine-0 engine-1" within 6 seconds
    Then at least 30 of them run at each of "engine-0 engine-1"

  Scenario: Idle engines do lower what the others may take
    Given 3 routers and 5 engines, bounded by twice the mean number of requests
    And the owner of every engine is router 0
    When 60 attempts start at each of "engine-0 engine-1" within 6 seconds
    Then at most 7 of them run at each of "engine-0 engine-1"

  Scenario: What one router finds misdirected no other one tries for a while
    When an attempt at "engine-0" finds another engine at its address
    Then another router is refused a place at "engine-0"
    When 2 seconds pass
    Then another router is granted a place at "engine-0"

  Scenario: A reservation under a wrong epoch is refused
    When a reservation with epoch 7 reaches router 0
    Then the reservation is refused with "not_owner"

  Scenario: A lost owner delays a request only by the timeout
    Given router 0 is dead
    When router 1 places 1 requests of 100 tokens of the chat "a"
    And 1 seconds pass
    Then 1 requests are placed

  Scenario: A new owner waits for renewals before it fills a fresh engine
    Given engine "engine-0" restarts now
    When the owner of every engine becomes router 2 with epoch 2
    And each router places 6 requests of 100 tokens of many chats
    Then engine "engine-0" has at most 0 tokens of work

  Scenario: A fresh engine gets only what its ramp allows
    Given engine "engine-0" restarts now
    When 3 seconds pass
    And each router places 6 requests of 100 tokens of many chats
    Then engine "engine-0" has at most 190 tokens of work

  Scenario Outline: No new work once the routers know
    Given engine "engine-0" is <event>
    When each router places 3 requests of 100 tokens of many chats
    Then engine "engine-0" has at most 0 tokens of work

    Examples:
      | event                |
      | leaving         |
      | in an out zone  |
      | of a stopped version |

  Scenario: Queued attempts leave an upstream whose zone is taken out
    Given router 1 has 16 requests of 200 tokens of the chat "a" under way
    When the zone of the chat's first engine is taken out
    And 1 seconds pass
    Then none of them waits at the chat's first engine

  Scenario: A cold engine is ramped again
    Given 60 chats have found their cache at "engine-0"
    When 12 chats miss their cache at "engine-0"
    Then "engine-0" is ramped again

  Scenario: A moved chat is sent to where its cache is
    Given the chat "a" was moved from its first engine to its second
    When router 2 places 1 requests of 200 tokens of the chat "a"
    Then 0 are at the chat's first engine and 1 at its second

  Scenario: The cache of an upstream that left is not waited for
    Given the chat "a" was moved from its first engine to its second
    And the chat's second engine is gone
    When router 2 places 1 requests of 200 tokens of the chat "a"
    Then 1 are at the chat's first engine and 0 at its second

  Scenario: A moved chat is not sent to a misdirected engine
    Given the chat "a" was moved from its first engine to its second
    When router 2 places 1 requests of 200 tokens of the chat "a"
    And router 2 hears that another has its upstream's address
    And router 2 places 1 requests of 200 tokens of the chat "a"
    Then 1 are at the chat's first engine and 1 at its second

  Scenario: A moved chat's retry is not sent to the engine that failed it
    Given the chat "a" was moved from its first engine to its second
    When router 2 places a request of 200 tokens of the chat "a" that its second engine has failed
    Then 1 are at the chat's first engine and 0 at its second

  Scenario: A restarted engine keeps its owner until it names one
    When engine "engine-0" restarts and router 1 is agreed on with epoch 0
    Then router 2 still knows router 0 as the owner of "engine-0"

  Scenario: A restarted engine's owner that is dead is replaced
    When every router hears that router 0 is gone
    And engine "engine-0" restarts and router 1 is agreed on with epoch 0
    Then router 2 still knows router 1 as the owner of "engine-0"

  Scenario: A restarted engine may name an owner with a lower epoch
    When the owner of every engine becomes router 2 with epoch 7
    And engine "engine-0" restarts and router 1 is agreed on with epoch 1
    Then router 0 still knows router 1 as the owner of "engine-0"
