@fleet
Feature: Orders to engines are fenced

  Scenario: The engines of a pool hold what the settings want
    When alice lets the engines hold the adapters "verse, tags" through entry-1
    Then "engines-1" holds "verse, tags" within 8000 ms
    And "engines-2" holds "verse, tags" within 8000 ms

  Scenario: A paused holder can't undo its successor's orders on an engine that checks
    Given the engine "engines-3" checks fencing numbers
    When alice lets the engines hold the adapters "verse" through entry-1
    And "engines-3" holds "verse" within 8000 ms
    And the holder of the engines' duty is frozen
    And alice lets the engines hold the adapters "verse, letters" through another daemon
    And "engines-3" holds "verse, letters" within 20000 ms
    And the holder wakes up
    And 3500 ms pass
    Then "engines-3" holds "verse, letters" within 100 ms
    And the fencing numbers of "engines-3" never fell

  Scenario: A late order is refused by an engine that checks
    Given the engine "engines-3" checks fencing numbers
    When alice lets the engines hold the adapters "verse" through entry-1
    And "engines-3" holds "verse" within 8000 ms
    And a late order for "stale" arrives at "engines-3"
    Then the late order is refused
    And "engines-3" holds "verse" within 100 ms

  Scenario: On an engine that ignores the number a late order lasts a few seconds
    When alice lets the engines hold the adapters "letters" through entry-1
    And "engines-1" holds "letters" within 8000 ms
    And a late order for "stale" arrives at "engines-1"
    Then "engines-1" holds "letters" within 5000 ms
