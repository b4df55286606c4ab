Feature: A daemon starts whole or not at all, and stops without cutting

  Scenario: A port in use is a finding, and nothing is started
    Given a daemon
    And another program listens on its callers' and its peers' port
    When the daemon is run
    Then its exit code is 2
    And it says "listen.callers" and "listen.peers" and "in use"
    And its upstreams' port is free

  Scenario: Settings with findings start nothing
    Given a daemon whose settings have two errors
    When the daemon is run
    Then its exit code is 2
    And it says "daemon.regio" and "limits.max_body_bytes" and "did you mean"

  Scenario: While it leaves it still takes requests
    Given a daemon with a grace of 3 seconds
    When the daemon is started and told to stop
    Then its health check says 503
    And it still answers for the models
    And its exit code is 0

  Scenario: A second signal ends it at once
    Given a daemon with a grace of 3 minutes
    When the daemon is started and told to stop
    And it is told to stop again
    Then its exit code is 0

  Scenario: Logs are JSON lines if the settings say so
    Given a daemon that logs in JSON
    When the daemon is started and told to stop
    Then its exit code is 0
    And every log line is JSON with a time, a level, a logger and a text

  Scenario: Frames that prove no sender are dropped and counted
    Given a daemon
    When the daemon is started and gets garbage from a peer
    Then it has dropped and counted 3 frames as wrong_key
