Feature: Connections of callers

  Scenario Outline: An invalid or oversized request is refused before the handler is called
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When an edge is sent <request>
    Then the caller gets <status> and the end of the connection
    And the handler received 0 requests

    Examples:
      | request                                       | status |
      | both a content-length and a transfer-encoding | 400    |
      | two content-lengths                           | 400    |
      | two hosts                                     | 400    |
      | no host                                       | 400    |
      | an absolute target                            | 400    |
      | a head of 4000 bytes                          | 431    |
      | a body of 1500 bytes by length                | 413    |
      | a body of 1500 bytes in chunks                | 413    |
      | a head that stops in the middle               | 408    |
      | bytes that are not HTTP                       | 400    |

  Scenario: A chunked body arrives complete and unchanged
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When an edge is sent a body of 900 bytes in chunks
    Then the caller gets 200 with the body that it sent

  Scenario: Pipelined requests are answered in order
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When an edge is sent 3 requests at once
    Then the caller gets 3 answers in order

  Scenario Outline: The disconnect of a caller cancels its handler
    Given an edge whose handler takes 5000 ms
    When a caller <leaves> 100 ms after its request
    Then the handler was cancelled within 100 ms

    Examples:
      | leaves                |
      | closes the connection |
      | ends its side         |
      | resets the connection |

  Scenario: An aborted answer does not look complete
    Given an edge whose handler stops in the middle of its answer
    When an edge is sent a request
    Then the caller sees an incomplete answer

  Scenario: An unexpected error of the handler is answered with 502
    Given an edge whose handler raises an error
    When an edge is sent a request
    Then the caller gets 502 and the end of the connection

  Scenario: A stopping daemon closes connections after their answers
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When a request arrives after keep-alive was disabled
    Then the answer announces the close of the connection

  Scenario: An idle connection is closed after the idle timeout, not before
    Given an edge whose limits are 2000 bytes of head and 1000 bytes of body
    When a caller waits 300 ms between two requests
    Then the caller gets 200 both times
