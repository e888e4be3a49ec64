Feature: Load under random faults

  Scenario: Kills, freezes, outages, lost answers, refusals and races
    When load runs under random faults for 15 s with the seed 3
    Then nothing that must never happen was seen
    And every kind of request was answered at least once
