Feature: Phases and error rate test of a version move

  Scenario: Only valid inputs cause a transition
    When every input is applied in every phase
    Then only these transitions occur
      | phase       | input         | next        |
      | loading     | first_loaded  | canary      |
      | canary      | canary_passed | expanding   |
      | expanding   | expanded      | watching    |
      | watching    | watch_ended   | completing  |
      | completing  | all_new       | completed   |
      | loading     | fault         | taking_back |
      | canary      | fault         | taking_back |
      | expanding   | fault         | taking_back |
      | watching    | fault         | taking_back |
      | completing  | fault         | taking_back |
      | completed   | fault         | taking_back |
      | taking_back | all_old       | taken_back  |

  Scenario Outline: The test detects an error rate
    Given a new version with <errors> errors per 100 attempts and an old one with 1
    When at most 20000 attempts are compared until a fault is found
    Then a fault is <found>

    Examples:
      | errors | found     |
      | 0      | not found |
      | 1      | not found |
      | 25     | found     |
      | 100    | found     |
