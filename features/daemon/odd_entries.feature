Feature: Odd entries among those of the servers

  Guards against daemons that end again and again, or stop following the store, because
  of one entry that another writer left there.

  Scenario Outline: Daemons serve and follow the store beside an odd entry
    Given a site with two daemons
    When another writer leaves an entry with <oddity>, and a daemon restarts
    Then both daemons serve requests
    When the server "desk-1" announces that it is draining
    Then within 1000 ms only "desk-2" receives requests

    Examples:
      | oddity                          |
      | 100000 nested lists             |
      | cold_left_ms of 1e400           |
      | born of 10**40                  |
      | a lone surrogate in the zone    |
      | an identifier beyond Latin-1    |

  Scenario: A known server whose entry becomes unreadable gets no requests
    Given a site with two daemons
    When another writer replaces the entry of "desk-1" by one that can't be read
    Then within 1000 ms only "desk-2" receives requests
