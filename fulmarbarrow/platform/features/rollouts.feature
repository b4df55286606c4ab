Feature: Operators order rollouts by call

  Background:
    Given a daemon on the platform

  # Guards against a path that a deployment without rollouts did not have.
  Scenario: Without rollouts in its settings the path is unknown
    When the operator orders a rollout of "desk" to "v2" in 8 s
    Then the operator's call is answered 404

  Scenario: A good version is completed over HTTP, and restarts keep it
    Given rollouts are enabled
    And configuration 3 and workers "i-1" of the desk
    And worker "n-1" of version "v2"
    When the operator orders a rollout of "desk" to "v2" in 8 s
    Then the operator's call is answered 200
    And the rollout of "desk" to "v2" is in_progress
    When clients send lookups until the rollout of "desk" has ended
    Then the rollout of "desk" to "v2" is completed
    And each further lookup is answered by worker "n-1"
    When the daemon is killed and starts again
    Then the rollout of "desk" to "v2" is completed

  Scenario Outline: A wrong order is answered 400 with findings
    Given rollouts are enabled
    And configuration 3 and workers "i-1" of the desk
    When the operator sends the rollout order <order>
    Then the operator's call is answered 400
    And it has findings

    Examples:
      | order                                                   |
      | {"Service":"none","Target":"v2","DurationS":12}         |
      | {"Service":"desk","Target":"","DurationS":12}           |
      | {"Service":"desk","Target":"v2","DurationS":0}          |
      | {"Service":"desk","Target":"v2","DurationS":1e999}      |
      | {"Service":"desk","Target":"v2","DurationS":2592001}    |
      | {"Service":"desk","Target":"v2","DurationS":"12"}       |
      | [                                                       |
