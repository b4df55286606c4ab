Feature: Upstreams announce themselves over HTTP

  # Guards against entries of other writers that no reader can use.
  Scenario Outline: An announcement that no daemon can use is refused: <case>
    When an announcement comes with <field> <value>
    Then it is refused with status 400 and reaches no core

    Examples:
      | case                     | field         | value                       |
      | port out of range        | url           | "http://10.0.0.1:70000"     |
      | no port                  | url           | "http://10.0.0.1:0"         |
      | no host                  | url           | "http://"                   |
      | a number above 64 bits   | sequence      | 99999999999999999999999     |
      | a negative number        | batch_tokens  | -1                          |
      | nested 100000 times      | odd           | nested                      |

  Scenario: An announcement that holds reaches membership
    When an announcement comes with sequence 7
    Then it reaches membership
