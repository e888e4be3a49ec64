@fleet
Feature: A configuration, once accepted, is in force everywhere and never reverts

  Scenario: A stored change is in force in every daemon
    When alice changes the share of "technicians" to 7 through entry-1
    Then the command exits with 0 and says "in force in every live daemon"
    And every daemon has the share of "technicians" at 7

  Scenario: Two operators race, and the loser is told and named
    Given the revision in force is noted
    When alice changes the share of "warehouse" to 4 through entry-1
    And bruno changes the share of "warehouse" to 5 through entry-2 on the noted revision
    Then the command exits with 4 and says "alice"
    And every daemon has the share of "warehouse" at 4
    And the audit trail names "alice" for the last change
    And the audit trail names "bruno" as the loser of a race

  Scenario: The answer of the write that moved the root is lost
    Given the key-value service loses the answers of the next 4 writes
    When alice changes the share of "dispatchers" to 9 through entry-1
    Then the command exits with 0 and says "in force in every live daemon"
    And every daemon has the share of "dispatchers" at 9
    And the audit trail holds each revision once

  Scenario: In an outage nothing is stored, and the operator is told so
    Given the key-value service is down
    When alice changes the share of "warehouse" to 8 through entry-1
    Then the command exits with 5 and says "unavailable"

  Scenario: A faulty document is refused before anything is stored
    Given the revision in force is noted
    When alice changes the share of "warehouse" to 0 through entry-1
    Then the command exits with 2 and says "at least 1"
    And the revision in force is the noted one

  Scenario: The number of order logs can't be changed under live orders
    When alice changes the number of order logs to 32 through entry-1
    Then the command exits with 2 and says "can't change"

  Scenario: A frozen daemon is named as pending, and catches up when it wakes
    When entry-3 is frozen
    And alice changes the share of "technicians" to 11 through entry-1
    Then the command exits with 3 and says "entry-3"
    When entry-3 wakes up
    Then every daemon has the share of "technicians" at 11

  Scenario: A daemon born in an outage learns settings and upstreams from its peers
    When alice changes the share of "technicians" to 13 through entry-1
    And entry-3 is killed
    Given the key-value service is down
    And the VM list is down
    When entry-3 is started again
    Then every daemon has the share of "technicians" at 13
    When diagnosis "born in an outage" is streamed through entry-3
    Then the stream is complete and has the expected tokens

  Scenario: A stranger changes nothing
    Given the revision in force is noted
    When a stranger changes the share of "warehouse" to 9 through entry-1
    Then the command exits with 1 and says "not known"
    And the revision in force is the noted one
