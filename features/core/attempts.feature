Feature: What may be sent again

  Scenario Outline: A request is sent again only if that can't double it
    Given a <kind> route with <attempts> attempts that is resumable: <resumable>
    When attempts end as "<verdicts>"
    Then it may be sent again: <again>

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

  Scenario: The repeats of all daemons together stay within the fleet's allowance
    Given 9 daemons with a ratio of 0.2 and 58 repeats in 10000 ms
    When each sees 5 requests a second and wants to repeat every one for 30 s
    Then no window of 10000 ms has more repeats than 0.2 of its requests and 58

  Scenario: A daemon that is cut off spends no more than its part
    Given 9 daemons with a ratio of 0.2 and 58 repeats in 10000 ms
    When one daemon without requests wants 100 repeats at once
    Then it is granted 6 of them

  Scenario: An allowance that was spent comes back when its window has passed
    Given 1 daemons with a ratio of 0.2 and 8 repeats in 10000 ms
    When one daemon without requests wants 100 repeats at once
    Then it is granted 8 of them
    And it is granted 0 of 10 at 9999 ms
    And it is granted 8 of 10 at 10000 ms
