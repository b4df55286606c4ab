Feature: Many hosts of a zone are cut off from the upstreams at once

  # Guards against hosts that fail requests because the peers they ask are cut
  # off as well.
  Scenario Outline: Hosts of a zone that is cut off are served by way of others
    Given <routers> routers in <zones> zones and an upstream that all of them know
    And <cut> routers of one zone are <how> the upstream
    When each of them sends a request every 500 ms for 6 s
    Then of those sent from 3 s on at most 1 in 50 fail
    And no peer relayed for more than 4 hosts

    Examples:
      | routers | zones | cut | how          |
      | 8       | 3     | 2   | cut off from |
      | 69      | 4     | 17  | cut off from |
      | 195     | 5     | 30  | cut off from |
      | 195     | 5     | 39  | cut off from |
      | 8       | 3     | 2   | refused by   |
      | 195     | 5     | 30  | refused by   |
      | 195     | 5     | 39  | refused by   |
