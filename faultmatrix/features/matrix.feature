Feature: What must always hold, through every fault at a step

  Scenario: A run without faults breaches nothing and reaches every slice
    When the fleet runs without faults
    Then every request is answered
    And nothing is breached
    And messages of every slice were handled

  Scenario Outline: A fixed part of the matrix never breaches: <check>
    Given the fixed part of the matrix has run
    Then no cell breached <check>

    Examples:
      | check              |
      | load bound         |
      | ramp               |
      | zone out           |
      | bad version        |
      | whole answer       |
      | not run            |
      | at most once       |
      | leaving            |
      | graceful stop      |
      | configuration      |
      | no error in a core |
