Feature: Background tasks whose errors are contained

  Guards against one request, call or message with an unexpected value that ends the whole
  process, and with it the requests of all callers.

  Scenario: A task that fails ends alone
    Given background tasks
    When a task fails beside one that takes 50 ms
    Then the other one has ended, and the failure is counted and logged with its traceback

  Scenario: A loop that fails runs again
    Given background tasks
    When a loop fails in its first round
    Then it has run 2 rounds, and the failure is counted and logged with its traceback

  Scenario: A loop that ends is not run again
    Given background tasks
    When a loop ends after its first round
    Then it has run 1 rounds, and no failure is counted

  Scenario: An essential part that fails ends the process
    Given background tasks
    When an essential part fails
    Then its error has ended all tasks

  Scenario: Failures of one task by the hundred are counted, and logged once a second
    Given background tasks
    When a task fails 300 times
    Then 300 failures are counted, and 1 traceback is logged
