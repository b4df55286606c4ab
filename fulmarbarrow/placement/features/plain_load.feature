Feature: Upstreams that report their pace get the work that they can do

  Requests of 74 routers in three zones, of which one has twice the demand, at
  three plain upstreams of 6 slots that are 2.5 times slower for 600 ms at a
  time, 15 in 100 of the time.

  Scenario: Reports serve more requests in time
    When 210 requests a second are replayed for 6 s with reports
    Then at least 95 in 100 are done within 268 ms
    And no router sends more than 10 reports within a second
    When 210 requests a second are replayed for 6 s with no reports
    Then at least 30 in 100 fewer are done within 268 ms

  Scenario Outline: Faults do not make the reports harmful
    When 180 requests a second are replayed for 6 s with <fault>
    Then at least <percent> in 100 are done within 268 ms

    Examples:
      | fault                         | percent |
      | reports 2 s late              | 95      |
      | false reports of one upstream | 95      |
      | an owner lost                 | 85      |

  Scenario: An upstream that fails fast does not attract requests
    When 100 requests a second are replayed for 6 s, with and without reports, and an upstream refuses connections after 2000 ms
    Then no more attempts are lost there with reports than without

  Scenario: Routers with the same old state do not all choose the same upstream
    When 100 routers know since 400 ms that one of 3 upstreams is idle
    Then between 40 and 95 of them choose that one first

  Scenario: A pace is used while it is recent, and the mean pace afterwards
    Given an owner of a plain upstream
    When its pace is read as 100 at 0 ms and as 250 at 400 ms
    Then its pace is above 2 at 900 ms and below 2 at 1100 ms

  Scenario: Readings of another incarnation and of an earlier time are discarded
    Given an owner of a plain upstream
    When its pace is read as 250 of an older incarnation
    Then no pace of it is known
    When its pace is read as 250 at 400 ms and as 100 at 300 ms
    Then its pace is above 2 at 500 ms and below 9 at 500 ms

  Scenario: Measured times replace the configured ones after 20 samples
    Given an owner of a plain upstream
    When its pace is read as 100 at 0 ms and as 100 at 100 ms
    And 19 requests of 50 ms are measured there
    Then its throughput is 6000 tokens a second
    When 1 requests of 50 ms are measured there
    Then its throughput is 12000 tokens a second

  Scenario: A slow engine keeps its chats and gets fewer others
    Given an owner of an engine with 3 requests and the mean of 5
    When its pace is read as 250 at 0 ms and as 250 at 100 ms
    Then it defers a chat that is not cached but none that is
    And it defers none after 800 ms
