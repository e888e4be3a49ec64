Feature: Explaining a request afterwards

  Scenario: The decisions on a request are printed in order from several logs
    Given the logs of two daemons with lines on the requests "a1" and "b2"
    When an operator asks to explain "a1"
    Then the lines on "a1" are printed in the order of their times
    And no line on "b2" is printed

  Scenario: A request that no log names is said to be unknown
    Given the logs of two daemons with lines on the requests "a1" and "b2"
    When an operator asks to explain "c3"
    Then the operator is told that no line names "c3"

  Scenario: A document of settings is checked with the place of the fault
    Given a document of settings whose second route has no kind
    When an operator checks the document
    Then the operator is told that "routes.second" lacks "kind"

  Scenario: Log lines beyond the bound are counted, not waited for
    Given a log whose reader takes nothing
    When 5000 lines are written to it within a second
    Then no write waited and 2000 lines or more were counted as dropped
