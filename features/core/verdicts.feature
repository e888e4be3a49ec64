Feature: A verdict never claims more than is known

  A caller repeats what is reported as not run. If a failure after the request was sent
  were reported as not run, the repeat could run it twice.

  Scenario Outline: The verdicts of attempts and stages combine to that of the request
    Then the verdicts "<parts>" combine to "<whole>"

    Examples:
      | parts                     | whole        |
      | not-run                   | not-run      |
      | not-run not-run           | not-run      |
      | not-run may-have-run      | may-have-run |
      | may-have-run not-run      | may-have-run |
      | not-run ran               | ran          |
      | may-have-run ran          | ran          |

  Scenario Outline: Each failure of an upstream connection has its verdict and reason
    When an upstream <behaviour>
    Then the call fails as "<verdict>" because of "<reason>"

    Examples:
      | behaviour                                | verdict      | reason            |
      | does not listen                          | not-run      | connect-failed    |
      | closes without reading the request       | may-have-run | connection-lost   |
      | closes in the middle of its answer       | may-have-run | connection-lost   |
      | never answers                            | may-have-run | deadline-exceeded |
      | stalls in the middle of its answer       | may-have-run | deadline-exceeded |
      | answers 500                              | may-have-run | upstream-failed   |
      | answers 404                              | may-have-run | upstream-failed   |
      | answers 503 and refuses before running   | not-run      | upstream-refused  |
      | answers 429 and refuses before running   | not-run      | upstream-refused  |
      | answers 503                              | may-have-run | upstream-refused  |
      | answers with invalid JSON                | may-have-run | invalid-answer    |
      | answers JSON of another shape            | may-have-run | invalid-answer    |
      | answers for another attempt              | may-have-run | invalid-answer    |
      | answers with invalid HTTP                | may-have-run | connection-lost   |
