Feature: Connections to servers

  Scenario Outline: What a server's bytes say about whether a request ran
    Given a server that <does>
    When a request is sent to it
    Then the request has <outcome>

    Examples:
      | does                                             | outcome                  |
      | answers with a length                            | the answer "hello"       |
      | answers in chunks                                | the answer "hello"       |
      | answers and closes without a length              | the answer "hello"       |
      | resets an answer without a length                | the verdict may-have-run |
      | closes in the middle of a body                   | the verdict may-have-run |
      | closes before it answers                         | the verdict may-have-run |
      | sends bytes that are no answer                   | the verdict may-have-run |
      | sends an answer to an earlier request first      | the answer "hello"       |
      | sends only answers to earlier requests           | the verdict may-have-run |
      | does not listen                                  | the verdict not-run      |

  Scenario Outline: A connection is used again only if that is safe
    Given a server that <does>
    When two requests are sent to it
    Then it saw <connections> connections and both were answered "hello"

    Examples:
      | does                                             | connections |
      | answers with a length                            | 1           |
      | answers and sends bytes after it                 | 2           |
      | answers and closes the connection later          | 2           |
      | answers that the connection ends                 | 2           |
      | answers that it keeps connections for a second   | 2           |

  Scenario: No more connections than allowed are opened
    Given a server that answers with a length
    When a request is sent to it while no connection is allowed
    Then the request has the verdict not-run

  Scenario: A request that is given up closes its connection
    Given a server that never answers
    When a request is given up after 100 ms
    Then the server sees the end of its connection
