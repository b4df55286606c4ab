Feature: Under every fault, responses are complete and orders run at most once

  Scenario Outline: Every fault while a <machine> is <state>
    When each fault is injected while a <machine> is <state>
    Then every fault has been injected
    And no invariant is violated

    Examples:
      | machine | state      |
      | request | admitting  |
      | request | intending  |
      | request | waiting    |
      | request | placing    |
      | request | attempting |
      | request | recording  |
      | request | sealing    |
      | request | marking    |
      | attempt | sending    |
      | attempt | answering  |
      | entry   | absent     |
      | entry   | running    |
      | entry   | done       |
      | entry   | sealed     |
      | entry   | unknown    |

  Scenario: The fault matrix covers every state in which a fault can occur
    Then the states of the three machines are those of the fault matrix

  Scenario: Single and paired faults at random steps
    When 300 seeded fault schedules run
    Then no invariant is violated

  # Guards against a resumed stream that lacks an event, as the offset that its
  # engine states was taken for the place that the caller has reached.
  Scenario: A stream whose engine passes over an event as it resumes is whole
    When engines cut streams and pass over an event as they resume
    Then each stream was cut
    And no invariant is violated

  Scenario Outline: The invariant checks detect that <mechanism> is off
    When fault schedules run without <mechanism> until one violates an invariant
    Then the violations include <violation>

    Examples:
      | mechanism        | violation      |
      | journal          | ran_twice      |
      | proof_of_not_run | ran_twice      |
      | echo_check       | wrong_answers  |
      | completeness     | wrong_answers  |
      | resume_check     | wrong_answers  |
      | silence          | never_answered |

  Scenario: The dispatch lease keeps a paused router from a late dispatch
    When a router is paused past its lease while an order is looked up
    Then no invariant is violated
    But without the lease check before sending, "not run" is false

  Scenario: Retries stay within their budget when an entire pool fails
    When 800 look-ups go through 8 routers to a pool that always fails
    Then there are at most 1.1 upstream calls per request
    But without the budget there are more than 2

  Scenario: A poison request crashes at most two upstreams
    When a poison request is sent 50 times through 8 routers
    Then at most 2 upstreams crashed
    But without quarantine more than 10 crashed

  # Guards against a request whose crashes are counted anew by a router that
  # starts, or that was away when the others learnt of them (BUDGET).
  Scenario Outline: A request that crashes upstreams stays known when <loss>
    When a request crashes upstreams through 3 routers, suspects run <way>, and <loss>
    Then it reaches no upstream later than 3 s after the crashes that make it known
    And the sound requests go on

    Examples:
      | way      | loss                                               |
      | together | no router restarts                                 |
      | together | each router restarts in turn                       |
      | together | two routers restart at once and then the third     |
      | together | all routers restart at once                        |
      | together | one router is cut off while the upstreams crash    |
      | isolated | each router restarts in turn                       |
      | isolated | two routers restart at once and then the third     |
      | isolated | all routers restart at once                        |
      | isolated | one router is cut off while the upstreams crash    |

  Scenario: Requests with a crashing part of a prompt stop reaching upstreams
    When requests whose prompt has a crashing second part go through 8 routers
    Then at most 3 of them are sent later than 3 s after the fifth crash
    And the sound requests are served as before 6 s after it

  Scenario: Requests with a crashing first part of a prompt stop reaching upstreams
    When requests whose prompt has a crashing first part go through 8 routers
    Then at most 3 of them are sent later than 3 s after the fifth crash
    And the sound requests are served as before 6 s after it

  Scenario: A router that starts later knows the crashing part of a prompt
    When requests whose prompt has a crashing second part go through 8 routers, one of which restarts
    Then at most 3 of them are sent later than 3 s after the fifth crash
    And the sound requests are served as before 6 s after it

  Scenario: Reports of crashes stay within the traffic of a region's routers
    When a crashing part comes to 100 routers and 80 engines with 250 requests a second
    Then each router gets at most 7 KB of reports in any second
    And at most 3 of them are sent later than 3 s after the fifth crash

  Scenario: A stream on a silent connection resumes at another upstream
    When the connection of a stream goes silent
    Then the stream resumes within 2.5 seconds of the last event
    And the caller's response is complete
