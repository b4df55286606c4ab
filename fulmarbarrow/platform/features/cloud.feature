Feature: Calls to the platform over loopback

  Scenario: A usage report and an order reach the platform as they are defined
    Given a stand-in of the platform and a client named "edge-1"
    When usage of window 70688 is reported with number 12
    And 6 upstreams of "huvo11a" in "attica-a" are ordered with number 13
    Then the outcomes are "accepted, accepted"
    And the platform has carried out
      | holder | number | subject          | body                                               |
      | edge-1 | 12     |                  | {"Window":70688,"Counts":{"hule930":412}}          |
      | edge-1 | 13     | huvo11a/attica-a | {"Service":"huvo11a","Zone":"attica-a","Desired":6} |

  Scenario Outline: What is known of a call that was not accepted
    Given a stand-in of the platform and a client named "edge-1"
    And the platform behaves as <behaviour>
    When usage of window 1 is reported with number 12
    Then the outcomes are "<outcome>"
    And the platform has carried out <count> calls within 0.4 seconds

    Examples:
      | behaviour                              | outcome    | count |
      | {"status":409}                         | superseded | 0     |
      | {"status":429,"retry_after":"2"}       | limited    | 0     |
      | {"status":404}                         | refused    | 0     |
      | {"status":503}                         | unknown    | 0     |
      | {"status":302}                         | unknown    | 0     |
      | {"mode":"close"}                       | unknown    | 0     |
      | {"mode":"silent"}                      | unknown    | 0     |
      | {"mode":"lost","execute_after":0.4}    | unknown    | 1     |
      | {"respond_after":0.1}                  | accepted   | 1     |
      | {"mode":"endless"}                     | accepted   | 0     |
      | {"mode":"garbage"}                     | unknown    | 0     |

  Scenario: A platform that is down gets no call
    Given a platform that is down and a client named "edge-1"
    When usage of window 1 is reported with number 12
    Then the outcomes are "not_sent"

  Scenario: A fenced platform refuses an outdated number when it executes late
    Given a stand-in of the platform and a client named "edge-1"
    And the platform behaves as {"fenced":true,"execute_after":0.2}
    When usage of window 1 is reported with number 13
    And the outcomes are "accepted"
    And usage of window 2 is reported with number 12
    Then the outcomes are "superseded"

  Scenario: Nothing is sent after the lease
    Given a stand-in of the platform and a client named "edge-1"
    When usage is reported under a lease that ends before the connection
    Then the outcomes are "not_sent"
    And the platform has received 0 calls

  Scenario: Calls of a subject that was lost are not sent
    Given a stand-in of the platform and a client named "edge-1"
    When two orders for a subject are given and the subject is lost at once
    Then the outcomes are "not_sent, not_sent"
    And the platform has received 0 calls

  Scenario: The client stays within its share of the fleet's calls
    Given a stand-in of the platform and a client named "edge-1"
    And the platform behaves as {"calls_per_second":5}
    When 6 orders and 3 reports are given at once
    Then all 9 outcomes are "accepted"

  Scenario Outline: The client pauses after a 429 and says until when
    Given a stand-in of the platform and a client named "edge-1"
    And the platform behaves as {"status":429,"retry_after":"<told>"}
    When usage of window 1 is reported with number 12
    And the outcomes are "limited"
    And usage of window 2 is reported with number 12
    Then the outcomes are "limited"
    And the platform has received 1 calls
    And the client may call again after <pause> seconds

    Examples:
      | told   | pause |
      | 7      | 7     |
      | 120    | 120   |
      | 999999 | 3600  |
