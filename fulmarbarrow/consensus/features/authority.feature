Feature: A daemon acts on replicated state by evidence only

  # "h@a" is control host h in zone a, "h@?" one whose zone is not known.
  Scenario Outline: Which side of a cut a daemon in zone a is on: <case>
    Given a daemon in zone a that knows the control hosts "<hosts>"
    When "<answering>" have answered for 5 seconds
    Then its side of the network is <side>

    Examples:
      | case                                        | hosts                   | answering | side        |
      | its zone is cut off                         | x@a y@b z@c             | x@a r@a   | cut off     |
      | it is cut off by itself                     | x@a y@b z@c             |           | cut off     |
      | two control hosts are down, nothing is cut  | x@a y@b z@c             | x@a r@b   | not cut off |
      | the same, after a restart of the whole fleet | x@a y@? z@?            | x@a r@b   | not cut off |
      | all control hosts are down                  | x@a y@b z@c             | r@b r@c   | not cut off |
      | its zone is cut off after such a restart    | x@a y@? z@?             | x@a r@a   | cut off     |
      | a region of two zones is cut off            | v@a w@b x@c y@d z@e     | v@a w@b   | cut off     |
      | the other side of that                      | v@a w@b x@c y@d z@e     | w@b x@c   | not cut off |
      | the control hosts of its own zone are down  | x@a y@a z@a             |           | not cut off |

  Scenario: A host that a control host hears is not beyond a cut
    Given a daemon in zone a that knows the control hosts "x@a y@b z@c"
    When "x@a" has answered for 5 seconds that it hears "y"
    Then its side of the network is not cut off

  Scenario: A wait is no evidence before a daemon has asked around
    Given a daemon in zone a that knows the control hosts "x@a y@b z@c"
    When "x@a" have answered for 4 seconds
    Then its side of the network is not cut off

  Scenario: A cut shows once what was heard before it has lapsed
    Given a daemon in zone a that knows the control hosts "x@a y@b z@c"
    When "x@a y@b" have answered for 5 seconds
    And "x@a" have answered for 4 seconds
    Then its side of the network is not cut off
    When "x@a" have answered for 1 seconds
    Then its side of the network is cut off

  Scenario Outline: What a daemon may act on: <case>
    Given a daemon in zone a that knows the control hosts "x@a y@b z@c"
    When it holds version 7, and <case>
    Then the basis to act on it is <basis>

    Examples:
      | case                                              | basis     |
      | nobody told anything                              | none      |
      | a leader confirmed version 7                      | confirmed |
      | a leader confirmed version 6                      | confirmed |
      | a leader confirmed version 8                      | none      |
      | a leader confirmed version 7 five seconds ago     | cut_off   |
      | nothing is cut, a leader confirmed it 1 s ago     | confirmed |
      | nothing is cut, a leader confirmed it 2 s ago     | none      |
      | its zone is cut off                               | cut_off   |
      | its zone is cut off and a peer acts on version 8  | none      |
      | its zone is cut off and a leader announced 8      | none      |

  Scenario Outline: Who may act as leader: <case>
    When the leader of the log is <case>
    Then this host <may> act as leader

    Examples:
      | case                                | may     |
      | this host with a lease              | may     |
      | this host, whose lease has ended    | may not |
      | this host, which hands it over      | may not |
      | another host                        | may not |
      | not known                           | may not |

  Scenario Outline: A control host names the hosts that it hears without a leader
    When another control host sends <message> and <seconds> seconds pass
    Then it names <named>

    Examples:
      | message      | seconds | named               |
      | a pre-vote   | 1       | itself and the other |
      | a join       | 1       | itself and the other |
      | a join reply | 1       | itself and the other |
      | a heartbeat  | 1       | itself and the other |
      | a heartbeat  | 2       | itself              |
