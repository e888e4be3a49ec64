Feature: The core protocols hold in the specification

  Scenario: The order claims run each order at most once
    Then the "orders" specification holds for any number of steps

  Scenario Outline: A broken variant of the order claims yields a counterexample
    Then the "orders" specification breaks with "<variant>"

    Examples:
      | variant                                    |
      | dispatch before the claim is known         |
      | write without comparing the revision       |
      | a peer releases a claim that it appended   |
      | dispatch after the claim was given up      |
      | claim without looking for an earlier claim |

  Scenario: An accepted configuration stays and no daemon goes back
    Then the "config" specification holds for any number of steps

  Scenario Outline: A broken variant of the configuration yields a counterexample
    Then the "config" specification breaks with "<variant>"

    Examples:
      | variant                                            |
      | a daemon takes a lower revision                    |
      | an operator writes without comparing the revision  |
      | an operator is told stored before the write is known |
