Feature: Validation of the settings of a daemon

  Scenario: All findings are reported at once, with their lines
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
    Then the settings are rejected
    And the findings are
      | line | key             | text                             |
      | 2    | daemon.id       | 5 is not of type str             |
      | 1    | daemon.region   | required key is missing          |
      | 4    | daemon.regio    | did you mean 'region'?           |
      | 5    | daemon.roles[1] | 'contrl' is not one of           |
      | 8    | listen.callers  | is not an address                |
      | 10   | listen.peers    | 'localhost' is not an IP address |

  Scenario: Settings that a role requires are missing
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
    Then the settings are rejected
    And the findings are
      | line | key              | text                            |
      | 7    | listen.callers   | required for the role 'router'  |
      | 7    | listen.upstreams | required for the role 'router'  |
      | 1    | daemon.data_dir  | required for the role 'control' |
      | 6    | daemon.fleet_key | at least 16 characters          |
      | 0    | upstreams.key    | any client of the port          |

  Scenario: Conflicting addresses are reported
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
      [usage]
      window = -5
      report_within = 0
      """
    When the settings are loaded
    Then the settings are rejected
    And the findings are
      | line | key              | text                                                    |
      | 11   | listen.upstreams | 127.0.0.1:7001 is already the address of listen.callers |
      | 1    | daemon.admin_key | because listen.admin 10.0.0.1 is not loopback           |
      | 13   | listen.peers     | address at which other daemons can reach                |
      | 8    | daemon.grace     | requests that the load balancer still sends are refused |
      | 16   | upstreams.lease  | must be above 0                                         |
      | 17   | control.members  | has 2 entries; one fewer tolerates as many failures     |
      | 17   | control.members  | has 127.0.0.1:7005 for this daemon                      |
      | 17   | control.members  | contains an address more than once                      |
      | 24   | usage.window     | must be 0 or at least 1s                                |
      | 25   | usage.report_within | must be above 0 |

  Scenario: Settings with a warning are accepted
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
    Then the settings are accepted
    And the findings are
      | line | key         | text                  |
      | 0    | peers.seeds | does not join a fleet |

  Scenario: Scaling that can't work is reported
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
      [peers]
      seeds = ["127.0.0.1:7005"]
      [upstreams]
      key = "a key of upstreams"
      [scaling]
      enabled = true
      interval = "0s"
      """
    When the settings are loaded
    Then the settings are rejected
    And the findings are
      | line | key              | text                  |
      | 18   | scaling.interval | must be above 0       |
      | 17   | scaling.enabled  | without duties.address |

  Scenario: A syntax error is reported with its line
    Given the settings file
      """
      [daemon]
      id = = 3
      """
    When the settings are loaded
    Then the settings are rejected
    And the findings are
      | line | key | text    |
      | 2    |     | Invalid |

  Scenario Outline: Durations are parsed
    When the duration <text> is parsed
    Then it is <seconds> seconds

    Examples:
      | text  | seconds |
      | 250ms | 0.25    |
      | 2s    | 2       |
      | 1.5h  | 5400    |
      | 3w    | 1814400 |

  Scenario: Duties with impossible values are reported
    Given the settings file
      """
      [daemon]
      id = "entry-1"
      zone = "attica-a"
      region = "attica"
      roles = ["control"]
      fleet_key = "0123456789abcdef"
      data_dir = "data"
      [listen]
      admin = "127.0.0.1:7003"
      peers = "127.0.0.1:7004"
      [duties]
      address = "127.0.0.1:0"
      name = "edge 1\r\nX-Other: 1"
      calls_per_second = nan
      lease = "0s"
      call_timeout = "0s"
      [peers]
      seeds = ["127.0.0.1:7005"]
      """
    When the settings are loaded
    Then the settings are rejected
    And the findings are
      | line | key                     | text                   |
      | 12   | duties.address          | a port above 0         |
      | 13   | duties.name             | characters of a header |
      | 14   | duties.calls_per_second | a number above 0       |
      | 15   | duties.lease            | must be above 0        |
      | 16   | duties.call_timeout     | must be above 0        |

  # Below the limit, the interval between calls overflowed at the start.
  Scenario Outline: Duties need a sensible number of calls per second
    Given the settings file
      """
      [daemon]
      id = "entry-1"
      zone = "attica-a"
      region = "attica"
      roles = ["control"]
      fleet_key = "0123456789abcdef"
      data_dir = "data"
      [listen]
      admin = "127.0.0.1:7003"
      peers = "127.0.0.1:7004"
      [duties]
      address = "127.0.0.1:7009"
      calls_per_second = <number>
      [peers]
      seeds = ["127.0.0.1:7005"]
      """
    When the settings are loaded
    Then the settings are rejected
    And the findings are
      | line | key                     | text   |
      | 13   | duties.calls_per_second | <text> |

    Examples:
      | number | text             |
      | 0      | a number above 0 |
      | 1e-15  | at least 0.01    |
      | 0.0099 | at least 0.01    |

  Scenario: An id that is not fit for a header needs a name for duties
    Given the settings file
      """
      [daemon]
      id = "entrée 1"
      zone = "attica-a"
      region = "attica"
      roles = ["control"]
      fleet_key = "0123456789abcdef"
      data_dir = "data"
      [listen]
      admin = "127.0.0.1:7003"
      peers = "127.0.0.1:7004"
      [duties]
      address = "127.0.0.1:7009"
      [peers]
      seeds = ["127.0.0.1:7005"]
      """
    When the settings are loaded
    Then the settings are rejected
    And the findings are
      | line | key         | text                   |
      | 11   | duties.name | is not fit for a header |
