Feature: Rendezvous hashing moves as few chats as possible

  Scenario Outline: One of n engines leaves and returns
    Given a ring of <n> engines and 20000 chats
    When one engine leaves
    Then at most 1.1 in <n> chats move, all of them from that engine
    When it returns
    Then every chat is at its former engine

    Examples:
      | n  |
      | 6  |
      | 80 |

  Scenario: The ranking of the best engines agrees with the full ranking
    Given a ring of 80 engines and 2000 chats
    Then the best 6 engines of every chat come first in its full order

  Scenario: A larger share of a version moves chats only to that version
    Given the versions "1" and "2" of a model
    When the share of "2" grows from 0.05 to 0.25
    Then chats move only from "1" to "2", about one in five
