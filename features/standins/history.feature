# A check that misses a violation would let a run under random faults pass. Each example
# breaks one guarantee in an otherwise valid history.
Feature: History checks find each violated guarantee

  Scenario: A valid history passes
    Then a valid history has no violations

  Scenario Outline: A history with one fault violates one guarantee
    Then a history with <fault> violates "<rule>"

    Examples:
      | fault                     | rule                                     |
      | an order that ran twice   | an order runs at most once               |
      | a refused order that ran  | an order refused as not run never runs   |
      | an answer without a run   | every answer comes from a run            |
      | a run without a call      | every run belongs to a call              |
      | another order's answer    | each caller gets its own answer          |
      | another stream's tokens   | each stream gets its own complete answer |
      | a revision that decreases | a configuration revision never decreases |
