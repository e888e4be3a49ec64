Feature: An order log grants each key to one attempt

  Each order must run at most once, though any daemon may append to a log. A second
  owner could arise when a claim is no longer found: after its segment was sealed or
  dropped, or when a released key is claimed again by the attempt that released it.

  Scenario: Only the attempt that claimed a key owns it
    Given an empty order log
    When attempt "1" of key "k" is appended
    Then attempt "1" of key "k" owns it
    And attempt "2" of key "k" is refused as "may-have-run"

  Scenario: A released key can be claimed again, but not by the same attempt
    Given an empty order log
    When attempt "1" of key "k" is appended
    And attempt "1" of key "k" is released
    Then attempt "2" of key "k" may claim it
    And attempt "1" of key "k" is refused as "not-run"

  Scenario: A claim is still found after its segment was sealed
    Given an empty order log
    When 1000 other keys are appended around key "k"
    Then the log has sealed segments
    And attempt "2" of key "k" is refused as "may-have-run"

  Scenario: Expired segments are dropped, and their keys can never be claimed again
    Given an empty order log
    When 1000 other keys are appended around key "k"
    And all keys so far expire and more keys are appended
    Then the segment of key "k" is dropped
    And attempt "2" of key "k" is refused as "may-have-run"

  Scenario: No mix of appends, seals, releases and drops gives a key two owners
    Then in 300 random logs no key ever has two owners
