Feature: A daemon serves the platform's clients, workers and operators

  Background:
    Given a daemon on the platform

  Scenario: The path from a configuration to an answer
    Then it is not ready
    When the operator sends configuration 3
    Then the operator is answered 200
    And it is ready
    When worker "i-1" of the desk registers
    And a client sends an order
    Then the client gets 200 with the body and the signature of worker "i-1"
    And the worker got the tenant's name and not the key
    When a client sends a lookup with an unknown key
    Then the client gets 401 unsigned

  Scenario: A stream comes whole, piece by piece
    Given configuration 3 and workers "i-1" of the pool
    When a client asks for a stream
    Then the client gets events 1 to 6, once each, and the end

  # Guards against events that are lost, or taken for a gap, as ids were taken
  # for a count of events (ORDER).
  Scenario Outline: A stream with the ids <ids> comes whole on a route of kind <route>
    Given configuration 3 and workers "i-1" of the pool
    And streams have events with the ids <ids>
    When a client asks for a stream of kind <route>
    Then the client gets the events <ids>, once each, with the end

    Examples:
      | route     | ids                                      |
      | resumable | 0                                        |
      | resumable | 0, 1, 2, 3                               |
      | once      | 0, 1, 2, 3                               |
      | resumable | 2, 3, 4                                  |
      | once      | 2, 3, 4                                  |
      | resumable | 10, 20, 30                               |
      | once      | 1, 3, 5                                  |
      | resumable | 0, 1, 5, 7, 1700000000000, 1700000000001 |
      | once      | 1796662306000000000, 1796662306000000017 |

  Scenario Outline: A stream with the ids <ids> goes on elsewhere, where workers <fault>
    Given configuration 3 and workers "i-1 i-2" of the pool
    And streams have events with the ids <ids>
    And workers asked in turn cut the answer and then <fault>
    When a client asks for a stream
    Then the client gets the events <ids>, once each, with the end

    Examples:
      | fault      | ids            |
      | go on      | 0, 1, 2, 3, 4  |
      | go on      | 0, 10, 20, 30  |
      | go on      | 7, 8, 12, 40   |
      | start over | 0, 1, 2, 3, 4  |
      | start over | 10, 20, 35, 40 |

  Scenario Outline: A client goes on after event <last> of a stream with the ids <ids>
    Given configuration 3 and workers "i-1 i-2" of the pool
    And streams have events with the ids <ids>
    And workers asked in turn cut the answer and then <fault>
    When a client resumes a stream after event <last>
    Then the client gets the events <rest>, once each, with the end

    Examples:
      | fault      | ids                | last | rest           |
      | go on      | 0, 1, 2, 3, 4      | 0    | 1, 2, 3, 4     |
      | go on      | 0, 10, 20, 30, 40  | 10   | 20, 30, 40     |
      | start over | 0, 1, 2, 3, 4      | 0    | 1, 2, 3, 4     |
      | start over | 5, 10, 20, 30, 40  | 10   | 20, 30, 40     |
      | go on      | 1796662306000000000, 1796662306000000017, 1796662306000000020 | 1796662306000000000 | 1796662306000000017, 1796662306000000020 |

  Scenario Outline: A broken-off stream with the ids <ids> has its events and no end
    Given configuration 3 and workers "i-1 i-2" of the pool
    And streams have events with the ids <ids>
    And whichever worker is asked first cuts the answer
    When a client asks for a stream that must run once
    Then the client gets the events <got>, once each, without the end
    And the request ran once

    Examples:
      | ids           | got    |
      | 0, 1, 2, 3    | 0, 1   |
      | 10, 20, 30    | 10, 20 |

  Scenario: A resumable stream goes on elsewhere within one answer
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first cuts the answer
    When a client asks for a stream
    Then the client gets events 1 to 6, once each, and the end

  Scenario: A stream that may not run twice is cut, and looks so
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first cuts the answer
    When a client asks for a stream that must run once
    Then the client gets events 1 to 2, once each, without the end
    And the request ran once

  Scenario: A stream whose connection ends inside an event looks broken off
    Given configuration 3 and workers "i-1 i-2" of the pool
    When a worker ends its connection inside an event after 1, 8, 13 and 14 bytes of it
    Then each client gets events 1 to 2, once each, without the end

  Scenario: A stream whose last chunk ends inside an event looks broken off
    Given configuration 3 and workers "i-1 i-2" of the pool
    When a worker ends its chunks inside an event after 1, 8, 13 and 14 bytes of it
    Then each client gets events 1 to 2, once each, without the end

  Scenario: A resumable stream whose connection ends inside an event goes on
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first ends its connection inside an event
    When a client asks for a stream
    Then the client gets events 1 to 6, once each, and the end

  Scenario: A stream whose connection ends before its first event has failed
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first ends its connection before the first event
    When a client asks for a stream that must run once
    Then the client gets 502
    And the request ran once

  Scenario: A cut stream does not end regularly for an HTTP/1.0 client
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first cuts the answer
    When an HTTP/1.0 client asks for a stream that must run once
    Then its connection is reset

  # Guards against a part of a stream that looks whole as its router was killed.
  Scenario: A stream of a killed daemon does not end regularly for an HTTP/1.0 client
    Given configuration 3 and workers "i-1" of the pool
    And worker "i-1" takes 200 ms an event
    When an HTTP/1.0 client asks for a stream and the daemon is killed meanwhile
    Then its connection is reset

  Scenario: A whole stream ends regularly for an HTTP/1.0 client
    Given configuration 3 and workers "i-1" of the pool
    When an HTTP/1.0 client asks for a stream that must run once
    Then its connection ends regularly after events 1 to 6

  Scenario: A stream that ends with its connection comes whole
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first ends its connection after the last event
    When a client asks for a stream that must run once
    Then the client gets events 1 to 6, once each, and the end
    And the request ran once
    And the log tells that its body was framed by the connection

  Scenario Outline: An order runs once at most, and "not run" is true
    Given configuration 3 and workers "i-1 i-2" of the desk
    And whichever worker is asked first <fault>
    When a client sends an order
    Then the client gets <status>
    And the request ran once

    Examples:
      | fault               | status |
      | refuses             | 200    |
      | resets              | 502    |
      | fails               | 500    |
      | answers for another | 502    |
      | sends more          | 200    |

  Scenario: A sound worker that is silent for a second keeps its orders
    Given configuration 3 and workers "i-1 i-2" of the desk
    And each worker that is asked first is silent for 1300 ms
    When 6 clients send an order one after the other
    Then each gets 200 with its own signature
    And no request ran twice

  Scenario Outline: A lookup is answered by another worker
    Given configuration 3 and workers "i-1 i-2" of the desk
    And whichever worker is asked first <fault>
    When a client sends a lookup
    Then the client gets 200

    Examples:
      | fault               |
      | refuses             |
      | resets              |
      | fails               |
      | answers for another |

  Scenario: Bytes after an answer never reach the next client
    Given configuration 3 and workers "i-1" of the desk
    And whichever worker is asked first sends more
    When 5 clients send an order one after the other
    Then each gets 200 with its own signature

  Scenario: A second copy of a refusal is not taken for the next answer
    Given configuration 3 and workers "i-1 i-2" of the desk
    And each worker that is asked first repeats its refusal
    When 6 clients send an order one after the other
    Then each gets 200 with its own signature
    And no request ran twice

  # Guards against a refusal that belongs to an earlier request.
  Scenario: An earlier refusal on a kept connection proves nothing
    Given configuration 3 and workers "i-1" of the desk
    When a client sends an order
    Then the client gets 200 with the body and the signature of worker "i-1"
    Given whichever worker is asked first writes an earlier refusal
    When a client sends an order
    Then the client gets 502
    And the request ran once

  Scenario Outline: The text of an error never gets into a stream that has begun
    Given configuration 3 and workers "i-1 i-2" of the pool
    And workers asked in turn cut the answer and then <fault>
    When a client asks for a stream
    Then the client gets events 1 to 2, once each, without the end

    Examples:
      | fault                 |
      | fail                  |
      | stop inside the head  |

  # Guards against a stream that looks whole as its second run said nothing.
  Scenario: A resumed stream whose connection ends at once is not complete
    Given configuration 3 and workers "i-1 i-2" of the pool
    And workers asked in turn cut the answer and then end the connection before an event
    When a client asks for a stream
    Then the client gets events 1 to 2, once each, without the end

  Scenario: A head that is cut short is no answer
    Given configuration 3 and workers "i-1 i-2" of the desk
    And whichever worker is asked first stops inside its head
    When a client sends an order
    Then the client gets 502
    And the request ran once

  Scenario: A stream whose head is cut short goes on elsewhere
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first stops inside its head
    When a client asks for a stream
    Then the client gets events 1 to 6, once each, and the end

  Scenario Outline: A resumable stream outlives bytes without end
    Given configuration 3 and workers "i-1 i-2" of the pool
    And whichever worker is asked first <fault>
    When a client asks for a stream
    Then the client gets events 1 to 6, once each, and the end
    And the worker's connection was closed once 1 MB were read

    Examples:
      | fault                                 |
      | sends a head without end              |
      | sends fields without end              |
      | sends informational heads without end |
      | sends a chunk size without end        |
      | sends an event without end            |
      | sends trailers without end            |
      | sends noise without end               |

  Scenario Outline: An order that met bytes without end may have run
    Given configuration 3 and workers "i-1 i-2" of the desk
    And whichever worker is asked first <fault>
    When a client sends an order
    Then the client gets 502
    And the request ran once
    And the worker's connection was closed once 1 MB were read

    Examples:
      | fault                                 |
      | sends a head without end              |
      | sends informational heads without end |
      | sends a chunk size without end        |
      | sends noise without end               |

  Scenario: A worker that names a limit gets no more than that
    Given configuration 3 and workers "i-1" of the desk
    And worker "i-1" names a limit of "4.5" requests a second
    When 12 clients send lookups for 5 s
    Then worker "i-1" gets at most 32 requests in any 4 s
    And each client that was refused was told within 700 ms when to return

  # Guards against requests within the time that a worker asked for (BUDGET).
  Scenario Outline: A worker that asks for a pause gets none of its callers back before
    Given configuration 3 and workers "i-1" of the desk
    And worker "i-1" answers with "Retry-After: <seconds>"
    And worker "i-1" is full
    When 6 clients send lookups for 5 s
    Then worker "i-1" gets at most 2 requests from 0.5 s after its first refusal until <ms> ms after it

    Examples:
      | seconds | ms   |
      | 4       | 4000 |
      | 2.5     | 2500 |

  Scenario Outline: A pause that can't be read is none
    Given configuration 3 and workers "i-1" of the desk
    And worker "i-1" answers with "Retry-After: <value>"
    And worker "i-1" is full
    When 2 clients send lookups for 1 s
    Then worker "i-1" refuses at least 2 requests

    Examples:
      | value                         |
      | Sat, 05 Dec 2026 20:00:00 GMT |
      | -4                            |
      | nan                           |
      | 1111111111111111111111        |

  # Guards against workers that fall over because they refuse too much.
  Scenario: A worker that is brittle refuses no more than it bears
    Given configuration 3 and workers "i-1" of the desk
    And worker "i-1" is full and says that it bears 3 refusals a second
    When 12 clients send lookups for 5 s
    Then worker "i-1" refuses at least 4 requests, and at most 3 in any second once those in flight have ended

  Scenario: An address that another worker has got is left
    Given configuration 3 and workers "i-1 i-2" of the desk
    And worker "i-1" answers under another id from now on
    When 12 clients send an order one after the other
    Then each gets 200 with its own signature
    And worker "i-1" was asked twice at most

  Scenario: A worker that leaves gets nothing more
    Given configuration 3 and workers "i-1 i-2" of the desk
    When worker "i-1" reports that it is draining
    And 8 clients send an order one after the other
    Then each gets 200 with its own signature
    And worker "i-1" ran none of them

  Scenario: A worker that only says good-bye gets nothing more
    Given configuration 3 and workers "i-1 i-2" of the desk
    When worker "i-1" deletes its registration
    And 8 clients send an order one after the other
    Then worker "i-1" ran none of them

  # Guards against a departure that is told in answers only (DRAIN).
  Scenario: A worker that says in an answer that it leaves gets nothing more
    Given configuration 3 and workers "i-1 i-2" of the desk
    And worker "i-1" answers with "Server-Leaving: 1"
    When worker "i-1" has answered a client
    And 3 heartbeats of worker "i-1" arrive late, each answered 200
    And 8 clients send an order one after the other
    Then each gets 200 with its own signature
    And worker "i-1" ran none of them
    When worker "i-1" starts again
    Then within 4 s worker "i-1" runs an order

  Scenario Outline: A departure that can't be read is none
    Given configuration 3 and workers "i-1" of the desk
    And worker "i-1" answers with "<field>"
    When 4 clients send an order one after the other
    Then each gets 200 with its own signature

    Examples:
      | field             |
      | Server-Leaving: 0 |
      | Server-Leaving: 1 1 |
      | Server-Leaving: -1 |
      | Server-Leaving:   |

  # Guards against reports that are read, but do not reach the owner.
  Scenario: The pace that a worker states in its answers is used
    Given configuration 3 and workers "i-1" of the desk
    And worker "i-1" answers with "X-Server-Load: 1,0,6,250"
    When 4 clients send an order one after the other
    Then each gets 200 with its own signature
    And the log tells that worker "i-1" reports its pace

  # Guards against a departure that a heartbeat from before it undoes.
  Scenario: A heartbeat that is late does not bring a worker back that has left
    Given configuration 3 and workers "i-1 i-2" of the desk
    When worker "i-1" deletes its registration
    And 3 heartbeats of worker "i-1" arrive late, each answered 200
    And 8 clients send an order one after the other
    Then worker "i-1" ran none of them
    When worker "i-1" starts again
    Then within 4 s worker "i-1" runs an order

  Scenario: Heartbeats that can't be read name no worker
    Given configuration 3 and workers "i-1" of the desk
    When heartbeats come with the state "sleeping", without a sequence and as noise
    Then each is answered 400
    When a client sends an order
    Then the client gets 200

  # Guards against readers that end at an entry of another writer.
  Scenario Outline: An entry that is nested too deeply is refused like any other
    Given configuration 3 and workers "i-1" of the desk
    When a <call> comes that is nested 100000 times
    Then it is answered 400
    When a client sends an order
    Then the client gets 200

    Examples:
      | call          |
      | heartbeat     |
      | configuration |

  Scenario Outline: A heartbeat with a value that none can have names no worker
    Given configuration 3 and workers "i-1" of the desk
    When a heartbeat comes with <field> <value>
    Then it is answered 400
    When a client sends an order
    Then the client gets 200

    Examples:
      | field           | value                   |
      | Address         | "noise"                 |
      | Address         | "10.0.0.1:noise"        |
      | Address         | "10.0.0.1:99999"        |
      | Address         | "host.example:80"       |
      | born            | 100000000000000000      |
      | born            | 9000000000000000000     |
      | Sequence        | 99999999999999999999999 |
      | Sequence        | 9007199254740992        |
      | Slots           | 99999999999999999999999 |
      | ColdRemainingMs | 1e300                   |

  Scenario: The highest configuration holds, and is read back as it was sent
    When the operator sends configuration 5
    And the operator sends configuration 4
    Then the operator is answered 200
    And the configuration that is read back is 5, as it was sent
    When the operator sends other content as configuration 5
    Then the operator is answered 200
    And the configuration that is read back is 5, as it was sent
    When the operator sends a configuration 6 that is invalid
    Then the operator is answered 400
    And the configuration that is read back is 5, as it was sent

  Scenario: A zone that is evacuated gets nothing until it is taken back
    Given configuration 3 and workers "i-1" of the desk
    When the operator evacuates zone "attica-a"
    Then within 2 s a client's order is refused unrun, with a time to return
    When the operator takes zone "attica-a" back
    Then within 8 s a client's order is answered 200

  # Guards against an order that undoes later ones (EVAC).
  Scenario: An order whose caller hung up while the daemon stood still is dropped
    Given configuration 3 and workers "i-1" of the desk
    When the daemon stands still for 1500 ms and the operator gives up to evacuate zone "attica-a" after 1000 ms
    Then for 3 s each client's order is answered 200
    And the log tells that a call was not carried out

  Scenario: An order that was read after a long stop is left to another daemon
    Given configuration 3 and workers "i-1" of the desk
    When the daemon stands still for 1500 ms and the operator waits to evacuate zone "attica-a"
    Then the operator is answered 503
    And for 3 s each client's order is answered 200

  Scenario: A key that is taken away is refused
    Given configuration 3 and workers "i-1" of the desk
    When the operator sends configuration 4 without the key
    Then within 2 s a client's order is answered 401
    And the log tells that it was rejected as "unauthorized"

  Scenario: A key that is taken away stays so over a restart
    Given configuration 3 and workers "i-1" of the desk
    When the operator sends configuration 4 without the key
    And the daemon is killed and starts again, and worker "i-1" reports
    Then for 3 s no client's order is answered but with 401 or 503
    And the last answer is 401
    And worker "i-1" ran none of them

  Scenario: SIGHUP and a changed file reload the settings
    Given configuration 3 and workers "i-1" of the desk
    When the settings name another seed and SIGHUP comes
    Then the log tells of the reload with the new seed
    When a client sends an order
    Then the client gets 200

  Scenario: A stop lets open streams end and tells the balancer
    Given configuration 3 and workers "i-1" of the pool
    And worker "i-1" takes 100 ms an event
    When a client asks for a stream and SIGTERM comes meanwhile
    Then it was not ready while the stream went on
    And the client gets events 1 to 6, once each, and the end
    And the daemon ends in good order

  # Guards against requests that are cut with no answer at the end of a stop.
  Scenario: A request that outlasts a stop is answered before the process ends
    Given a daemon that has 2 s to stop
    And configuration 3 and workers "i-1" of the desk
    And workers take 3000 ms an answer
    When a client sends an order and SIGTERM comes meanwhile
    Then the client gets 502
    And the request ran once
    And the daemon ends in good order

  Scenario: A stop under load answers each request that it was sent
    Given configuration 3 and workers "i-1 i-2" of the desk
    And workers take 20 ms an answer
    When 12 clients send lookups on open and new connections until the daemon is gone
    Then each request has an answer, unless its connection crossed the port's end
    And each of the 12 clients was answered after SIGTERM
    And the daemon ends in good order

  Scenario: The metrics and the log tell of a request
    Given configuration 3 and workers "i-1" of the desk
    When a client sends an order
    Then the metrics count it
    And the log has its lines "request taken, attempt sent, answer complete"
