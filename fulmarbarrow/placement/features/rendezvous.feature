Feature: Rendezvous moves as few chats as it can

  Scenario Outline: One of n engines leaves and returns
    Given a ring of <n> engines and 20000 chats
    When one engine leaves
    Then at most 1.1 in <n> chats move, all of them from it
    When it returns
    Then every chat is where it was

    Examples:
      | n  |
      | 6  |
      | 80 |

  Scenario: The short ranking agrees with the full one
    Given a ring of 80 engines and 2000 chats
    Then the best 6 of every chat begin its full order

  Scenario: A version's larger share moves chats only to it
    Given the versions "1" and "2" of a model
    When the share of "2" grows from 0.05 to 0.25
    Then chats move only from "1" to "2", about one in five
