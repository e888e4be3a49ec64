Feature: The specified protocols are safe, and faulty variants are detected

  The proofs cover every interleaving of two daemons, delayed writes and lost answers.
  Each faulty variant breaks the protocol in one point; if it gave no counterexample, the
  model would be too weak to show a fault.

  Scenario: Order claims run each order at most once
    Then the "orders" specification holds for any number of steps

  Scenario Outline: A faulty variant of the order claims yields a counterexample
    Then the "orders" specification breaks with "<variant>"

    Examples:
      | variant                                    |
      | dispatch before the claim is known         |
      | write without comparing the revision       |
      | a peer releases a claim that it appended   |
      | dispatch after the claim was given up      |
      | claim without looking for an earlier claim |

  Scenario: An accepted configuration is not lost and no daemon returns to an older one
    Then the "config" specification holds for any number of steps

  Scenario Outline: A faulty variant of the configuration yields a counterexample
    Then the "config" specification breaks with "<variant>"

    Examples:
      | variant                                            |
      | a daemon takes a lower revision                    |
      | an operator writes without comparing the revision  |
      | an operator is told stored before the write is known |

  Scenario: A confirmed configuration is in force over drills of the store
    Then the "config drill" specification holds for any number of steps

  Scenario Outline: A faulty variant of the configuration over a drill yields a counterexample
    Then the "config drill" specification breaks with "<variant>"

    Examples:
      | variant                                                         |
      | revisions of lost changes are given out again                   |
      | a change skips as many revisions after two drills as after one  |
      | settings that the store lost are not stored again               |

  Scenario: A view of a store that comes back from a copy misses no leaving server
    Then the "drill" specification holds for any number of steps

  Scenario Outline: A faulty variant of the view over a drill yields a counterexample
    Then the "drill" specification breaks with "<variant>"

    Examples:
      | variant                                             |
      | revisions are ordered by their number alone         |
      | a watch goes on in another era                      |
      | an entry of the copy replaces a report that was lost |

  Scenario: Order claims run each order at most once over drills of the store
    Then the "order drill" specification holds for any number of steps

  Scenario Outline: A faulty variant of the claims over a drill yields a counterexample
    Then the "order drill" specification breaks with "<variant>"

    Examples:
      | variant                                            |
      | an own claim that is found after a drill counts    |
      | a claim counts although another era acknowledged it |
      | a key that is older than the era is claimed        |

  Scenario: A stream that is taken up again has events of one version
    Then the "streams" specification holds for any number of steps

  Scenario Outline: A faulty variant of taking a stream up again yields a counterexample
    Then the "streams" specification breaks with "<variant>"

    Examples:
      | variant                                          |
      | the daemons do not read the store at their start |
      | a stream without a record goes to any version    |
      | the versions in service are not stored           |
