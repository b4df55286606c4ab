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
