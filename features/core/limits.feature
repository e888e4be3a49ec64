Feature: Limits on requests that servers name

  Guards against a server in need that gets more requests a second from all daemons
  together than it names, and against limits that outlive their reason.

  Scenario Outline: Daemons together keep a limit and leave none of it unused
    Given <daemons> daemons and 4 servers that name 1.0 requests a second from 3 s on
    When callers send <load> requests a second for <s> s, and <disturbance>
    Then no server gets more than 11 requests in 4 s from daemons that know its limit
    And at least <used> of each limit is used

    Examples:
      | daemons | load | s  | disturbance                       | used |
      | 7       | 8    | 30 | nothing else happens              | 0.9  |
      | 9       | 8    | 30 | nothing else happens              | 0.9  |
      | 90      | 30   | 14 | nothing else happens              | 0.9  |
      | 9       | 8    | 30 | one daemon gets all of them       | 0.9  |
      | 9       | 8    | 30 | the granting daemon restarts      | 0.7  |
      | 9       | 8    | 30 | the granting daemon freezes       | 0.7  |
      | 9       | 8    | 30 | all daemons restart in turn       | 0.7  |
      | 9       | 8    | 30 | a failure domain is cut off       | 0.9  |
      | 90      | 30   | 14 | a failure domain is cut off       | 0.7  |
      | 90      | 30   | 14 | the granting daemon freezes       | 0.7  |
      | 9       | 8    | 30 | heartbeats arrive late            | 0.9  |
      | 90      | 30   | 14 | heartbeats arrive late            | 0.7  |

    Examples: Overlapping disturbances
      | daemons | load | s  | disturbance                                                 | used |
      | 7       | 8    | 30 | late heartbeats, partitions, a freeze and a restart overlap | 0.7  |
      | 9       | 8    | 30 | late heartbeats, partitions, a freeze and a restart overlap | 0.7  |

  Scenario: Callers within the limits are served
    Given 9 daemons and 4 servers that name 1.0 requests a second from 3 s on
    When callers send 2 requests a second for 30 s, and nothing else happens
    Then at most 1 in 20 requests are denied

  Scenario: Callers that are denied are told to return one after the other
    Given a daemon and a server that names 2.0 requests a second, which has no place
    When 8 callers are denied at the same moment
    Then they are told to return at least 480 ms apart

  Scenario Outline: A limit that changes holds from then on
    Given 9 daemons and a server that names <before> and after 12 s <after>
    When callers send 8 requests a second for 30 s, and nothing else happens
    Then it gets <least> to <most> requests in the last 12 s

    Examples:
      | before    | after     | least | most |
      | 1.0       | 3.0       | 32    | 40   |
      | 3.0       | 1.0       | 10    | 15   |
      | 1.0       | 0         | 1     | 4    |
      | 1.0       | unreadable | 10   | 15   |

  Scenario Outline: A limit that ends holds back no request from then on
    Given 9 daemons and a server that names 1.0 and after 12 s <after>
    When callers send 8 requests a second for 30 s, and nothing else happens
    Then no request is denied in the last 16 s, and it gets all of them

    Examples:
      | after   |
      | nothing |
      | endless |

  Scenario: A limit that was never readable holds back no request
    Given 9 daemons and a server that names unreadable and after 12 s unreadable
    When callers send 8 requests a second for 30 s, and nothing else happens
    Then no request is denied in the last 30 s, and it gets all of them

  Scenario Outline: What a server's answer names is decoded
    When a server's answer names the limit "<text>"
    Then it is read as <meaning>

    Examples:
      | text    | meaning            |
      | 1.5     | 1.5 a second       |
      | 0       | 0.0 a second       |
      | 1e400   | inf a second       |
      | inf     | inf a second       |
      | -1      | unreadable         |
      | nan     | unreadable         |
      | ten     | unreadable         |
      |         | unreadable         |

  Scenario: The latest answer holds, whichever daemon heard it
    Given a daemon that heard a limit of 2.0 for "s1" 500 ms ago
    When a peer reports a limit of 1.0 for "s1" that it heard 900 ms ago
    Then the limit of "s1" is 2.0
    When a peer reports a limit of 1.0 for "s1" that it heard 100 ms ago
    Then the limit of "s1" is 1.0
    When a peer reports that "s1" named no limit 50 ms ago
    Then "s1" has no limit
    When a peer reports a limit of 1.0 for "s1" that it heard 80 ms ago
    Then "s1" has no limit

  Scenario: A daemon that begins to grant counts what its peers have sent
    Given a daemon that heard a limit of 1.0 for "s1" 500 ms ago
    When a peer reports that it has sent 6 requests to "s1" within 4 s
    Then the daemon lets a request to "s1" wait for 1000 ms

  Scenario: A daemon that grants promises each place to one caller
    Given a daemon that heard a limit of 1.0 for "s1" 500 ms ago
    When the daemon decides on 3 urgent requests to "s1"
    Then the first is granted, the others return after 1000 and 2000 ms

  Scenario Outline: A side of a partition without a majority grants a part of the rates
    Given a daemon that lists 9 daemons and hears <heard> others
    Then it may grant <share> of a rate

    Examples:
      | heard | share |
      | 8     | 1.0   |
      | 4     | 1.0   |
      | 2     | 0.333 |
      | 0     | 0.111 |

  Scenario: A limit that was heard of a peer is not reported as an own one
    Given a daemon that heard nothing
    When a peer reports a limit of 1.0 for "s1" that it heard 100 ms ago
    Then the daemon reports no limit to its peers

  Scenario: A limit ends with the server that named it
    Given a daemon that heard a limit of 2.0 for "s1" 500 ms ago
    When "s1" has restarted under its identifier
    Then "s1" has no limit

  Scenario: A limit whose last answer is long ago still holds
    Given a daemon that heard a limit of 2.0 for "s1" 300000 ms ago
    Then the limit of "s1" is 2.0

  Scenario: Reports of 500 limited servers stay small, and a change goes first
    Given a daemon that heard limits of 500 servers
    When the limit of "s77" changes
    Then the next heartbeat reports "s77" and at most 12 servers
    And 45 heartbeats report all servers
