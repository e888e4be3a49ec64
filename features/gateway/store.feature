Feature: Reading of the store

  Guards against calls to the store that grow with the square of the fleet: each change of
  any key lets the watches of all daemons return, and the store refuses calls beyond its
  rate.

  Scenario Outline: The watches of all daemons together are bounded however often keys change
    Given a daemon among <daemons> whose store has a change for every watch
    When it reads the store for 1000 ms
    Then all daemons together watch at most 450 times a second
    And it has read the last change at most 300 ms ago

    Examples:
      | daemons |
      | 9       |
      | 87      |

  Scenario: A daemon of a large fleet calls the store once for each change
    Given a daemon among 87 and a store in which a key changes every 400 ms
    When it reads this store for 4000 ms
    Then it has watched at most 13 times

  Scenario: A daemon that waits for changes learns of a later era from a peer
    Given a daemon whose watch waits, and a peer that knows era 2 of the store
    When the peer sends heartbeats
    Then within 1000 ms the daemon has listed the store in era 2
    And it has listed the store 2 times

  Scenario: A peer whose era the store does not confirm leads to one listing
    Given a daemon whose watch waits, and a peer that knows era 3 of the store
    When the peer sends heartbeats
    Then within 1000 ms the daemon has listed the store in era 2
    And it has listed the store 2 times

  Scenario Outline: A lease of an earlier era is neither renewed nor ended
    Given a store whose client holds a lease
    When the store comes back from a copy that <has>
    Then the client takes its lease for expired, and the other lease lasts

    Examples:
      | has                                   |
      | lacks the lease                       |
      | gave its identifier to another daemon |

  Scenario: A watch from a revision that was given out again does not wait for a change
    Given a client that watches a store
    When the store comes back and gives out revisions up to the client's again
    Then within 1 s the client learns that the store was restored

  Scenario: A write that expects a revision of an earlier era is not applied
    Given a store whose client has read a key
    When the store comes back from a copy, and another client writes the key at the same revision
    Then the client's write is refused

  Scenario Outline: The fencing token of a later holder is higher, whatever its lease's identifier
    Given a daemon that holds a duty
    When <event>, and another daemon takes the duty with a lease of a lower identifier
    Then the fencing token of the second holder is higher

    Examples:
      | event                           |
      | its lease ends                  |
      | the store comes back from a copy |

  Scenario: A daemon notices the return of a store that left its calls without an answer
    Given a store that answers no call for 1500 ms
    When a daemon reads it
    Then the daemon has noticed its return within 300 ms
