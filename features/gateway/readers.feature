Feature: Reading of the store in large fleets

  Guards against calls to the store that grow with the fleet, and against daemons that
  miss changes, or do without the store, when the daemon that reads it for them is lost,
  refused or slow.  Also against a document that each daemon reads from the store over a
  thin link, and against a follower that applies a difference to another document, skips
  other changes or knows a revision whose document it has not applied.

  Background:
    Given 8 daemons of one failure domain in a large fleet, and a store that changes every 100 ms

  Scenario: One daemon reads the store for its failure domain
    When they run for 3000 ms
    Then in the last 1000 ms the store was called at most 14 times
    And every daemon knows each change of the store after at most 300 ms

  Scenario: Changes that were lost on the way are read from the store
    When a quarter of the messages is lost
    And they run for 3000 ms
    Then every daemon knows each change of the store after at most 1000 ms

  Scenario Outline: Without its reader each daemon reads the store itself
    When they run for 2000 ms
    And the reader <fault>
    And they run for 3000 ms
    Then every other daemon knows each change of the store after at most 2800 ms
    And in the last 300 ms every other daemon knew each change after at most 300 ms

    Examples:
      | fault                   |
      | stands still            |
      | is refused by the store |
      | hears nothing new       |

  Scenario: Followers keep servers whose entries expired in an outage that the reader saw
    When they run for 2000 ms
    And the store is away for 1000 ms and loses the entries of all servers in it
    Then every daemon still has its servers 500 ms after the store's return

  Scenario: Followers read the store again once it is in a later era
    When they run for 2000 ms
    And the store comes back in a later era
    And they run for 2500 ms
    Then every daemon is in the later era

  Scenario: A daemon that the store refuses follows the reader
    When the store refuses all daemons but the reader after their first listing
    And they run for 3000 ms
    Then in the last 1000 ms every daemon knew each change after at most 300 ms
    And in the last 1000 ms the store was called at most 14 times

  Scenario Outline: Followers get a new document from the reader, not from the store
    Given the store has a document of 600 routes
    When they run for 2000 ms
    And the operator writes version 2 with <changed> other routes
    Then after 500 ms all daemons have the operator's document
    And only the reader has read it from the store

    Examples:
      | changed |
      | 1       |
      | 500     |

  Scenario: Documents that follow each other while the first one is fetched
    Given the store has a document of 600 routes
    And it takes 120 ms to fetch a document
    When they run for 2000 ms
    And the operator writes version 2 with 500 other routes
    And they run for 100 ms
    And the operator writes version 3 with 1 other routes
    Then after 800 ms all daemons have the operator's document

  Scenario: An older version that is written again doesn't replace a newer one
    Given the store has a document of 600 routes
    When they run for 2000 ms
    And the operator writes version 1 with 0 other routes
    And the operator writes version 2 with 1 other routes
    And they run for 300 ms
    And the operator writes version 1 with 0 other routes
    And they run for 300 ms
    And the operator writes version 3 with 2 other routes
    Then after 500 ms all daemons have the operator's document
    And only the reader has read it from the store

  Scenario: Followers apply the document after one with a value of a wrong type
    Given the store has a document of 600 routes
    When they run for 2000 ms
    And the operator writes version 2 with the teams null
    And they run for 300 ms
    And the operator writes version 3 with 1 other routes
    Then after 500 ms all daemons have the operator's document
    And only the reader has read it from the store

  Scenario: Followers get an empty list of teams from the reader
    Given the store has a document of 600 routes
    When they run for 2000 ms
    And the operator writes version 2 with the teams []
    Then after 500 ms all daemons have the operator's document
    And only the reader has read it from the store
    And no daemon accepts a key, or a request without one

  Scenario: A follower that lost the news of a document fetches it from the reader
    Given the store has a document of 600 routes
    And the reader sends a message every 10 ms
    When they run for 2000 ms
    And the next news of a document are lost
    And the operator writes version 2 with 1 other routes
    Then after 500 ms all daemons have the operator's document
    And only the reader has read it from the store

  Scenario: A follower with another document fetches the reader's
    Given the store has a document of 600 routes
    When they run for 2000 ms
    And half of the followers have another document of version 2
    And the operator writes version 3 with 1 other routes
    Then after 500 ms all daemons have the operator's document
    And only the reader has read it from the store

  Scenario Outline: The store is read if the reader's document can't be fetched
    Given the store has a document of 600 routes
    And a peer that is asked for its document <fault>
    When they run for 2000 ms
    And the operator writes version 2 with 500 other routes
    And all servers are removed at once with it
    Then 200 ms later no daemon has a server, and followers know no later revision
    And after 1800 ms all daemons have the operator's document
    And all daemons have read it from the store

    Examples:
      | fault     |
      | is silent |

  Scenario: A fetched document that differs from the operator's is not applied
    Given the store has a document of 600 routes
    And a peer that is asked for its document sends another document
    When they run for 2000 ms
    And the operator writes version 2 with 500 other routes
    Then after 2000 ms all daemons have the operator's document
    And all daemons have read it from the store

  Scenario: Daemons of the version before still get all documents
    Then an older daemon gets news with a gap instead of a digest
    And an older daemon gets the document as it is
