Feature: Each window's requests are reported once, with the same content

  # Guards against windows that follow the wrong clock of one host.
  Scenario: The clock of a control host is 2.4 s off
    Given 4 routers and a control host whose clock is 2.4 s off
    When 20 seconds pass with requests
    Then every count of 3 windows is right
    And no window is reported twice

  # Guards against the clock of a host from before its restart.
  Scenario: A control host restarts with a clock that was set back
    Given 4 routers and a control host whose clock is 2.4 s off
    When all control hosts restart at second 2 with clocks that are right
    Then every router uses the right time

  # Guards against a router that counts by its own clock.
  Scenario: The clock of a router is 2.4 s off
    Given 4 routers, one of them with a clock that is 2.4 s off
    When 20 seconds pass with requests
    Then every count of 3 windows is right

  # Guards against the loss of more than a second, and against a late report.
  Scenario Outline: A router is <fault> in mid-window
    Given <count> routers
    When a router is <fault> at second 8 with 10 requests in each 100 ms
    Then the report lacks at most <lost> of its requests
    And the report is made within 5 seconds of the end of its window

    Examples:
      | count | fault   | lost |
      | 4     | killed  | 101  |
      | 4     | frozen  | 101  |
      | 4     | cut off | 351  |
      | 40    | killed  | 101  |
      | 40    | frozen  | 101  |
      | 40    | cut off | 351  |

  # Guards against the loss of a group's counts with the router that has them.
  Scenario: A router that forwards the counts of others is killed
    Given 40 routers
    When a forwarding router is killed at second 9 with requests
    Then the report lacks at most 1 second of that router's requests
    And the report is made within 5 seconds of the end of its window

  # Guards against groups that are larger than the table of their forwarder.
  Scenario Outline: Most routers are in one zone
    Given <count> routers of zones with the weights <weights>
    When each of them chooses a forwarding router
    Then no router forwards for more than <most> others
    And they all forward for routers of other zones

    Examples:
      | count | weights   | most |
      | 77    | 8 1 1     | 16   |
      | 400   | 8 1 1     | 16   |
      | 400   | 1 1 1 1 1 | 24   |

  # Guards against counts that are assigned to the wrong account.
  Scenario Outline: The collector has other accounts in its configuration
    Given <count> routers whose configuration names accounts
    When the accounts of the holder's configuration change
    Then every count of 3 windows is right

    Examples:
      | count |
      | 4     |
      | 40    |

  # Guards against counts that die with the collector.
  Scenario: The duty moves in mid-window
    Given 4 routers
    When the duty moves to another host at second 8 with requests
    Then every count of 3 windows is right

  # Guards against a second report with other content.
  Scenario: The holder is lost after a commit and before its call
    Given 4 routers and a platform that is down
    When the holder is killed at second 12 and the platform is up again
    Then every call for a window had the same content
    And every window up to then is reported

  # Guards against windows that are lost when nobody collects.
  Scenario: No host holds the duty for two windows
    Given 4 routers without a holder
    When 13 seconds pass with requests and then a host gains the duty
    Then every count of 3 windows is right

  # Guards against final totals without the counts of a live router.
  Scenario: A router misses the first announcement of a new holder
    Given 4 routers without a holder
    When a host gains the duty after 13 seconds and a router is not told
    Then every count of 3 windows is right

  # Guards against an old window that delays one that can be in time.
  Scenario: A new holder has windows that are late and one that is not
    Given 4 routers and a platform that is down
    When the platform is up again with a new holder at second 28
    Then the windows that can be in time are reported first

  # Guards against double counts.
  Scenario: Messages are repeated and reordered
    Given 4 routers and a network that repeats and reorders messages
    When 20 seconds pass with requests
    Then every count of 3 windows is right

  # Guards against a repeat with other content, and against a needless call.
  Scenario: Answers of the platform are lost
    Given 4 routers and a platform whose first 4 answers are lost
    When 20 seconds pass with requests
    Then every call for a window had the same content
    And each window is called once after the lost answers

  # Guards against a second report of a window that was accepted.
  Scenario: The duty moves while a call is open
    Given 4 routers
    When the duty moves before the answers to the first calls arrive
    Then no window is reported twice

  # Guards against a handover of a duty that the host no longer holds.
  Scenario: A call fails after the duty is lost
    Given 4 routers and a platform that is down
    When the duty is lost before the failure that asks for a handover
    Then the host asks for no handover

  # Guards against a duty that moves all the time, with all counts resent.
  Scenario: The platform is down for all hosts
    Given 4 routers and a platform that is down
    When the duty moves at each request for 120 seconds
    Then there were at most 9 requests, the last ones 28 seconds apart

  # Guards against two reports of a window that differ.
  Scenario: Two control hosts both believe that they are the collector
    Given 4 routers
    When another host gains the duty and the first does not learn of it
    Then every call for a window had the same content

  Scenario: The platform refuses the number of the holder
    Given 4 routers and a platform that answers superseded
    When 10 seconds pass with requests
    Then the holder gives up the duty after 1 call

  Scenario: Calls do not reach the platform
    Given 4 routers and a platform that is down
    When 12 seconds pass with requests
    Then the holder asks for a handover

  # Guards against reports that are repeated after a loss of power.
  Scenario: All control hosts lose power
    Given 4 routers
    When all control hosts restart at second 13 with requests
    Then no window is reported twice
    And every count of 3 windows is right

  # Guards against a host that has other totals after it was restored.
  Scenario: A control host is restored from a snapshot
    Given 4 routers whose configuration names accounts
    When 20 seconds pass with requests
    And a control host is restored from the snapshot of another one
    Then both have the same windows and report the same counts

  # Guards against a host that collects because it holds another duty.
  Scenario: A host gains the duty of scaling
    Given 4 routers without a holder
    When a host gains the duty of scaling and 12 seconds pass with requests
    Then no window is reported

  # Guards against a flood of counts that are not confirmed.
  Scenario: The collector does not answer
    Given 40 routers
    When the collector is cut off for 50 seconds with requests
    Then the routers send at most 500 bytes a second each to it

  # Guards against counts that a router forgets and the collector lacks.
  Scenario Outline: The collector drops counts
    Given 4 routers
    When <counts> reach the holder
    Then the answer of the holder is <answer>

    Examples:
      | counts                 | answer |
      | whole counts           | yes    |
      | unreadable counts      | none   |
      | counts of a far window | none   |
      | counts of 1100 routers | none   |
      | early counts           | none   |

  # Guards against a confirmation of counts that were added after the sending.
  Scenario Outline: The confirmation of older counts arrives late
    Given <count> routers
    When a router counts more after a sending and the confirmation arrives
    Then the window is not confirmed

    Examples:
      | count |
      | 4     |
      | 40    |

  # Guards against a confirmation that was meant for the former process.
  Scenario: A router restarts
    Given 40 routers
    When a router restarts at second 7 with requests
    Then confirmations for the former process change nothing

  # Guards against lost counts, and ticks that raise, by a wrong message.
  Scenario Outline: A router gets a wrong message
    Given 4 routers
    When every router gets <message> at second 7 of 20 with requests
    Then every count of 3 windows is right

    Examples:
      | message                         |
      | a far settled window            |
      | an extreme time                 |
      | a time without a zone           |

  # Guards against a router that can't count because others fill its table.
  Scenario: A router gets copies before it knows the time
    Given 4 routers
    When copies of 70 routers reach a router that has just started
    Then every count of 3 windows is right

  # Guards against a crash or a wrong total by a malformed message.
  Scenario: A router sends garbage
    Given 4 routers
    When garbage arrives from a router
    And 20 seconds pass with requests
    Then every count of 3 windows is right
