Feature: Which request bodies a process holds

  The budget is 1000 KiB. Large bodies together get 800 of it, those of one
  address 500.

  Scenario: A single body of the largest size is received
    When "a" at "x" reserves 990 KiB
    Then "a" is granted

  Scenario: Large bodies above the budget wait
    When "a" at "x" reserves 400 KiB
    And "b" at "y" reserves 390 KiB
    And "c" at "z" reserves 300 KiB
    Then "a" is granted
    And "b" is granted
    And "c" waits

  Scenario: One address does not get the whole budget
    When "a" at "x" reserves 300 KiB
    And "b" at "x" reserves 300 KiB
    And "c" at "y" reserves 300 KiB
    Then "b" waits
    And "c" is granted

  Scenario: A body that stops short of its end loses its memory to another
    When "a" at "x" reserves 400 KiB
    And "b" at "y" reserves 390 KiB
    And 600 ms pass
    And "b" makes progress
    And 600 ms pass
    And "c" at "z" reserves 300 KiB
    Then "a" is refused
    And "b" is granted
    And "c" is granted

  Scenario: A body that waits gets memory once another one has ended
    When "a" at "x" reserves 400 KiB
    And "b" at "y" reserves 390 KiB
    And "c" at "z" reserves 300 KiB
    And "a" is complete
    And "a" is released
    And the waiting bodies are reviewed
    Then "c" is granted

  Scenario: A complete body keeps its memory, as its request may run
    When "a" at "x" reserves 400 KiB
    And "b" at "y" reserves 390 KiB
    And "a" is complete
    And "b" is complete
    And "c" at "z" reserves 300 KiB
    And 3000 ms pass
    And the waiting bodies are reviewed
    Then "a" is granted
    And "b" is granted
    And "c" is refused

  Scenario: Small bodies are received while large ones fill the budget
    When "a" at "x" reserves 700 KiB
    And 20 small bodies of 30 KiB are reserved
    Then "a" is refused
    And 20 small bodies are granted

  Scenario: Two bodies of unknown length that both wait do not wait for ever
    When "a" at "x" reserves 390 KiB
    And "b" at "y" reserves 390 KiB
    And "a" at "x" reserves 450 KiB
    And "b" at "y" reserves 460 KiB
    And 2500 ms pass
    And the waiting bodies are reviewed
    Then "a" is refused
    And "b" is granted

  Scenario: Small bodies of one address do not take the whole budget
    When 40 small bodies of 30 KiB are reserved at "x"
    And "b" at "y" reserves 40 KiB
    Then 22 small bodies are granted
    And "b" is granted

  Scenario: A body that trickles loses its memory
    When "a" at "x" reserves 400 KiB
    And "b" at "y" reserves 390 KiB
    And 30000 ms pass
    And "b" makes progress
    And "a" has got 60 KiB
    And "c" at "z" reserves 300 KiB
    Then "a" is refused
    And "b" is granted
    And "c" is granted

  Scenario: No body is refused if that does not make room
    When "a" at "y" reserves 30 KiB
    And "b" at "x" reserves 490 KiB
    And 3000 ms pass
    And "b" is complete
    And "c" at "x" reserves 300 KiB
    Then "a" is granted
    And "c" waits
