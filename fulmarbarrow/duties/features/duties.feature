Feature: Each duty is held by one control host at a time

  Scenario: No two hosts hold a subject in random schedules of faults
    When 500 random schedules of faults have run
    Then no two hosts ever held a subject at the same time
    And each schedule granted a duty at least once on average

  Scenario: The schedules notice clocks that are too far apart
    When 100 random schedules with clocks 30 percent off have run
    Then two hosts held a subject at the same time in one of them

  Scenario: Duties are held only with an address of the platform
    Given the cores of a control host without an address of the platform
    Then it has no core of duties, and its snapshots do not wait for one
    Given the cores of a control host with an address of the platform
    When it leads for 6 seconds and "usage" is wanted
    Then it holds "usage"

  Scenario: Duties are spread over hosts other than the leader
    Given 3 control hosts that hold the duties
    Then two hosts hold the duties, and neither is the leader

  Scenario: A host that is frozen past its lease has lost its duty at once
    Given 3 control hosts that hold the duties
    When the holder of "usage" is frozen for 7 seconds
    Then the first effect of its next event is the loss of "usage"
    And another host holds "usage" within 5 seconds

  Scenario: A host that does not reach the platform hands its duty over
    Given 3 control hosts that hold the duties
    When the holder of "usage" does not reach the platform
    Then another host of another zone holds "usage" within 0.3 seconds
    And the former holder does not hold "usage" for 3 seconds

  Scenario: A host that stops hands its duties over
    Given 3 control hosts that hold the duties
    When the holder of "usage" stops
    Then another host of another zone holds "usage" within 0.3 seconds
    And the former holder does not hold "usage" for 10 seconds

  Scenario: A holder outlives the leader without a gap
    Given 3 control hosts that hold the duties
    When the leader is killed for 6 seconds
    And 6 seconds pass
    Then "usage" was held all the time

  Scenario: A subject whose number was refused gets a higher number
    Given 3 control hosts that hold the duties
    When the number of one subject of "scaling" is refused
    Then the other subject of "scaling" is still held
    And the subject is not held for 2.9 seconds
    And the same host holds the subject with a higher number 2 seconds later

  Scenario: A confirmation that comes after a release changes nothing
    Given 3 control hosts that hold the duties
    When the holder of "usage" does not reach the platform
    Then a late confirmation of its reports does not give it "usage" back

  Scenario: All hosts lose power
    Given 3 control hosts that hold the duties
    When all hosts lose power and start again a second later
    And 12 seconds pass
    Then "usage" is held with a higher number than before

  Scenario Outline: The leader is lost while a grant is proposed
    Given 3 control hosts that hold the duties
    When the leader is killed while it grants "usage", and the grant is <fate>
    And 20 seconds pass
    Then "usage" is held with a higher number than before

    Examples:
      | fate          |
      | committed     |
      | not committed |

  Scenario: A holder that is cut off from the others has lost its duty
    Given 3 control hosts that hold the duties
    When the holder of "usage" is cut off for 8 seconds
    Then another host holds "usage" within 4 seconds

  Scenario: Routers hear of a holder when they start and repeatedly
    Given 3 control hosts that hold the duties
    When a router starts
    Then the router is told the holder of "usage" at once
    And the router is told the holder of "usage" every 5 seconds

  # A router that misses the only announcement sends its counts to the former
  # holder for up to 4.5 s, and the next one closes windows without them.
  Scenario: Routers hear of a new number again within a second
    Given 3 control hosts that hold the duties
    And a router that all hosts know
    When the holder of "usage" does not reach the platform
    And 3 seconds pass
    Then the router was told the next holder of "usage" 3 times in 0.75 seconds
    And the router was told the next holder of "usage" 4 times in 1.5 seconds

  # Without this, routers send to a host that can't report, for a lease.
  Scenario: A host whose number was refused is not announced
    Given 3 control hosts that hold the duties
    And a router that all hosts know
    When the number of "usage" is refused
    And 2.9 seconds pass
    Then the router was not told of "usage"
    When a router starts
    Then the router is not told the holder of "usage"
    When 2 seconds pass
    Then the router was told the same holder of "usage" with a higher number

  Scenario: A fleet that lost its log does not start with low numbers
    Given grants on a log that is lost, and grants on a new log 10 seconds later
    Then the numbers of the new log are higher and have at most 53 bits

  # The state of a host is that of its snapshot, also if it has no duties.
  Scenario: A holder that gets a snapshot without grants gives its duty up
    Given 3 control hosts that hold the duties
    When the holder of "usage" gets a snapshot without grants
    Then it has lost "usage" and has no grants

  Scenario: Commands and messages that make no sense change nothing
    When the log has unreadable commands and an outdated grant
    Then the grants are those before
