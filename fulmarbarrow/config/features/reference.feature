Feature: The reference pages of settings and files are up to date

  Scenario: The pages match the definitions
    When the references are generated
    Then they are the same as in the user guide
