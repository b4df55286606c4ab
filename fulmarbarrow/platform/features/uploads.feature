Feature: A part of an answer to an upload is not taken for the whole

  Background:
    Given a daemon on the platform that takes bodies of 16 MB

  # Guards against a part that ends with its connection, while the upload is
  # still being written (MIXED).
  Scenario Outline: A worker <fault> while an order is uploaded
    Given configuration 3 and workers "i-1" of the desk
    And whichever worker is asked first <fault>
    When a client uploads an order of 3 MB
    Then the client gets <status>
    And the request ran once

    Examples:
      | fault                          | status |
      | answers a part and resets      | 502    |
      | answers a part and ends        | 502    |
      | answers a part and ends unread | 502    |
      | answers with status 000        | 502    |

  Scenario Outline: A worker <fault> while a lookup is uploaded
    Given configuration 3 and workers "i-1 i-2" of the desk
    And whichever worker is asked first <fault>
    When a client uploads a lookup of 3 MB
    Then the client gets a whole answer or 502

    Examples:
      | fault                          |
      | answers a part and resets      |
      | answers a part and ends        |
      | answers a part and ends unread |
      | answers with status 000        |

  Scenario Outline: A worker <fault> by way of a peer
    Given a configuration with time limits of 30 s, worker "i-1" and another service
    And a second router that the daemon relays for
    When a client uploads 12 MB to worker "i-1" by way of the daemon, and it <fault>
    Then the client gets 502
    And the daemon relayed it

    Examples:
      | fault                          |
      | answers a part and resets      |
      | answers a part and ends        |
      | answers a part and ends unread |
      | answers with status 000        |
