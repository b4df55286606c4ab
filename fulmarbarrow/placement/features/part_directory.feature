Feature: Owners keep a directory of the engines that hold long parts of prompts

  # Each case makes a part prefilled again today although an engine holds it.
  Scenario Outline: Parts are copied instead of prefilled again when <case>
    When 60 chats with a shared part of 10000 tokens go on after <case>
    Then without the directory at least <least> tokens are prefilled again
    And with the directory at most <most> tokens are prefilled again

    Examples:
      | case                                       | least  | most  |
      | their homes were full                      | 100000 | 0     |
      | they returned to their homes               | 100000 | 0     |
      | an engine joined 25 s ago                  | 50000  | 0     |
      | an engine left after chats had moved       | 50000  | 0     |
      | an engine crashed after chats had moved    | 50000  | 0     |
      | a zone was cut off after chats had moved   | 50000  | 0     |
      | a zone was restored 25 s ago               | 100000 | 0     |
      | the prefix got a home and its first ended  | 10000  | 0     |
      | the owners changed                         | 100000 | 0     |
      | an owner was lost                          | 30000  | 0     |

  Scenario: A wrong entry is dropped after the copy has failed
    Given a part that an engine has evicted although the directory names it
    When requests with the part are placed elsewhere until the copy succeeds
    Then the engine is named once and the part is prefilled once

  Scenario: An engine in a zone that is cut off, or one that turned cold, is no source
    Given a part held by one engine besides its home
    When the zone of that engine gets weight 0
    Then the owner does not name that engine
    When the zone of that engine gets weight 1
    Then the owner names that engine
    When the engine turns cold
    Then the owner does not name that engine

  Scenario: The number of entries and of copies to be sent is bounded
    When an owner grants 6000 requests with different parts
    Then it keeps 4096 entries, those used last
    And it sends at most 16 entries a second

  Scenario: Entries from peers that make no sense are ignored
    When an owner gets entries with negative, huge and unknown values
    Then it names no engine and grants requests

  Scenario: Short parts are not in the directory, and nothing is if copies are off
    Then a part of 2999 tokens has no entry
    And a router without copies sends neither parts nor holders

  Scenario: A daemon of the previous build reads the replies
    Then a reply without the new fields is a prefix of one with them
    And 3 holders add at most 40 bytes to a reply
