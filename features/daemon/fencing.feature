@fleet
Feature: Orders to engines carry a fencing token

  Guards against a daemon that holds the duty for a pool of engines, is paused past the
  end of its lease, and then sends an order that undoes its successor's.  An engine that
  checks the token rejects such an order; on other engines the next resend overwrites it.

  Scenario: The engines of a pool hold the adapters in the settings
    When alice sets the engines' adapters to "verse, tags" through entry-1
    Then "engines-1" holds "verse, tags" within 8000 ms
    And "engines-2" holds "verse, tags" within 8000 ms

  Scenario: A paused holder can't overwrite its successor's orders on an engine that checks tokens
    Given the engine "engines-3" checks fencing tokens
    When alice sets the engines' adapters to "verse" through entry-1
    And "engines-3" holds "verse" within 8000 ms
    And the holder of the engines' duty is paused
    And alice sets the engines' adapters to "verse, letters" through another daemon
    And "engines-3" holds "verse, letters" within 20000 ms
    And the holder resumes
    And 3500 ms pass
    Then "engines-3" holds "verse, letters" within 100 ms
    And the fencing tokens of "engines-3" never decreased

  Scenario: An engine that checks tokens rejects a late order
    Given the engine "engines-3" checks fencing tokens
    When alice sets the engines' adapters to "verse" through entry-1
    And "engines-3" holds "verse" within 8000 ms
    And a late order for "stale" arrives at "engines-3"
    Then the late order is rejected
    And "engines-3" holds "verse" within 100 ms

  Scenario: On an engine that ignores tokens a late order is overwritten within seconds
    When alice sets the engines' adapters to "letters" through entry-1
    And "engines-1" holds "letters" within 8000 ms
    And a late order for "stale" arrives at "engines-1"
    Then "engines-1" holds "letters" within 5000 ms
