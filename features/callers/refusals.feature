@fleet
Feature: Invalid requests are refused without running

  Guards against invalid requests that run or end in an internal error, and against
  refusals with a verdict or reason from which a caller draws the wrong conclusion about
  a retry.  An expired key may belong to an order that ran, and its verdict says so.

  Scenario Outline: The refusal of an invalid request names its verdict and reason
    When a request is sent with <fault>
    Then the status is <status>
    And the request is refused as "<verdict>" because of "<reason>"

    Examples:
      | fault                           | status | verdict      | reason                   |
      | no token                        | 401    | not-run      | unauthenticated          |
      | a wrong token                   | 401    | not-run      | unauthenticated          |
      | another team's name             | 401    | not-run      | unauthenticated          |
      | an unknown pipeline             | 404    | not-run      | unknown-route            |
      | an unknown service              | 404    | not-run      | unknown-route            |
      | an unknown path                 | 404    | not-run      | unknown-route            |
      | a body over the limit           | 413    | not-run      | body-too-large           |
      | a head over the limit           | 400    | not-run      | invalid-request          |
      | a body that is not JSON         | 400    | not-run      | invalid-request          |
      | a deeply nested body            | 400    | not-run      | invalid-request          |
      | a body without input            | 400    | not-run      | invalid-request          |
      | a body that is not UTF-8        | 400    | not-run      | invalid-request          |
      | a past deadline                 | 504    | not-run      | deadline-exceeded        |
      | a deadline that is not a number | 400    | not-run      | invalid-request          |
      | an order without a key          | 400    | not-run      | idempotency-key-required |
      | a key that is not a UUID        | 400    | not-run      | idempotency-key-invalid  |
      | a key of another version        | 400    | not-run      | idempotency-key-invalid  |
      | a key that is too old           | 409    | may-have-run | idempotency-key-expired  |
      | a key from the future           | 400    | not-run      | idempotency-key-invalid  |
      | a key that is too long          | 400    | not-run      | idempotency-key-invalid  |

  Scenario Outline: An incomplete request does not affect later requests
    When a raw request "<text>" is sent to entry-1 and not completed
    And order "a" is sent through entry-1
    Then the order is answered

    Examples:
      | text                                                                 |
      | POST /v1/pipelines/diagnosis HT                                      |
      | POST /v1/services/part-order HTTP/1.1\r\nContent-Length: 9\r\n\r\nab |
      | \r\n\r\n\r\n                                                         |
