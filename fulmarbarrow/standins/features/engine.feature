Feature: A stand-in engine behaves as the platform's engines do

  Scenario: Running requests share the token rate
    Given a batch of 4 that computes 100 tokens a second
    When 4 jobs of 50 tokens run for 1 second
    Then each has 25 tokens

  Scenario: Only a full queue refuses
    Given a batch of 4 that computes 100 tokens a second
    When 7 jobs of 50 tokens are added
    Then the last 1 is refused and 2 wait

  Scenario: A prompt in cache is answered sooner
    Given a running engine
    When chat "a" asks twice
    Then the second answer reused cached tokens and the first none

  Scenario: The least recently used chat is evicted
    Given a cache of 100 tokens with chats a and b of 40 tokens each
    When a is used and c stores 40 tokens
    Then b is evicted

  Scenario: A resumed stream goes on with the next word
    Given a running engine
    When a chat of 6 tokens is resumed at 4
    Then the words are "w4 w5"

  Scenario: A chat's KV cache moves to another engine
    Given a running engine
    And another running engine
    When chat "a" asks twice
    And the engine is ordered to export chat "a" to the other
    Then the other engine has chat "a" in cache

  Scenario: An old fencing number is refused
    Given a running engine
    When it is ordered to load version 2 with fencing number 7
    And it is ordered to load version 3 with fencing number 6
    Then the last order is refused as stale_fencing
    And the engine offers versions 1 and 2

  Scenario: A cancelled request stops
    Given a running engine
    When a chat of 2000 tokens is cancelled while it runs
    Then nothing runs on the engine
