Feature: Sending to servers

  Guards against sending to a server on an old decision: it was chosen while it took
  requests, and has said since that it leaves.

  Scenario Outline: A server that leaves while the connection to it is opened gets nothing
    Given servers "s1, s2" that listen
    When a <purpose> is sent to "s1", which leaves while the connection is opened
    Then nothing was sent to "s1", and the sender knows it

    Examples:
      | purpose      |
      | request      |
      | stage call   |
      | free results |

  Scenario: A request whose server leaves while the connection is opened runs at another
    Given servers "s1, s2" that listen
    When a request is forwarded to "s1", which leaves while the connection is opened
    Then the request was answered by "s2", and no retry was spent

  Scenario: An engine that the owner still chooses gets nothing once this daemon knows that it leaves
    Given servers "s1, s2" that listen
    When "s1" leaves and a request is forwarded with the choices "s1, s2"
    Then the request was answered by "s2", and no retry was spent

  Scenario: A request that becomes suspect while the connection is opened is not sent
    Given servers "s1, s2" that listen
    When a request is forwarded that crashes a server elsewhere while the connection is opened
    Then it was refused as suspect, and nothing was sent

  Scenario Outline: A stream without length or chunks is complete only if it ends after an event
    Given an upstream that <does>
    When a stream is forwarded to it
    Then the caller has received <events> events of a stream that <ended>

    Examples:
      | does                                      | events | ended          |
      | closes a bare stream after two events     | 2      | is complete    |
      | closes a bare stream inside an event      | 1      | was broken off |
      | closes a bare stream before the first one | 0      | was refused    |
      | resets a bare stream after two events     | 2      | was broken off |

  Scenario Outline: A stream that goes on at a failing server is broken off after its events
    When a stream breaks off after its first event and goes on at a server that <does>
    Then the caller has received the first event only, of a stream that was broken off

    Examples:
      | does                                      |
      | fails with a text                         |
      | fails without a length                    |
      | is busy and may have run it               |
      | answers with no byte                      |
      | ends its chunks before the first event    |
      | closes a bare stream before the first one |
      | closes inside its head                    |

  Scenario Outline: A stream goes on before an event whose identifier can't be sent on
    When a stream with a body of <size> bytes breaks off after an event whose identifier <oddity>
    Then the stream goes on after event 1, and the caller has each event once

    Examples:
      | size  | oddity                     |
      | 0     | has a zero byte            |
      | 17000 | has a zero byte            |
      | 17000 | has a form feed            |
      | 17000 | has a vertical tab         |
      | 17000 | has a lone carriage return |
      | 0     | has a control byte         |
      | 0     | is empty                   |
      | 0     | has 5000 bytes             |

  Scenario Outline: A request whose team can't be named in a header is refused as not run
    Given servers "s1, s2" that listen
    When a request with a body of <size> bytes is forwarded, whose team's name has <oddity>
    Then it was refused as not run, with unsendable, and nothing was sent

    Examples:
      | size  | oddity                     |
      | 0     | a character beyond Latin-1 |
      | 17000 | a character beyond Latin-1 |
      | 0     | a line break               |
      | 17000 | a line break               |

  Scenario Outline: An answer whose head breaks off at any byte is lost
    Given heads that are cut one byte later each time, as the server <ends>, <connection>
    When requests, streams and stage calls are sent until a head is whole
    Then none of them was answered, and each may have run

    Examples:
      | ends   | connection             |
      | closes | on a new connection    |
      | resets | on a new connection    |
      | closes | on a kept connection   |
      | resets | on a kept connection   |

  Scenario: A bare answer that closes before its first byte is not passed on as whole
    Given an upstream that closes a bare answer before its first byte
    When a request is forwarded to it
    Then the request may have run, and its caller has received nothing

  Scenario Outline: An answer without end is cut off at its limit
    Given an upstream that <does>
    When a <kind> is forwarded to it
    Then the attempt failed with invalid-answer within 4 s, and at most <MB> MB were taken

    Examples:
      | does                                | kind    | MB |
      | sends a head without end            | request | 1  |
      | sends a header without end          | stream  | 1  |
      | sends a body without end            | request | 12 |
      | sends an event without end          | stream  | 4  |
      | sends a stale answer without end    | request | 12 |
      | sends informational heads on and on | request | 4  |

  Scenario: A refusal with a body without end is still a refusal
    Given an upstream that refuses with a body without end
    When a request is forwarded to it
    Then the attempt failed with queue-full within 4 s, and at most 4 MB were taken

  Scenario Outline: A server that says in an answer that it leaves gets nothing more
    Given an upstream that <does>
    When a <purpose> is answered by it, and its entry is read as ready again
    Then a request, a stage call and a release are not sent to it

    Examples:
      | does                                  | purpose      |
      | answers and says that it leaves       | request      |
      | answers and says that it leaves       | stage call   |
      | answers and says that it leaves       | free results |
      | refuses and says that it leaves       | request      |
      | begins a stream as it leaves          | request      |

  Scenario: What another server at the address says of itself does not count
    Given an upstream that is another one and says that it leaves
    When a request is answered by it, and its entry is read as ready again
    Then a request is sent to it

  Scenario: A server that refuses with Retry-After gets nothing until that time is over
    Given a server whose refusals have Retry-After 1
    When a request is answered by it, and its entry is read as ready again
    Then a request, a stage call and a release are not sent to it
    When 1100 ms have passed
    Then it takes requests again

  Scenario Outline: A Retry-After without a usable time is ignored
    Given a server whose refusals have Retry-After <value>
    When a request is answered by it, and its entry is read as ready again
    Then a request is sent to it

    Examples:
      | value                         |
      | -5                            |
      | soon                          |
      | nan                           |
      | 1e999                         |
      | Wed, 21 Oct 2026 07:28:00 GMT |

  Scenario: A Retry-After of ages is bounded
    Given a server whose refusals have Retry-After 1000000000000000000000000000000
    When a request is answered by it, and its entry is read as ready again
    Then a request, a stage call and a release are not sent to it
    And it gets requests again within 60 s

  Scenario: A request whose server wants none for a while goes to another
    Given servers "s1, s2" that listen
    When "s1" wants nothing for 3000 ms and a request is forwarded with the choices "s1, s2"
    Then the request was answered by "s2", and no retry was spent

  Scenario: A caller is told when the only server takes requests again
    Given servers "s1" that listen
    When "s1" wants nothing for 3000 ms and a request is forwarded
    Then the request was refused at once, with a Retry-After of 2900 to 3000 ms
    And "s1" has received nothing

  Scenario: A server that wants nothing for a while is not probed
    Given servers "s1" that listen
    When "s1" wants nothing for 3000 ms and its domain is suspect
    Then "s1" is not probed

  Scenario Outline: A server whose domain is evacuated while the connection is opened gets nothing
    Given servers "s1, s2" that listen
    When a <purpose> is sent to "s1", which is evacuated while the connection is opened
    Then nothing was sent to "s1", and the sender knows it

    Examples:
      | purpose      |
      | request      |
      | stage call   |
      | free results |

  Scenario: A request to a server that becomes cold while the connection is opened runs at another
    Given servers "s1, s2" that listen
    When a request is forwarded to "s1", which becomes cold while the connection is opened
    Then the request was answered by "s2", and no retry was spent
