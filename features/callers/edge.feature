Feature: The callers' connections

  Scenario Outline: A request that can't be read is refused, and nothing of it runs
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When an edge is sent <request>
    Then the caller gets <status> and the end of the connection
    And the edge handed on 0 requests

    Examples:
      | request                                            | status |
      | both a content-length and a transfer-encoding      | 400    |
      | two content-lengths                                | 400    |
      | two hosts                                          | 400    |
      | no host                                            | 400    |
      | an absolute target                                 | 400    |
      | a head of 4000 bytes                               | 431    |
      | a body of 1500 bytes by length                     | 413    |
      | a body of 1500 bytes in chunks                     | 413    |
      | a head that stops in the middle                    | 408    |
      | something that is no request                       | 400    |

  Scenario: A chunked body arrives whole and unchanged
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When an edge is sent a body of 900 bytes in chunks
    Then the caller gets 200 with the body that it sent

  Scenario: Requests that are sent at once are answered in order
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When an edge is sent 3 requests at once
    Then the caller gets 3 answers in order

  Scenario Outline: A caller that leaves is noticed while its request is served
    Given an edge whose handler takes 5000 ms
    When a caller with a request <leaves> after 100 ms
    Then the handler was cancelled within 100 ms

    Examples:
      | leaves                 |
      | closes the connection  |
      | ends its side          |
      | resets the connection  |

  Scenario: An answer that breaks off does not look complete
    Given an edge whose handler stops in the middle of its answer
    When an edge is sent a request
    Then the caller sees that the answer is not whole

  Scenario: An error of the program promises nothing
    Given an edge whose handler raises an error
    When an edge is sent a request
    Then the caller gets 502 and the end of the connection

  Scenario: A daemon that stops ends connections with their answers
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When a request arrives at an edge that begins to close
    Then the caller is told that the connection ends

  Scenario: An idle connection is closed after the idle timeout, not before
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When a caller waits 300 ms between two requests
    Then the caller gets 200 both times
