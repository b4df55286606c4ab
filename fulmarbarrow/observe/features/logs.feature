Feature: Log lines are bounded and never waited for

  Scenario: Lines above the budget of a second are counted, failures go on
    Given a log of 10 lines a second
    When 25 successes and 5 failures are logged within a second
    Then 10 successes and 5 failures are written
    When the next second begins with a line
    Then a line tells that 15 of INFO were left out

  Scenario: A reader that does not read holds nobody up
    Given a log whose reader does not read
    When 20000 lines are logged within 200 seconds
    Then that takes less than 10 s and at most 256 KB wait
    When the reader reads again
    Then every line that it gets is whole

  Scenario: A line carries what a call gives beside the text
    Given a log of 10 lines a second
    When a line is logged with the fields request "r1" and age 12
    Then the line has text, level, time, request "r1" and age 12

  Scenario: The page of log events is current
    When the table of log events is generated
    Then it is the same as in the user guide
