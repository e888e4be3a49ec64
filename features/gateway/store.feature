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
