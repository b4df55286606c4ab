Feature: Silence ends an attempt only where that helps its caller

  Background:
    Given 1500 ms for a first event, 1200 ms between events and 10 s for a stall

  Scenario Outline: A <kind> that <state> may be silent for <limit>
    Given a <kind> with 2 attempts, of which <failed> failed
    And its attempt <state>
    Then it may be silent for <limit>

    Examples:
      | kind                      | failed | state         | limit    |
      | resumable stream          | 0      | waits         | 1500 ms  |
      | resumable stream          | 0      | has an event  | 1200 ms  |
      | resumable stream          | 1      | waits         | no limit |
      | resumable stream          | 1      | has an event  | 10000 ms |
      | stream that must run once | 0      | waits         | no limit |
      | stream that must run once | 0      | has an event  | 10000 ms |
      | look-up                   | 0      | waits         | 2000 ms  |
      | look-up                   | 1      | waits         | no limit |
      | order                     | 0      | waits         | no limit |

  Scenario: Bytes and comments without a whole event are no progress
    Given a stream of events at its first event
    When a comment, an empty block and half an event arrive
    Then nothing is passed on and the next event has the same number

  Scenario: An event whose line ends are split over two reads is found
    Given a stream of events at its first event
    When "data: a\r\n\r" and "\ndata: b\n\n" arrive
    Then the events are "data: a\n\ndata: b\n\n"
