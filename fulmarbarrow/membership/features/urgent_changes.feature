Feature: Every daemon learns of an urgent change soon after its acknowledgement

  # Guards against leaves that wait for a byte limit (DRAIN).
  Scenario: Leaves that follow a start of the whole fleet reach 200 daemons
    Given 200 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When 12 upstreams withdraw at the first daemon, 1500 ms apart
    Then all know of each leave within 1 s of its acknowledgement

  Scenario: Leaves that follow a start of the whole fleet reach 400 daemons
    Given 400 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When 6 upstreams withdraw at the first daemon, 500 ms apart
    Then all know of each leave within 1 s of its acknowledgement

  Scenario: Leaves reach all daemons while frames are lost
    Given a network that loses 0.04 of all frames
    And 200 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When 12 upstreams withdraw at the first daemon, 1500 ms apart
    Then all know of each leave within 1 s of its acknowledgement

  Scenario: A leave is known although its host is lost after the acknowledgement
    Given 100 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When an upstream withdraws at the first daemon, which is lost with its last frames as it acknowledges
    Then all know of each leave within 1 s of its acknowledgement

  Scenario: A leave reaches all daemons beside a zone that is lost
    Given 100 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When all daemons of the last zone stop answering
    And 4 upstreams withdraw at the first daemon, 500 ms apart
    Then all know of each leave within 1 s of its acknowledgement

  Scenario: A zone that was cut off learns of leaves soon after its return
    Given 100 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When the last zone is cut off for 6 s, while upstreams withdraw at the first daemon after 2, 5 and 7 s
    Then 1 s after its return all know of each leave

  Scenario: A leave does not wait for what its host has sent before
    Given 100 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When the first daemon acknowledges 2000 probes
    And 4 upstreams withdraw at the first daemon, 500 ms apart
    Then all know of each leave within 1 s of its acknowledgement

  # Guards against suspicions that last, as their final probes use up the byte
  # limit that the refutation waits for.
  Scenario: A refutation does not wait for what its daemon has sent before
    Given 100 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When the first daemon acknowledges 2000 probes
    And all daemons suspect the first one
    Then within 2 s all consider the first daemon alive again

  Scenario: Leaves, ends of leases and stopping daemons share one rule
    Given 200 daemons that start at once and 44 upstreams that announce themselves at the first 5
    And 20 s have passed
    When 16 daemons leave and 8 upstreams crash, 250 ms apart
    And 4 upstreams withdraw at the first daemon, 500 ms apart
    And 6 s have passed
    Then all know of each leave within 1 s of its acknowledgement
    And all know of each daemon that left and each lease that ended within 1 s of the first one
