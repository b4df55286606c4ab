Feature: Consistency of the files and settings of a fleet

  Scenario Outline: The example <name> has no findings
    When the folder "examples/<name>" is checked
    Then it has no findings
    And it has 8 entry hosts in 3 zones and 10 accounts

    Examples:
      | name   |
      | office |
      | kitami |

  Scenario: Inconsistent hosts are reported
    Given a copy of "examples/office"
    And in "hosts/entry-2.toml" "entry-2" is replaced by "entry-1"
    And in "hosts/entry-3.toml" "10.20.1.3:7001" is replaced by "10.20.1.2:7001"
    And in "hosts/entry-4.toml" "attica-b" is replaced by "attica-x"
    And in "hosts/entry-5.toml" "secret-of-the-fleet" is replaced by "secret-of-another"
    And in "hosts/entry-6.toml" "10.20.1.1:7004" is replaced by "10.20.9.9:7004"
    When the copy is checked
    Then the findings are
      | line | key              | text                                           |
      | 2    | daemon.id        | 'entry-1' is already the id in                 |
      | 12   | listen.callers   | 10.20.1.2:7001 is already a listen address     |
      | 3    | daemon.zone      | no zone is named 'attica-x'                    |
      | 6    | daemon.fleet_key | differs from the value in                      |
      | 18   | peers.seeds      | 10.20.9.9:7004 is not the listen.peers address |
