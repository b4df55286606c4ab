Feature: A status that promises "not run" is only sent when that is true

  Background:
    Given a daemon on the platform

  # Guards against a worker's own status that clients take for a promise, after
  # the worker has run the request (REFUSED).
  Scenario Outline: An order that a worker <fault> is not told to be unrun
    Given configuration 3 and workers "i-1 i-2" of the desk
    And each worker that is asked first <fault>
    When a client sends an order
    Then the client gets 502 unsigned
    And the request ran once

    Examples:
      | fault                                |
      | answers 503 signed after its run     |
      | answers 503 unsigned after its run   |
      | answers 429 signed after its run     |
      | answers 429 unsigned after its run   |
      | answers 408 signed after its run     |
      | answers 408 unsigned after its run   |

  Scenario Outline: A stream that a worker <fault> is not told to be unrun
    Given configuration 3 and workers "i-1 i-2" of the pool
    And each worker that is asked first <fault>
    When a client asks for a stream that must run once
    Then the client gets 502 unsigned
    And the request ran once

    Examples:
      | fault                                |
      | answers 503 signed after its run     |
      | answers 429 signed after its run     |
      | answers 408 unsigned after its run   |

  Scenario: A second worker's status after a run is no promise either
    Given configuration 3 and workers "i-1 i-2" of the desk
    And the worker that is asked first refuses, and the next one answers 503 signed after its run
    When a client sends an order
    Then the client gets 502 unsigned
    And the request ran once

  Scenario Outline: A lookup that a worker <fault> is answered by another one
    Given configuration 3 and workers "i-1 i-2" of the desk
    And whichever worker is asked first <fault>
    When a client sends a lookup
    Then the client gets 200

    Examples:
      | fault                              |
      | answers 503 signed after its run   |
      | answers 429 signed after its run   |

  Scenario: A lookup that each worker fails after its run is not told to be unrun
    Given configuration 3 and workers "i-1 i-2" of the desk
    And each worker that is asked first answers 429 signed after its run
    When a client sends a lookup
    Then the client gets 502 unsigned

  Scenario Outline: A failure that promises nothing keeps its status and signature
    Given configuration 3 and workers "i-1" of the desk
    And each worker that is asked first answers <status> signed after its run
    When a client sends an order
    Then the client gets <status> with the signature of its request

    Examples:
      | status |
      | 500    |
      | 504    |
      | 404    |

  Scenario: A true rejection by all workers is told at once
    Given configuration 3 and workers "i-1 i-2" of the desk
    And all workers refuse
    When a client sends an order
    Then the client gets 503 unsigned
    And it was told within 1 s, with a time to return
    And the request ran nowhere
