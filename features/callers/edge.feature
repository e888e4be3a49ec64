Feature: Connections of callers

  Guards against requests that daemon and upstream frame differently, so that a second
  request is smuggled in a body, and against slow or oversized requests that hold a
  daemon's memory.  Also guards against handlers that run on after their caller has
  disconnected, and against aborted answers that look complete.

  Scenario Outline: An invalid or oversized request is refused before the handler is called
    Given an edge server whose limits are 2000 bytes of head and 1000 bytes of body
    When the edge server is sent <request>
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
    Given an edge server whose limits are 2000 bytes of head and 1000 bytes of body
    When the edge server is sent a body of 900 bytes in chunks
    Then the caller gets 200 with the body that it sent

  Scenario: Pipelined requests are answered in order
    Given an edge server whose limits are 2000 bytes of head and 1000 bytes of body
    When the edge server is sent 3 requests at once
    Then the caller gets 3 answers in order

  Scenario Outline: The disconnect of a caller cancels its handler
    Given an edge server whose handler takes 5000 ms
    When a caller <leaves> 100 ms after its request
    Then the handler was cancelled within 100 ms

    Examples:
      | leaves                |
      | closes the connection |
      | ends its side         |
      | resets the connection |
      | ends its side after 20 more requests         |
      | resets the connection after 20 more requests |

  Scenario: An aborted answer does not look complete
    Given an edge server whose handler stops in the middle of its answer
    When the edge server is sent a request
    Then the caller sees an incomplete answer

  Scenario: An unexpected error of the handler is answered with 502
    Given an edge server whose handler raises an error
    When the edge server is sent a request
    Then the caller gets 502 and the end of the connection

  Scenario: A stopping daemon closes connections after their answers
    Given an edge server whose limits are 2000 bytes of head and 1000 bytes of body
    When a request arrives after keep-alive was disabled
    Then the answer announces the close of the connection

  Scenario: An idle connection is closed after the idle timeout, not before
    Given an edge server whose limits are 2000 bytes of head and 1000 bytes of body
    When a caller waits 300 ms between two requests
    Then the caller gets 200 both times

  Scenario: A caller that reads no answers gets no further requests served
    Given an edge server whose limits are 2000 bytes of head and 1000 bytes of body
    When a caller sends 5000 requests at once and reads nothing for 1000 ms
    Then the handler received at most 1000 requests

  Scenario: Refused requests that are sent ahead wait for one another
    Given an edge server that refuses all requests
    When a caller sends 5000 requests at once and reads for 1000 ms
    Then the handler received at most 10 requests

  Scenario: A caller that reads slowly gets its whole answer
    Given an edge server whose answers have 8 MB
    When a caller pauses for 1500 ms in the middle of an answer
    Then the caller gets 8 MB

  Scenario: A caller that reads nothing for the stall timeout is disconnected
    Given an edge server whose answers have 8 MB
    When a caller reads nothing for 1000 ms with a stall timeout of 300 ms
    Then 1 connection was closed as "stalled"

  Scenario: The caller that holds the most is disconnected when memory is exhausted
    Given an edge server whose answers have 8 MB, with a budget of 1 MB
    When a caller reads nothing for 500 ms with a stall timeout of 15000 ms
    Then 1 connection was closed as "given-up"

  Scenario: At the limit of connections, a caller that does not read makes room
    Given an edge server whose answers have 8 MB
    When another caller comes after a caller has read nothing for 2500 ms at a limit of 1
    Then the caller gets 8 MB
    And 1 connection was closed as "evicted"

  Scenario Outline: At the limit of connections, one in use ends after its answer
    Given an edge server whose admitted requests take 300 ms
    When a caller comes at a limit of 1 while another has sent <count> requests
    Then the caller gets 200
    And the other one gets 1 answer and the end of the connection

    Examples:
      | count |
      | 1     |
      | 5     |

  Scenario: At the limit of connections, a caller does not wait for a long request
    Given an edge server whose admitted requests take 1500 ms
    When a caller comes at a limit of 1 while another has sent 1 requests
    Then the caller gets the end of the connection
    And the other one gets 1 answer and the end of the connection

  Scenario: At the limit of connections, one in use stays if those that wait have left
    Given an edge server whose admitted requests take 300 ms
    When 20 callers send a request and leave at once at a limit of 1, beside another
    Then the handler received 1 requests
    And the other one gets 1 answer, and its connection stays open

  Scenario: Requests whose callers have left before they were read are not handled
    Given an edge server whose admitted requests take 300 ms
    When 20 callers send a request and leave at once at a limit of 100, beside another
    Then the handler received 1 requests
    And the other one gets 1 answer, and its connection stays open

  Scenario: At the limit of connections, those whose first request has arrived are kept
    Given an edge server whose admitted requests block the event loop for 10 ms
    When 100 callers send a request at once at a limit of 20
    Then each of them gets 200

  Scenario: A request behind unread answers is not handled once its connection was closed
    Given an edge server whose answers have 1 MB
    When a caller of 2 requests reads nothing for 1500 ms, and then makes room for another
    Then 1 connection was closed as "evicted"
    And the handler received 2 requests

  Scenario: Bodies in many small chunks are decoded in turns
    Given an edge server whose limits are 2000 bytes of head and 100000 bytes of body
    When 20 callers send a body of 2000 chunks of one byte at once
    Then each of them gets 200
    And at most 32 chunks were decoded in one round of the event loop

  Scenario: A body in chunks whose caller has left is not decoded to its end
    Given an edge server whose limits are 2000 bytes of head and 100000 bytes of body
    When a caller leaves after it has sent 5000 chunks of one byte
    Then at most 500 chunks were decoded

  Scenario: A listener that accepts no more connections ends the server
    Given an edge server whose limits are 2000 bytes of head and 1000 bytes of body
    When its listening socket no longer listens
    Then the server ends with "no further connections are accepted"

  Scenario: An idle connection holds no memory of its last request
    Given an edge server whose limits are 2000 bytes of head and 100000 bytes of body
    When a caller has got the answer to a body of 60000 bytes
    Then its connection counts 40000 bytes
