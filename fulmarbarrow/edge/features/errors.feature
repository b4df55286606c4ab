Feature: An error within the daemon reaches the caller as a coded error

  Scenario: A core that fails does not leave its caller waiting
    Given an edge over a core that fails on every request
    When a chat arrives at the edge
    Then the edge answers 500 with code internal_error and ran "unknown"
    And no exchange is open

  # Guards against 401 for keys that an unconfirmed configuration holds.
  Scenario Outline: An edge without a configuration in force refuses nothing for good: <path>
    Given an edge without a configuration in force
    When a request for "<path>" arrives at the edge
    Then the edge answers 503 with code no_configuration and ran "no"
    And it tells when to come back

    Examples:
      | path                 |
      | /v1/chat/completions |
      | /v1/models           |
      | /unknown             |

  Scenario: A core that fails in the middle of a stream ends it
    Given an edge over a core that fails on the second part of an answer
    When a chat arrives at the edge
    Then the edge's stream ends with an error event
    And no exchange is open

  Scenario: A broken answer that is no stream ends before its length
    Given an edge over a core that breaks off a plain answer
    When a chat arrives at the edge
    Then the edge closes the connection after 3 of 10 bytes
    And no exchange is open

  Scenario: A caller too far behind is cut off
    Given an edge over a core that sends on to a caller that reads nothing
    When a chat arrives at the edge
    Then the edge drops the connection
    And no exchange is open

  Scenario: An error while a failure is answered stops no timer
    Given a core that fails at each tick and a watcher of errors that fails too
    When 4 ticks are due
    Then 4 ticks were handled
    And the errors are counted
