Feature: The history checker detects violations

  Guards against a checker that passes every history.  Each example adds one violation
  to a valid history.

  Scenario: A valid history passes
    Then a valid history has no violations

  Scenario Outline: A history with a violation is reported
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
