Feature: A version move's phases

  Scenario: Every input in every phase moves on or is refused
    When every input is given in every phase
    Then only these pairs move on
      | phase       | input    | next        |
      | loading     | warm     | canary      |
      | canary      | proven   | expanding   |
      | expanding   | expanded | watching    |
      | watching    | watched  | completing  |
      | completing  | all_new  | completed   |
      | loading     | fault    | taking_back |
      | canary      | fault    | taking_back |
      | expanding   | fault    | taking_back |
      | watching    | fault    | taking_back |
      | completing  | fault    | taking_back |
      | completed   | fault    | taking_back |
      | taking_back | all_old  | taken_back  |

  Scenario Outline: The test of a share of errors
    Given a new version with <errors> errors in 100 attempts beside 1 of old
    When attempts are compared until a fault is found, at most 20000
    Then a fault is <found>

    Examples:
      | errors | found     |
      | 0      | not found |
      | 1      | not found |
      | 25     | found     |
      | 100    | found     |
