Feature: A daemon applies only newer, valid configurations

  Configurations reach a daemon from the key-value store and from its peers, in any
  order. If an older one were applied, the settings would revert; if an invalid one were
  applied, the daemon would lose its working settings.

  Scenario: A newer configuration is applied and passed to the listeners
    Given a daemon with configuration 5 in force
    When it is offered configuration 6
    Then configuration 6 is in force and listeners were called once

  Scenario Outline: A configuration that is not newer is refused
    Given a daemon with configuration 5 in force
    When it is offered configuration <offered>
    Then configuration 5 is in force and no listener was called
    And one configuration was refused as older

    Examples:
      | offered |
      | 4       |
      | 5       |
      | 1       |

  Scenario: An invalid configuration is not applied
    Given a daemon with configuration 5 in force
    When it is offered configuration 6 with a team that violates the schema
    Then configuration 5 is in force and no listener was called

  Scenario: Only a higher revision of a peer counts as newer
    Given a daemon with configuration 5 in force
    Then a peer's configuration 6 is newer and neither 5 nor 4 is

  Scenario: An older root in the store is not applied
    Given a daemon with configuration 5 in force
    When the store's root has configuration 4
    Then configuration 5 is in force and no value was read

  Scenario Outline: A change has a revision above those that the store may have lost
    Given a root with revision <current>, stored in era <made>
    When a change is planned in era <era>
    Then its revision is <revision>

    Examples:
      | current | made | era | revision |
      | 0       | 0    | 0   | 1        |
      | 0       | 0    | 1   | 1        |
      | 0       | 0    | 2   | 100001   |
      | 4       | 0    | 0   | 5        |
      | 4       | 1    | 1   | 5        |
      | 4       | 1    | 2   | 100005   |
      | 4       | 1    | 3   | 200005   |

  Scenario Outline: The root is read again if a peer's configuration is not in the store
    Given a daemon with configuration 5 in force
    When it watches a root with configuration <root> that does not change
    Then it reads the root <frequency>

    Examples:
      | root | frequency |
      | 4    | again     |
      | 5    | once      |

  Scenario: A confirmed change that the store lost in a drill stays in force everywhere
    Given a store with configuration A, a copy of it, and two daemons
    When an operator stores configuration B, and the store comes back from the copy
    Then within 1500 ms a daemon that starts has configuration B
    And the two daemons had no other configuration after B

  Scenario: A change after a drill is in force in daemons that had a lost one
    Given a store with configuration A, a copy of it, and two daemons
    When an operator stores configuration B, and the store comes back from the copy
    And an operator stores configuration C
    Then within 1500 ms a daemon that starts has configuration C
    And the two daemons have configuration C in force

  Scenario: The audit trail says which change was stored again after a drill
    Given a store with configuration A, a copy of it, and two daemons
    When an operator stores configuration B, and the store comes back from the copy
    Then within 1500 ms the audit trail ends with a change by "cowsliphitch"

  Scenario: A change whose values the store lost before its root was written is complete
    Given a store with configuration A, a copy of it, and two daemons
    When an operator stores configuration B, and the store comes back before its root is written
    Then within 1500 ms a daemon that starts has configuration B
    And the two daemons have configuration B in force

  Scenario: A stored change is confirmed although another one followed after a drill
    Given a store with configuration A, a copy of it, and two daemons
    When the answer to configuration B is lost, and C follows it after a drill
    Then configuration B is reported as stored

  Scenario: A watch whose history was discarded does not read the root again and again
    Given a store with configuration A, a copy of it, and two daemons
    When other keys are written and the history of the store is discarded
    Then within 500 ms each daemon calls the store at most 3 times

  Scenario: A lost change is in force again although the store was away for a moment only
    Given a store with configuration A, a copy of it, and two daemons
    When an operator stores configuration B, the store comes back at once, and others write as much as it lost
    Then within 1500 ms a daemon that starts has configuration B

  Scenario: The only change is in force again after the store came back without any
    Given a copy of a store without a configuration, then configuration A, and two daemons
    When an operator stores configuration B, and the store comes back from the copy
    Then within 1500 ms a daemon that starts has configuration B
    And the two daemons had no other configuration after B

  Scenario: A confirmed change that the store lost before any daemon read it is in force
    Given a store with configuration A, a copy of it, and two daemons that do not watch it
    When one of them stores configuration B, and the store comes back at once
    Then within 5000 ms a daemon that starts has configuration B

  Scenario: A change after two drills is in force in daemons that had lost ones
    Given a store with configuration A, a copy of it, and two daemons
    When an operator stores configuration B, and the store comes back from the copy
    And an operator stores configuration C, and the store comes back from the copy again
    And an operator stores configuration D
    Then within 1500 ms a daemon that starts has configuration D
    And the two daemons have configuration D in force
