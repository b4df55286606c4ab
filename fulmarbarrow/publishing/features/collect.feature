Feature: Files from all roots are collected and validated together

  Scenario: All findings are reported with file, line and key
    Given the file "register/fulmarbarrow.toml"
      """
      [[service]]
      name = "register"
      kind = "plain"
      [[service.routes]]
      path = "orders"
      worth = -1.0

      [[version_move]]
      id = "move-1"
      service = "consultations"
      model = "lacework"
      old = "1"
      new = "1"
      deadline = 2026-12-05T06:00:00Z
      """
    And the file "accounts.toml"
      """
      [[account]]
      name = "volos"
      key_salt = "00"
      key_digest = "11"
      weigth = 2.0
      """
    And the file "other/accounts.toml"
      """
      [[account]]
      name = "patras"
      key_salt = "00"
      key_digest = "11"
      weight = 0.0
      services = ["stamps"]

      [[account]]
      name = "patras"
      key_salt = "00"
      key_digest = "11"
      """
    And the file "zones.toml" that is not UTF-8
    When the folder is collected through two paths to it
    Then the findings are
      | file                       | line | key                     | text                   |
      | accounts.toml              | 5    | account[0].weigth       | did you mean 'weight'? |
      | other/accounts.toml        | 5    | account[0].weight       | must be above 0        |
      | other/accounts.toml        | 6    | account[0].services     | no service is named    |
      | other/accounts.toml        | 9    | account[1].name         | is already defined     |
      | register/fulmarbarrow.toml | 5    | service[0].routes[0].path  | must start with '/' |
      | register/fulmarbarrow.toml | 6    | service[0].routes[0].worth | must not be negative |
      | register/fulmarbarrow.toml | 10   | version_move[0].service | no service is named    |
      | register/fulmarbarrow.toml | 13   | version_move[0].new     | is the same as old     |
      | zones.toml                 | 0    |                         | is not UTF-8 at byte 1 |

  Scenario: Bounds on the number of upstreams are checked
    Given the file "register/fulmarbarrow.toml"
      """
      [[service]]
      name = "register"
      kind = "plain"
      [service.scaling]
      least = 5
      most = 4
      start_time = "2d"
      """
    When the folder is collected through two paths to it
    Then the findings are
      | file                       | line | key                           | text               |
      | register/fulmarbarrow.toml | 6    | service[0].scaling.most       | must not be below  |
      | register/fulmarbarrow.toml | 7    | service[0].scaling.start_time | from 0 to 24 hours |

  Scenario: Routes by host are merged, and their services must exist
    Given the file "register/fulmarbarrow.toml"
      """
      [[service]]
      name = "register"
      kind = "plain"

      [[host_route]]
      name = "orders"
      host = "register.example"
      prefix = "/orders/"
      [[host_route.targets]]
      service = "register"

      [[host_route]]
      name = "stamps"
      host = "register.example"
      prefix = "/stamps/"
      [[host_route.targets]]
      service = "stamps"
      """
    When the folder is collected through two paths to it
    Then the findings are
      | file                       | line | key                   | text                |
      | register/fulmarbarrow.toml | 16   | host_route[1].targets | no service is named |
    And the bundle has the host routes "orders, stamps"
