Feature: The configuration in force in one daemon

  Scenario: A newer configuration is put in force and told to all who listen
    Given a daemon with configuration 5 in force
    When it is offered configuration 6
    Then configuration 6 is in force and was told once

  Scenario Outline: A configuration that is not newer is refused, from whomever it comes
    Given a daemon with configuration 5 in force
    When it is offered configuration <offered>
    Then configuration 5 is in force and nothing was told
    And one configuration was refused as older

    Examples:
      | offered |
      | 4       |
      | 5       |
      | 1       |

  Scenario: A configuration that is not valid leaves the one in force
    Given a daemon with configuration 5 in force
    When it is offered configuration 6 with a team that breaks the schema
    Then configuration 5 is in force and nothing was told

  Scenario: Only a newer revision of a peer is asked for
    Given a daemon with configuration 5 in force
    Then it wants a peer's configuration 6 and neither 5 nor 4

  Scenario: The store's older root is not followed
    Given a daemon with configuration 5 in force
    When the store's root names configuration 4
    Then configuration 5 is in force and no value was read
