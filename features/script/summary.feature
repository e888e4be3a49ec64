Feature: Summary of a test run

  Guards against a run that counts as passed although a part of it did not run.

  Scenario Outline: A run counts as passed only if all that was to run has passed
    Given a report of a feature that <feature> with a scenario that <scenario>
    When the report is summarized
    Then the exit status is <status> and the last line is "<line>"

    Examples:
      | feature    | scenario | status | line               |
      | passed     | passed   | 0      | 2 passed, 0 failed |
      | failed     | failed   | 1      | 1 passed, 1 failed |
      | error      | error    | 1      | 1 passed, 1 failed |
      | passed     | untested | 1      | 1 passed, 1 failed |
      | skipped    | skipped  | 0      | 1 passed, 0 failed |
      | hook_error | none     | 1      | 1 passed, 1 failed |

  Scenario: A failure that is not repeated can be traced by what the run printed
    Given a report of a scenario whose step "orders ran" failed with "no order ran"
    When the report is summarized
    Then the summary contains
      """
      in features/first.feature: first works: Then orders ran
        Traceback
        no order ran
      """
