Feature: Settings of a daemon are checked as a whole

  Scenario: All findings are reported together with their place
    Given the settings file
      """
      [daemon]
      id = 5
      zone = "attica-a"
      regio = "attica"
      roles = ["router", "contrl"]
      fleet_key = "0123456789abcdef"
      [listen]
      callers = "127.0.0.1"
      admin = "127.0.0.1:7003"
      peers = "localhost:7004"
      """
    When the settings are loaded
    Then there are no settings
    And the findings are
      | line | key             | text                             |
      | 2    | daemon.id       | 5 is not of type str             |
      | 1    | daemon.region   | required key is missing          |
      | 4    | daemon.regio    | did you mean 'region'?           |
      | 5    | daemon.roles[1] | 'contrl' is not one of           |
      | 8    | listen.callers  | is not an address                |
      | 10   | listen.peers    | 'localhost' is not an IP number  |

  Scenario: A role's missing data is reported
    Given the settings file
      """
      [daemon]
      id = "entry-1"
      zone = "attica-a"
      region = "attica"
      roles = ["router", "control"]
      fleet_key = "short"
      [listen]
      admin = "127.0.0.1:7003"
      peers = "127.0.0.1:7004"
      """
    When the settings are loaded
    Then there are no settings
    And the findings are
      | line | key              | text                            |
      | 7    | listen.callers   | required for the role 'router'  |
      | 7    | listen.upstreams | required for the role 'router'  |
      | 1    | daemon.data_dir  | required for the role 'control' |
      | 6    | daemon.fleet_key | at least 16 characters          |
      | 0    | upstreams.key    | anyone who reaches the port     |

  Scenario: Addresses that clash are reported
    Given the settings file
      """
      [daemon]
      id = "entry-1"
      zone = "attica-a"
      region = "attica"
      roles = ["router", "control"]
      fleet_key = "0123456789abcdef"
      data_dir = "data"
      grace = 0
      [listen]
      callers = "127.0.0.1:7001"
      upstreams = "127.0.0.1:7001"
      admin = "10.0.0.1:7003"
      peers = "0.0.0.0:7004"
      [upstreams]
      key = "a key of upstreams"
      lease = 0
      [[control.members]]
      id = "entry-1"
      address = "127.0.0.1:7005"
      [[control.members]]
      id = "entry-2"
      address = "127.0.0.1:7005"
      """
    When the settings are loaded
    Then there are no settings
    And the findings are
      | line | key              | text                                      |
      | 11   | listen.upstreams | 127.0.0.1:7001 is also listen.callers     |
      | 1    | daemon.admin_key | since listen.admin 10.0.0.1 is not        |
      | 13   | listen.peers     | address at which other daemons reach      |
      | 8    | daemon.grace     | may still send requests that are refused  |
      | 16   | upstreams.lease  | must be above 0                           |
      | 17   | control.members  | are 2: one fewer would bear as many       |
      | 17   | control.members  | give this daemon 127.0.0.1:7005           |
      | 17   | control.members  | name an address twice                     |

  Scenario: A warning does not forbid the settings
    Given the settings file
      """
      [daemon]
      id = "entry-1"
      zone = "attica-a"
      region = "attica"
      roles = ["router"]
      fleet_key = "0123456789abcdef"
      [listen]
      callers = "127.0.0.1:7001"
      upstreams = "127.0.0.1:7002"
      admin = "127.0.0.1:7003"
      peers = "127.0.0.1:7004"
      [upstreams]
      key = "a key of upstreams"
      """
    When the settings are loaded
    Then there are settings
    And the findings are
      | line | key         | text                 |
      | 0    | peers.seeds | joins no fleet       |

  Scenario: A file that is not TOML names the line
    Given the settings file
      """
      [daemon]
      id = = 3
      """
    When the settings are loaded
    Then there are no settings
    And the findings are
      | line | key | text    |
      | 2    |     | Invalid |

  Scenario Outline: Durations
    When the duration <text> is read
    Then it is <seconds> seconds

    Examples:
      | text  | seconds |
      | 250ms | 0.25    |
      | 2s    | 2       |
      | 1.5h  | 5400    |
      | 3w    | 1814400 |
