Feature: A verdict never claims more than is known

  Scenario Outline: Attempts and stages combine
    Then "<parts>" combine to "<whole>"

    Examples:
      | parts                     | whole        |
      | not-run                   | not-run      |
      | not-run not-run           | not-run      |
      | not-run may-have-run      | may-have-run |
      | may-have-run not-run      | may-have-run |
      | not-run ran               | ran          |
      | may-have-run ran          | ran          |

  Scenario Outline: What happens on a connection, hop by hop
    When an upstream <behaviour>
    Then the call fails as "<verdict>" because of "<reason>"

    Examples:
      | behaviour                                | verdict      | reason            |
      | does not listen                          | not-run      | connect-failed    |
      | closes before it read anything           | may-have-run | connection-lost   |
      | closes in the middle of its answer       | may-have-run | connection-lost   |
      | never answers                            | may-have-run | deadline-exceeded |
      | stalls in the middle of its answer       | may-have-run | deadline-exceeded |
      | answers 500                              | may-have-run | upstream-failed   |
      | answers 404                              | may-have-run | upstream-failed   |
      | answers 503 and is known to refuse first | not-run      | upstream-refused  |
      | answers 429 and is known to refuse first | not-run      | upstream-refused  |
      | answers 503                              | may-have-run | upstream-refused  |
      | answers no JSON                          | may-have-run | invalid-answer    |
      | answers JSON of another shape            | may-have-run | invalid-answer    |
      | answers for another attempt              | may-have-run | invalid-answer    |
      | answers what is no HTTP                  | may-have-run | connection-lost   |
