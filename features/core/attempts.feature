Feature: Retry policy and retry budgets

  # A retry after an attempt that may have run would run a non-idempotent request twice.
  Scenario Outline: A request is retried only if that can't run it twice
    Given a <kind> route with <attempts> attempts that is resumable: <resumable>
    When attempts end as "<verdicts>"
    Then a retry is allowed: <again>

    Examples:
      | kind       | attempts | resumable | verdicts                              | again |
      | once       | 2        | no        | not-run                               | yes   |
      | once       | 2        | no        | may-have-run                          | no    |
      | once       | 3        | no        | not-run, may-have-run                 | no    |
      | idempotent | 2        | no        | may-have-run                          | yes   |
      | idempotent | 2        | no        | may-have-run, may-have-run            | no    |
      | idempotent | 1        | no        | may-have-run                          | no    |
      | stream     | 2        | no        | may-have-run                          | no    |
      | stream     | 2        | yes       | may-have-run                          | yes   |
      | stream     | 2        | yes       | may-have-run, may-have-run            | no    |
      | once       | 1        | no        | not-run, not-run, not-run             | yes   |
      | once       | 1        | no        | not-run, not-run, not-run, not-run    | no    |

  # Retries of several daemons add up: each alone may be within its limit while together
  # they prolong an outage.
  Scenario: The retries of all daemons together stay within the fleet's allowance
    Given 9 daemons with a ratio of 0.2 and 58 retries in 10000 ms
    When each receives 5 requests a second and wants to retry every one for 30 s
    Then no window of 10000 ms has more retries than 0.2 of its requests and 58

  Scenario: A partitioned daemon spends no more than its part of the allowance
    Given 9 daemons with a ratio of 0.2 and 58 retries in 10000 ms
    When one daemon without requests wants 100 retries at once
    Then it is granted 6 of them

  Scenario: A spent allowance is available again once its window has passed
    Given 1 daemons with a ratio of 0.2 and 8 retries in 10000 ms
    When one daemon without requests wants 100 retries at once
    Then it is granted 8 of them
    And it is granted 0 of 10 at 9999 ms
    And it is granted 8 of 10 at 10000 ms
