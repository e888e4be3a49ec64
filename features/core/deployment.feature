Feature: Settings of a deployment

  Scenario: A version never goes back in a process's life
    Given a daemon that offers itself versions "3, 7, 5, 7, 6, 9, 2"
    Then the versions in force were "3, 7, 9"

  Scenario: The longest prefix wins, and hosts are apart
    Given routes "a.example/x/", "a.example/x/y/" and "b.example/x/"
    Then "a.example/x/y/z" goes to "a.example/x/y/"
    And "a.example/x/z" goes to "a.example/x/"
    And "b.example/x/y/z" goes to "b.example/x/"
    And "c.example/x/y/z" goes to nothing
    And "a.example/xy" goes to nothing

  Scenario: Pools that occur together have one owner's duty
    Given routes with the stages "encode retrieve", "retrieve rerank" and "other"
    Then the first two routes share a group of pools and the third does not
