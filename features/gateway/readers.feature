Feature: Reading of the store in large fleets

  Guards against calls to the store that grow with the fleet, and against daemons that
  miss changes, or do without the store, when the daemon that reads it for them is lost,
  refused or slow.

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
