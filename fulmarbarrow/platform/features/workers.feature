Feature: Workers' answers become answers to attempts

  Scenario: A request names the worker, the tenant and the time that is left
    When an attempt of rank 2 goes to worker "i-7f" for tenant "t1" with 450 ms left
    Then the worker gets
      | name                | value |
      | X-Expected-Instance | i-7f  |
      | X-Tenant            | t1    |
      | X-Request-Deadline  | 450   |
      | X-Request-Priority  | 2     |

  Scenario: A stream goes on after the last event that the client has
    When an attempt resumes after event 12
    Then the worker gets
      | name          | value |
      | Last-Event-Id | 12    |

  # Guards against a stream that starts over as its client has event 0 only.
  Scenario: A stream goes on after event 0
    When an attempt resumes after event 0
    Then the worker gets
      | name          | value |
      | Last-Event-Id | 0     |

  Scenario: A prompt's memory comes from another engine
    When an attempt may fetch from "http://10.0.0.2:80"
    Then the worker gets
      | name     | value       |
      | Kv-Fetch | 10.0.0.2:80 |

  Scenario Outline: Only a proven answer belongs to the attempt
    When the worker answers <status> with the fields "<fields>"
    Then the answer <belongs> to the attempt and <run>

    Examples:
      | status | fields                                              | belongs         | run         |
      | 200    | X-Request-Id: r1; X-Response-Signature: s           | belongs         | may have run |
      | 200    | X-Request-Id: r1                                    | does not belong | may have run |
      | 200    | X-Request-Id: r0; X-Response-Signature: s           | does not belong | may have run |
      | 200    | X-Response-Signature: s                             | does not belong | may have run |
      | 200    | X-Request-Id: r1; X-Response-Signature: s; Content-Encoding: gzip | does not belong | may have run |
      | 500    | X-Request-Id: r1; X-Response-Signature: s           | belongs         | may have run |
      | 503    | X-Not-Executed: 1                                   | belongs         | has not run |
      | 503    | X-Request-Id: r0; X-Not-Executed: 1                 | does not belong | has not run |
      | 421    | X-Instance-Id: i-0                                  | belongs         | has not run |
      | 503    | X-Request-Id: r1                                    | belongs         | may have run |

  Scenario Outline: A refusal without an id is proven on a new connection only
    When the worker answers <status> on a kept connection with the fields "<fields>"
    Then the answer <belongs> to the attempt and has not run

    Examples:
      | status | fields                              | belongs        |
      | 503    | X-Not-Executed: 1                   | does not belong |
      | 421    | X-Instance-Id: i-0                  | does not belong |
      | 503    | X-Request-Id: r1; X-Not-Executed: 1 | belongs         |

  Scenario Outline: A limit is a decimal number, anything else leaves it as it is
    When the worker answers 200 with the fields "X-Request-Id: r1; X-Response-Signature: s; <fields>"
    Then the answer names <limit>

    Examples:
      | fields                              | limit                    |
      | Server-Limit: 5.6                   | the limit 5.6            |
      | Server-Limit: 7                     | the limit 7              |
      | Server-Limit: 0                     | the limit 0              |
      | X-Other: 1                          | no limit                 |
      | Server-Limit:                       | one that can't be read   |
      | Server-Limit: -1                    | one that can't be read   |
      | Server-Limit: nan                   | one that can't be read   |
      | Server-Limit: 1e9                   | one that can't be read   |
      | Server-Limit: 99999999999999999999  | one that can't be read   |
      | Server-Limit: 5, 6                  | one that can't be read   |

  Scenario Outline: What a worker bears is a decimal number, or is not told
    When the worker answers 503 with the fields "X-Request-Id: r1; X-Not-Executed: 1; <fields>"
    Then it bears <count> refusals a second

    Examples:
      | fields               | count |
      | Server-Brittle: 12   | 12.0  |
      | Server-Brittle: 0    | 0.0   |
      | X-Other: 1           | None  |
      | Server-Brittle: many | None  |
      | Server-Brittle: -3   | None  |

  Scenario: Events are told apart by their ids, whole and in order
    Given a stream of a worker
    When the bytes "id: 4\ndata: a\n\nid: 5\nda" arrive
    Then event 4 is passed on as it came
    When the bytes "ta: b\n\n" arrive
    Then event 5 is passed on as it came
    When the body ends
    Then nothing more is passed on

  Scenario: What a complete body ends with is passed on too
    Given a stream of a worker
    When the bytes "id: 1\ndata: a\n\n: bye" arrive
    And the body ends
    Then the last bytes are ": bye"

  Scenario: No part of an event is passed on when a body ends inside it
    Given a stream of a worker
    When the bytes "id: 1\ndata: a\n\nid: 2\ndata: b\n" arrive
    And the body ends
    Then nothing more is passed on
    And 14 bytes of an event are unfinished

  # The protocol names neither a first id nor a step.
  Scenario: Events need only have increasing ids
    Given a stream of a worker
    When the bytes "id: 0\ndata: x\n\nid: 10\ndata: x\n\nid: 13\ndata: x\n\n" arrive
    Then the events 0, 10, 13 are passed on as they came

  Scenario: Ids of events may have up to 63 bits
    Given a stream of a worker
    When the bytes "id: 1796662306000000000\ndata: x\n\nid: 9223372036854775806\ndata: x\n\n" arrive
    Then the events 1796662306000000000, 9223372036854775806 are passed on as they came

  Scenario Outline: A stream whose events can't be told apart is broken
    Given a stream of a worker
    When the bytes "<bytes>" arrive
    Then the stream is broken

    Examples:
      | bytes                              |
      | id: 3\ndata: a\n\nid: 1\ndata: c\n\n |
      | id: 3\ndata: a\n\nid: 3\ndata: c\n\n |
      | data: without an id\n\n             |
      | id: 9223372036854775807\ndata: a\n\n |
      | id: 11111111111111111111\ndata: a\n\n |

  Scenario: An id with more digits than a number may have breaks the stream
    Given a stream of a worker
    When an event with an id of 5000 digits arrives
    Then the stream is broken

  Scenario Outline: An event without an end breaks the stream
    Given a stream of <interface> after event 0
    When 64 MB of one event arrive in reads of 16 KB
    Then the stream is broken after at most 300 KB

    Examples:
      | interface             |
      | the platform          |
      | the product itself    |

  Scenario Outline: An event that ends within its bound is passed on
    Given a stream of <interface> after event 0
    When an event of 200 KB arrives in reads of 1 KB
    Then it is passed on whole

    Examples:
      | interface             |
      | the platform          |
      | the product itself    |

  Scenario: Each byte of an event without an end is searched once
    When 32 MB without an end arrive in reads of 16 KB below the bound
    Then that takes under 5 s of processor time

  Scenario Outline: Only a load with a readable pace is used
    When the worker answers 200 with the fields "<fields>"
    Then its load is <load>

    Examples:
      | fields                                               | load        |
      | X-Server-Load: 3,0,8,250                             | 3 0 8 250   |
      | x-server-load: 3, 0, 8, 100.5                        | 3 0 8 100   |
      | X-Server-Load: 3,0,8                                 | not stated  |
      | X-Other: 1                                           | not stated  |
      | X-Server-Load: -3,0,8,100                            | not stated  |
      | X-Server-Load: 3,0,8,nan                             | not stated  |
      | X-Server-Load: 3,0,8,0                               | not stated  |
      | X-Server-Load: 3,0,0,100                             | not stated  |
      | X-Server-Load: 3,0,8,99999999999999999999            | not stated  |
      | X-Server-Load: 3,0,8,100; X-Server-Load: 3,0,8,250   | not stated  |
