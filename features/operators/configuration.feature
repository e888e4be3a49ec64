@fleet
Feature: A stored configuration comes into force in every daemon and never reverts

  A change can be lost or reported wrongly: by concurrent changes, by a lost answer of
  the key-value store, or in a daemon that was paused or restarted meanwhile. The
  command must then report the actual outcome.

  Scenario: A stored change comes into force in every daemon
    When alice changes the share of "technicians" to 7 through entry-1
    Then the command exits with 0 and says "in force in every live daemon"
    And every daemon has the share of "technicians" at 7

  Scenario: Of two concurrent changes one is rejected, and both are in the audit trail
    Given the revision in force is recorded
    When alice changes the share of "warehouse" to 4 through entry-1
    And bruno changes the share of "warehouse" to 5 through entry-2 on the recorded revision
    Then the command exits with 4 and says "alice"
    And every daemon has the share of "warehouse" at 4
    And the audit trail has "alice" for the last change
    And the audit trail has "bruno" as rejected

  Scenario: The answer to the write of the root is lost
    Given the key-value service loses the answers of the next 4 writes
    When alice changes the share of "dispatchers" to 9 through entry-1
    Then the command exits with 0 and says "in force in every live daemon"
    And every daemon has the share of "dispatchers" at 9
    And the audit trail holds each revision once

  Scenario: During a store outage nothing is stored, and the command reports it
    Given the key-value service is down
    When alice changes the share of "warehouse" to 8 through entry-1
    Then the command exits with 5 and says "unavailable"

  Scenario: An invalid document is rejected before anything is stored
    Given the revision in force is recorded
    When alice changes the share of "warehouse" to 0 through entry-1
    Then the command exits with 2 and says "at least 1"
    And the revision in force is the recorded one

  Scenario: The number of order logs can't be changed, so claims are still found
    When alice changes the number of order logs to 32 through entry-1
    Then the command exits with 2 and says "can't change"

  Scenario: A paused daemon is reported as pending, and catches up when it resumes
    When entry-3 is frozen
    And alice changes the share of "technicians" to 11 through entry-1
    Then the command exits with 3 and says "entry-3"
    When entry-3 wakes up
    Then every daemon has the share of "technicians" at 11

  Scenario: A daemon started in an outage gets settings and upstreams from its peers
    When alice changes the share of "technicians" to 13 through entry-1
    And entry-3 is killed
    Given the key-value service is down
    And the VM list is down
    When entry-3 is started again
    Then every daemon has the share of "technicians" at 13
    When diagnosis "started in an outage" is streamed through entry-3
    Then the stream is complete and has the expected tokens

  Scenario: A change with an unknown token is rejected
    Given the revision in force is recorded
    When someone with an unknown token changes the share of "warehouse" to 9 through entry-1
    Then the command exits with 1 and says "not known"
    And the revision in force is the recorded one
