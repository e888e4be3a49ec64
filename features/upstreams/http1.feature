Feature: Connections to servers

  Guards against a wrong verdict, with which a request is retried although it ran.  Any
  request that was sent may have run, even if the server was just closing the
  connection.  Also guards against reusing a connection that still carries bytes of an
  earlier exchange, so that a caller gets the answer to another request.

  Scenario Outline: The verdict of a request follows from the server's behavior
    Given a server that <does>
    When a request is sent to it
    Then the request has <outcome>

    Examples:
      | does                                        | outcome                  |
      | answers with a length                       | the answer "hello"       |
      | answers in chunks                           | the answer "hello"       |
      | answers and closes without a length         | the answer "hello"       |
      | resets an answer without a length           | the verdict may-have-run |
      | closes in the middle of a body              | the verdict may-have-run |
      | closes before it answers                    | the verdict may-have-run |
      | sends bytes that are not HTTP               | the verdict may-have-run |
      | sends an answer to an earlier request first | the answer "hello"       |
      | sends only answers to earlier requests      | the verdict may-have-run |
      | does not listen                             | the verdict not-run      |

  Scenario Outline: An answer without a length that is reset is not complete, whatever is still being sent
    Given a server that <does>
    When a request with a body of <size> bytes is sent to it 20 times
    Then each request has the verdict may-have-run

    Examples:
      | does                                          | size    |
      | resets an answer without a length             | 0       |
      | resets an answer without a length             | 15000   |
      | resets an answer without a length             | 4000000 |
      | resets an answer without a length at once     | 0       |
      | resets an answer without a length at once     | 15000   |
      | resets an answer without a length at once     | 4000000 |
      | resets a read body's answer without a length  | 4000000 |

  Scenario Outline: An answer with a status outside of 200 to 599 is not valid
    Given a server that answers with status <status>
    When a request is sent to it
    Then the request has the verdict may-have-run

    Examples:
      | status |
      | 000    |
      | 099    |
      | 100    |
      | 101    |
      | 199    |
      | 600    |
      | 999    |

  Scenario Outline: A connection is reused only if it is open, has no unread data and has not timed out
    Given a server that <does>
    When two requests are sent to it
    Then it accepted <connections> connections and both were answered "hello"

    Examples:
      | does                                          | connections |
      | answers with a length                         | 1           |
      | answers and sends bytes after it              | 2           |
      | answers and closes the connection later       | 2           |
      | answers with the close option                 | 2           |
      | answers with a keep-alive timeout of a second | 2           |

  Scenario Outline: A refusal that a server writes once more answers no later request
    Given a server that <does>
    When two requests are sent to it
    Then it accepted 2 connections, and the first was refused and the second answered "hello"

    Examples:
      | does                                                      |
      | refuses, and once more without identifier before it answers |
      | refuses, and once more with the identifier before it answers |
      | refuses, and once more at once                            |

  Scenario Outline: A request with a header that can't be sent has not run
    Given a server that answers with a length
    When a request with a body of <size> bytes and <oddity> is sent to it
    Then the request has the verdict not-run
    And the server has accepted no connection

    Examples:
      | size  | oddity                 |
      | 0     | a zero byte in a value |
      | 17000 | a zero byte in a value |
      | 0     | no host                |
      | 17000 | no host                |

  Scenario: The limit of open connections is enforced
    Given a server that answers with a length
    When a request is sent to it while no connection is allowed
    Then the request has the verdict not-run

  Scenario: A cancelled request closes its connection
    Given a server that never answers
    When a request is cancelled after 100 ms
    Then the server sees the connection close
