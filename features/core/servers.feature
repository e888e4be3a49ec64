Feature: Which servers may be used

  Scenario: A draining server gets nothing from the moment that it is known
    Given servers "s1, s2" of a service
    When "s1" is listed as draining
    Then the ready servers are "s2"

  Scenario: A server that a peer saw leaving gets nothing either
    Given servers "s1, s2" of a service
    When a peer tells that "s1" is leaving
    Then the ready servers are "s2"

  Scenario: An entry that vanishes while the store answers ends its server
    Given servers "s1, s2" of a service
    When the entry of "s1" vanishes
    Then the ready servers are "s2"

  Scenario: Entries that lapse in an outage are held until live servers are back
    Given servers "s1, s2" of a service
    When the store is away for 5000 ms and the entry of "s1" lapses
    Then the ready servers are "s1, s2"
    When the registry waits 2400 ms
    Then the ready servers are "s2"

  Scenario: A server that registers again after an outage was never left out
    Given servers "s1, s2" of a service
    When the store is away for 5000 ms and the entry of "s1" lapses
    And the registry waits 1500 ms
    And "s1" registers again
    And the registry waits 3000 ms
    Then the ready servers are "s1, s2"

  Scenario: A server whose address belongs to another process is left out
    Given servers "s1, s2" of a service
    When a request finds another server at the address of "s1"
    Then the ready servers are "s2"
    When "s1" registers at a new address
    Then the ready servers are "s1, s2"

  Scenario Outline: A server that was chosen before the news gets nothing after it
    Given servers "s1, s2" of a service
    And a request that was given "s1"
    When <news>
    Then the request may not go to "s1" any more

    Examples:
      | news                                                     |
      | "s1" is listed as draining                               |
      | "s1" starts again under the same identifier              |
      | the entry of "s1" vanishes                               |
      | a request finds another server at the address of "s1"    |
      | "s1" registers at a new address                          |

  Scenario: Servers of a domain that is cut off are left out, not forgotten
    Given servers "s1, s2" of a service
    When the domain of "s1" is cut off
    Then the ready servers are "s2"
    When no domain is cut off
    Then the ready servers are "s1, s2"

  Scenario: Of servers that are alike the one with the fewest requests is chosen
    Given servers "s1, s2" of a service
    When "s1" has 3 requests of this daemon
    Then "s2" is chosen
    When a peer says that it has 9 requests at "s2"
    Then "s1" is chosen

  Scenario: A server that fails requests is avoided although it is free
    Given servers "s1, s2" of a service
    When "s1" fails 3 requests
    And "s2" has 1 requests of this daemon
    Then "s2" is chosen
