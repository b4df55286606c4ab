Feature: Real processes keep their promises through overlapping faults

  Scenario Outline: A short soak breaks no promise, seed <seed>
    When seed <seed> is soaked for <seconds> s
    Then no promise is broken
    And at least <calls> calls were answered
    And at least 5 times a daemon was asked for a leave

    Examples:
      | seed | seconds | calls | why it is kept                                    |
      | 1    | 10      | 20    | all kinds of targets within 10 s                  |
      | 7    | 20      | 40    | the proxy lost bytes of a connection that was cut |

  Scenario: A seed gives the same faults each time
    Then seed 3 gives the same plan twice and another than seed 4

  Scenario: Fifty seeds hold every kind of fault, and faults that overlap
    Then the plans of 50 seeds hold every kind and overlapping faults

  Scenario Outline: A broken promise is noticed: <what>
    When callers see <what>
    Then <count> promises are broken

    Examples:
      | what                                       | count |
      | a whole stream                             | 0     |
      | a stream without its third word            | 2     |
      | a stream with a doubled word               | 1     |
      | a stream that ends early without an error  | 1     |
      | a stream that ends early with an error     | 0     |
      | a stream cut as its daemon was killed      | 0     |
      | a stream cut in a word by a kill           | 0     |
      | an order that ran twice                    | 1     |
      | an order answered that never ran           | 1     |
      | a refusal "not run" of an order that ran   | 1     |
      | a refusal of a copy of an order that ran   | 0     |
      | a sealed refusal of an order that ran      | 1     |
      | a daemon that goes back to an old revision | 1     |
      | a daemon that starts again at an old one   | 1     |
      | a daemon that starts again at an old one elsewhere  | 1 |
      | a daemon that starts as its revision is replaced    | 0 |
      | a daemon that was stopped by a signal as it started | 0 |
      | a daemon that runs by an old one while all is calm  | 1 |
      | a daemon that runs by an old one after a fault      | 0 |
      | a daemon that knows of an acknowledged leave        | 0 |
      | a daemon that does not know of one in time          | 1 |
