Feature: Whatever breaks, answers are whole and orders run at most once

  Scenario Outline: Every fault while a <machine> is <state>
    When each fault strikes while a <machine> is <state>
    Then every fault has struck
    And nothing that must hold is violated

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

  Scenario: The outlines above name every state that can meet a fault
    Then the states of the three machines are those of the fault matrix

  Scenario: Single and paired faults at random steps
    When 300 seeded fault schedules run
    Then nothing that must hold is violated

  Scenario Outline: The check finds what happens without <mechanism>
    When fault schedules run without <mechanism> until one is wrong
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
    Then nothing that must hold is violated
    But without the check at the moment of sending "not run" is false

  Scenario: Retries stay within their budget when a whole pool fails
    When 800 look-ups meet a pool that fails wholly through 8 routers
    Then there are at most 1.1 upstream calls a request
    But without the budget there are more than 2

  Scenario: A poison request crashes two upstreams at most
    When a poison request is sent 50 times through 8 routers
    Then at most 2 upstreams crashed
    But without quarantine more than 10 crashed

  Scenario: A stream leaves a silent connection and goes on elsewhere
    When the connection of a stream goes silent
    Then the stream goes on within 2.5 seconds of the last event
    And the caller's answer is whole
