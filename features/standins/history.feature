Feature: The judge of histories finds what must never happen

  Scenario: A history without fault passes
    Then a good history has no violations

  Scenario Outline: A doctored history is found out
    Then a history with <fault> violates "<rule>"

    Examples:
      | fault                          | rule                                |
      | an order that ran twice        | an order runs at most once          |
      | a refused order that ran       | not run means not run               |
      | an answer without a run        | an answer comes from a run          |
      | a run that nobody sent         | nothing runs that nobody sent       |
      | another order's answer         | each caller gets its own answer     |
      | another stream's tokens        | each caller gets its own whole answer |
      | a revision that goes back      | a configuration never reverts       |
