Feature: Load under random faults

  Guards against violations that arise only when faults overlap.  Faults are injected at
  random while load runs, and the recorded history is checked afterwards.

  Scenario: Kills, pauses, outages, lost answers, refusals and races cause no violation
    When load runs under random faults for 15 s with the seed 3
    Then the history has no violations
    And every kind of request was answered at least once

  Scenario: Drills of the store during other faults cause no violation
    When load runs under random faults and drills for 15 s with the seed 4
    Then the history has no violations
    And every kind of request was answered at least once
