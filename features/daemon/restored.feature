Feature: A store that comes back from an older copy

  Guards against views of the store that are taken for newer because their revisions
  are higher.  The store loses what was written since the copy, gives revisions out
  again and names a higher era; the operator and the servers write again.

  Scenario Outline: A server that leaves after the drill receives no new requests
    Given a site with two daemons
    And the store is copied, 40 changes follow, and the servers register again
    When the store comes back from the copy, and the others write again <when>
    And the server "desk-1" announces that it is draining
    Then within 1000 ms only "desk-2" receives requests

    Examples:
      | when  |
      | early |
      | late  |

  Scenario: A daemon that was frozen over the drill sees what happened since
    Given a site with two daemons
    And the store is copied, 40 changes follow, and the servers register again
    When a daemon is frozen while the store comes back, "desk-1" drains and 80 changes follow
    And the daemon goes on after 300 ms
    Then within 1000 ms only "desk-2" receives requests

  Scenario: A server that left before the drill does not come back with the copy
    Given a site with two daemons
    And the store is copied, 40 changes follow, and the servers register again
    When the server "desk-1" announces that it is draining
    And within 1000 ms only "desk-2" receives requests
    And the store comes back from the copy, and the others write again late
    Then within 1000 ms only "desk-2" receives requests

  Scenario: A revoked key stays revoked in every process
    Given a site with two daemons
    And the store is copied, 40 changes follow, and the servers register again
    When the key of the team "red" is revoked
    And within 1500 ms both daemons refuse the key with 401
    And the store comes back from the copy, and the others write again never
    Then for 1500 ms both daemons refuse the key with 401
    When a daemon restarts after the drill
    Then within 1000 ms both daemons refuse the key with 401

  Scenario: A daemon that starts on the copy does not use settings older than its peers'
    Given a site with two daemons
    And the store is copied, 40 changes follow, and the servers register again
    When the key of the team "red" is revoked
    And within 1500 ms both daemons refuse the key with 401
    And the store comes back from the copy, and the others write again never
    And a daemon restarts after the drill
    Then it has had only settings without the key in force

  Scenario: A daemon that starts on the copy does not wait for peers that are frozen
    Given a site with two daemons
    And the store is copied, 40 changes follow, and the servers register again
    When the store comes back from the copy, and the others write again never
    And the other daemon is frozen while a daemon restarts
    Then within 2000 ms it has the settings of the copy in force

  Scenario: A daemon registers again with a lease of the new era
    Given a site with two daemons
    And the store is copied, 40 changes follow, and the servers register again
    When a daemon restarts and registers
    And the store comes back from the copy, and the others write again early
    Then within 2000 ms both daemons are registered again
