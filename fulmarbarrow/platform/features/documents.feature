Feature: Operators' documents are checked as a whole

  Scenario Outline: What makes a document invalid is found with its place
    When the document is read with <change>
    Then it is <verdict>

    Examples:
      | change                       | verdict                                       |
      | no change                    | valid                                         |
      | a field that nobody knows    | valid                                         |
      | an unknown service           | invalid at "Routes[0]: no service is named"   |
      | the same place twice         | invalid at "Routes[1]: host and prefix"       |
      | weights that add up to 0     | invalid at "Routes[0]: the weights add up"    |
      | a timeout of 0               | invalid at "Routes[0].TimeoutMs"              |
      | two tenants with one key     | invalid at "Tenants[1]: a key"                |
      | its second half missing      | unreadable                                    |
      | a version in words           | unreadable                                    |
      | no routes field              | unreadable                                    |
