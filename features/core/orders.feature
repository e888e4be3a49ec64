Feature: Decisions on one order log

  Scenario: A key is claimed once, and only its attempt owns it
    Given an empty order log
    When attempt "1" of key "k" is appended
    Then attempt "1" of key "k" owns it
    And attempt "2" of key "k" is refused as "may-have-run"

  Scenario: A released key can be claimed by another attempt, never by the same
    Given an empty order log
    When attempt "1" of key "k" is appended
    And attempt "1" of key "k" is released
    Then attempt "2" of key "k" may claim it
    And attempt "1" of key "k" is refused as "not-run"

  Scenario: A key is found after its segment was sealed
    Given an empty order log
    When 1000 other keys are appended around key "k"
    Then the log has sealed segments
    And attempt "2" of key "k" is refused as "may-have-run"

  Scenario: Expired segments are dropped, and their keys can't be claimed again
    Given an empty order log
    When 1000 other keys are appended around key "k"
    And everything up to now expires and more keys are appended
    Then the segment of key "k" is dropped
    And attempt "2" of key "k" is refused as "may-have-run"

  Scenario: However appends, seals, releases and drops mix, no key has two owners
    Then in 300 random logs no key ever has two owners
