Feature: The references of settings and files are current

  Scenario: The pages are what the definitions give
    When the references are generated
    Then they are the same as in the user guide
