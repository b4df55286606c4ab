Feature: Counters, percentiles and dumps can be read

  Scenario: Metrics carry their labels and those of the daemon
    Given metrics of daemon "entry-1" in zone "attica-a"
    When 3 requests of "volos" to "register" take 20 ms each
    Then the exposition has the line
      """
      fulmarbarrow_requests_total{account="volos",daemon="entry-1",service="register",zone="attica-a"} 3.0
      """
    And a median of "volos" between 18 and 22 ms

  Scenario: Histograms with labels are bounded in number
    Given metrics of daemon "entry-1" in zone "attica-a"
    When 1000 accounts take a request each
    Then there are at most 257 histograms and none of the requests is lost

  Scenario: A dump is laid out for reading
    When this state is laid out
      """
      {"daemon": "entry-1", "errors": {}, "cores": {"limits": {"open": 2},
       "members": [{"id": "a", "zone": "x"}, {"id": "bcd", "zone": null}]}}
      """
    Then it reads
      """
      daemon  entry-1
      errors  -
      cores:
        limits:
          open  2
        members:
          id   zone
          a    x
          bcd  -
      """

  Scenario: A new key fits the account that is printed with it
    When a key is made for account "volos"
    Then the printed account is found by the printed key
    And no key is made for account "volos = 1"
