@fleet
Feature: Configuration and orders over a store that comes back from an older copy

  Guards against a confirmed change that is no longer in force, and against an order that
  runs again since its claim is lost.  Daemons, key-value service and upstreams run as
  processes.

  Scenario: A confirmed change stays in force, also in daemons that start afterwards
    Given the key-value service is copied
    When alice changes the share of "technicians" to 21 through entry-1
    Then every daemon has the share of "technicians" at 21
    When the key-value service comes back from the copy after 500 ms
    And entry-3 is killed
    And entry-3 is started again
    Then every daemon has the share of "technicians" at 21
    When alice changes the share of "warehouse" to 8 through entry-2
    Then every daemon has the share of "warehouse" at 8
    And every daemon has the share of "technicians" at 21

  Scenario: A change is in force in a daemon that was paused over the drill
    Given the key-value service is copied
    When alice changes the share of "technicians" to 22 through entry-1
    Then every daemon has the share of "technicians" at 22
    When entry-3 is paused
    And the key-value service comes back from the copy after 500 ms
    And alice changes the share of "warehouse" to 9 through entry-2
    And entry-3 resumes
    Then every daemon has the share of "warehouse" at 9
    And every daemon has the share of "technicians" at 22

  Scenario Outline: An order whose claim the store lost does not run again
    Given the key-value service is copied
    When order "<order>" is sent through entry-1
    Then the order is answered
    When the key-value service comes back from the copy after <ms> ms
    And order "<order>" is sent through <daemon>
    Then order "<order>" ran 1 time

    Examples:
      | order | ms  | daemon  |
      | d1    | 500 | entry-1 |
      | d2    | 500 | entry-2 |
      | d3    | 50  | entry-1 |
      | d4    | 50  | entry-3 |

  Scenario: New orders run after a drill
    Given the key-value service is copied
    When the key-value service comes back from the copy after 500 ms
    And 1500 ms pass
    And order "after the drill" is sent through entry-2 until it is answered
    Then order "after the drill" ran 1 time

  Scenario: Copies of orders that are sent while the store comes back again and again
    When 40 orders are sent in 3 copies each during drills, seed 7
    Then each of these orders ran at most once
    And orders ran during the drills
