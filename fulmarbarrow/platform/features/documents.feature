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
      | a cold start of 10^30 s      | invalid at "a number is out of range"         |
      | a version of 80 bits         | unreadable                                    |
      | 10^30 slots                  | unreadable                                    |
      | its second half missing      | unreadable                                    |
      | a version in words           | unreadable                                    |
      | no routes field              | unreadable                                    |
      | bounds on replicas           | valid                                         |
      | least replicas above most    | invalid at "Services[0].Scaling.MaxReplicas"  |
      | replicas below 0             | invalid at "Services[0].Scaling.MinReplicas"  |
      | a start time below 0         | invalid at "Services[0].Scaling.BootS"        |
      | a start time of 10^30 s      | invalid at "Services[0].Scaling.BootS"        |
      | an infinite start time       | unreadable                                    |
      | replicas in words            | unreadable                                    |

  Scenario: Bounds on replicas become those of the configuration
    When the document is read with bounds on replicas
    Then its service has 13 to 30 upstreams in a zone and starts them in 8 s
    When the document is read with no change
    Then its encoded configuration does not mention scaling

  Scenario: Mutated documents and heartbeats are refused or understood
    When 10000 altered documents and 10000 altered heartbeats come
    Then each is refused, or can be put in force and sent to other daemons
