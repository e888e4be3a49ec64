Feature: Selection of servers

  Guards against requests that are sent to a server that is draining, moved, restarted
  or unreachable, against the loss of all servers when an outage of the store lets their
  leases expire, and against choosing a server that is more loaded than another or fails
  its requests.

  Scenario: A draining server gets no requests once it is listed as draining
    Given servers "s1, s2" of a service
    When "s1" is listed as draining
    Then the ready servers are "s2"

  Scenario: A server that a peer reports as draining gets no requests
    Given servers "s1, s2" of a service
    When a peer reports that "s1" is draining
    Then the ready servers are "s2"

  Scenario: A server that left stays excluded when an entry from before is read
    Given servers "s1, s2" of a service
    When a peer reports that "s1" left at revision 20
    And the entry of "s1" of revision 15 is read as ready
    Then the ready servers are "s2"

  Scenario: A server that registers again after it left is used
    Given servers "s1, s2" of a service
    When a peer reports that "s1" left at revision 20
    And the entry of "s1" of revision 25 is read as ready
    Then the ready servers are "s1, s2"

  Scenario: A report on a server that is not listed yet holds once its entry is read
    Given servers "s2" of a service
    When a peer reports that "s1" left at revision 20
    And the entry of "s1" of revision 15 is read as ready
    Then the ready servers are "s2"

  Scenario: A peer that missed an outage of the store does not make its lapsed servers leave
    Given servers "s1, s2" of a service
    When the store was unavailable for 5000 ms
    And a peer that saw no outage reports that the entry of "s1" was removed
    Then the ready servers are "s1, s2"
    When the registry waits 2400 ms
    And a peer that saw no outage reports that the entry of "s1" was removed
    Then the ready servers are "s2"

  Scenario Outline: Peers learn of a server that left, however it was noticed
    Given servers "s1, s2" of a service
    When <change>
    And the registry waits 5000 ms
    And 12 more servers leave
    Then a peer that hears its announcements for 2 heartbeats sends nothing to "s1"

    Examples:
      | change                                                             |
      | "s1" is listed as draining                                         |
      | the entry of "s1" vanishes                                         |
      | a listing of revision 20 shows "s1" as draining                    |
      | a peer reports that "s1" left at revision 20                       |
      | the store is unavailable for 5000 ms and the entry of "s1" expires |

  Scenario: A server whose entry vanishes while the store is available is removed
    Given servers "s1, s2" of a service
    When the entry of "s1" vanishes
    Then the ready servers are "s2"

  Scenario: Servers whose entries expire in an outage are kept for the grace period
    Given servers "s1, s2" of a service
    When the store is unavailable for 5000 ms and the entry of "s1" expires
    Then the ready servers are "s1, s2"
    When the registry waits 2400 ms
    Then the ready servers are "s2"

  Scenario: A server that was removed while the store refused this daemon gets no requests
    Given servers "s1, s2, s3" of a service
    And a request that is assigned to "s1"
    When the store is unavailable for 5000 ms and the entry of "s1" expires
    Then the ready servers are "s2, s3"
    And the request may not be sent to "s1" anymore

  Scenario: Peers that the store serves tell a refused daemon which server was removed
    Given servers "s1, s2" of a service
    And a peer that the store serves
    When the store begins to refuse this daemon
    And the entry of "s1" vanishes for the peer
    And 2500 ms pass for both
    Then the ready servers are "s2"

  Scenario Outline: A peer confirms a removal only if the store served it since then
    Given servers "s1, s2" of a service
    And a peer that the store serves
    When the store begins to refuse this daemon
    And the entry of "s1" vanishes for the peer
    And <event>
    Then the ready servers are "s1, s2"

    Examples:
      | event                                                                |
      | 1000 ms pass for both                                                |
      | the store begins to refuse the peer, and 2500 ms pass for both       |
      | "s1" registers again at the peer after 1000 ms, and 2500 ms pass for both |

  Scenario: A server that registers again after an outage stays usable
    Given servers "s1, s2" of a service
    When the store is unavailable for 5000 ms and the entry of "s1" expires
    And the registry waits 1500 ms
    And "s1" registers again
    And the registry waits 3000 ms
    Then the ready servers are "s1, s2"

  Scenario: A server that drains after the store came back from a copy gets no requests
    Given servers "s1, s2" of a service
    And "s1" was written at revision 82
    When the store comes back from a copy of revision 50
    And a listing of revision 56 shows "s1" as draining
    Then the ready servers are "s2"

  Scenario: A peer's report of the new era holds before the store was read again
    Given servers "s1, s2" of a service
    And "s1" was written at revision 82
    When a peer of the next era reports that "s1" left at revision 56
    Then the ready servers are "s2"

  Scenario Outline: A server that left before the drill does not come back with the copy
    Given servers "s1, s2" of a service that started at 5000
    When <left>
    And the store comes back from a copy of revision 9
    And the copy of "s1" with revision 1 is listed as ready
    And the registry waits 3000 ms
    Then the ready servers are "s2"

    Examples:
      | left                                  |
      | "s1" is listed as draining            |
      | a peer reports that "s1" is draining  |
      | the entry of "s1" vanishes            |

  Scenario: A daemon that was born after the drill hears that a server left before it
    Given servers "s1, s2" of a service that started at 5000
    When the store comes back from a copy of revision 9
    And the copy of "s1" with revision 1 is listed as ready
    And a peer of the era before reports that "s1" left at revision 12
    Then the ready servers are "s2"

  Scenario: A server that drained does not take requests again in the same lifetime
    Given servers "s1, s2" of a service that started at 5000
    When "s1" is listed as draining
    And the store comes back from a copy of revision 9
    And the copy of "s1" with revision 40 is listed as ready
    Then the ready servers are "s2"
    When "s1" restarts under the same identifier
    Then the ready servers are "s1, s2"

  Scenario: A server that was removed and wrote again after the drill gets requests
    Given servers "s1, s2" of a service that started at 5000
    When the entry of "s1" vanishes
    And the store comes back from a copy of revision 9
    And the copy of "s1" with revision 40 is listed as ready
    Then the ready servers are "s1, s2"

  Scenario: The copy of an entry from before a restart does not replace the newer one
    Given servers "s1, s2" of a service that started at 5000
    When "s1" restarts under the same identifier
    And the store comes back from a copy of revision 9
    And the copy of "s1" with revision 1 is listed as ready
    Then "s1" is known to have started at 6000

  Scenario: Servers whose entries were lost in the drill are kept until they write again
    Given servers "s1, s2" of a service
    And "s1" was written at revision 82
    When the store comes back from a copy of revision 50 without "s1"
    Then the ready servers are "s1, s2"
    When the registry waits 2400 ms
    Then the ready servers are "s2"

  Scenario: A server that said that it leaves is not used although its entry says ready
    Given servers "s1, s2" of a service that started at 5000
    When "s1" says in an answer that it leaves
    And "s1" is listed again as ready after 1000 ms
    Then the ready servers are "s2"
    When "s1" is listed again as ready after 70000 ms
    Then the ready servers are "s2"
    When "s1" restarts under the same identifier
    Then the ready servers are "s1, s2"

  Scenario: A daemon that the store does not answer hears what a server said to a peer
    Given servers "s1, s2" of a service that started at 5000
    And a peer that the store serves
    When the store begins to refuse this daemon
    And "s1" says to the peer that it leaves
    And 200 ms pass for both
    Then the ready servers are "s2"
    When "s1" is listed again as ready after 1000 ms
    Then the ready servers are "s2"

  Scenario: What a server said before its restart does not count after it
    Given servers "s1, s2" of a service that started at 5000
    And a request that is assigned to "s1"
    When "s1" restarts under the same identifier
    And the answer to the request says that "s1" leaves
    Then the ready servers are "s1, s2"

  Scenario: A server that wants nothing for a while gets requests after it, or after its restart
    Given servers "s1, s2" of a service that started at 5000
    When "s1" wants nothing for 3000 ms
    And "s1" is listed again as ready after 1000 ms
    Then the ready servers are "s2"
    When the registry waits 2100 ms
    Then the ready servers are "s1, s2"
    When "s1" wants nothing for 3000 ms
    And "s1" restarts under the same identifier
    Then the ready servers are "s1, s2"

  Scenario: A server that wants nothing for a while is used again during an outage of the store
    Given servers "s1, s2" of a service that started at 5000
    When the store begins to refuse this daemon
    And "s1" wants nothing for 3000 ms
    Then the ready servers are "s2"
    When the registry waits 3100 ms
    Then the ready servers are "s1, s2"

  Scenario: A server whose address belongs to another process gets no requests
    Given servers "s1, s2" of a service
    When another server answers a request at the address of "s1"
    Then the ready servers are "s2"
    When "s1" registers at a new address
    Then the ready servers are "s1, s2"

  Scenario Outline: A server that was chosen before a change gets no requests after it
    Given servers "s1, s2" of a service
    And a request that is assigned to "s1"
    When <change>
    Then the request may not be sent to "s1" anymore

    Examples:
      | change                                                  |
      | "s1" is listed as draining                              |
      | "s1" restarts under the same identifier                 |
      | the entry of "s1" vanishes                              |
      | another server answers a request at the address of "s1" |
      | "s1" registers at a new address                         |

  Scenario: Servers of an unreachable domain get no requests until it is reachable again
    Given servers "s1, s2" of a service
    When the domain of "s1" is unreachable
    Then the ready servers are "s2"
    When all domains are reachable
    Then the ready servers are "s1, s2"

  Scenario: Of equal servers the one with the fewest requests in flight is chosen
    Given servers "s1, s2" of a service
    When "s1" has 3 requests in flight from this daemon
    Then "s2" is chosen
    When a peer reports 9 requests in flight at "s2"
    Then "s1" is chosen

  Scenario: A server that fails requests is avoided although it is idle
    Given servers "s1, s2" of a service
    When "s1" fails 3 requests
    And "s2" has 1 requests in flight from this daemon
    Then "s2" is chosen
