@fleet @relayed
Feature: Daemons that are cut off from each other go on serving

  Scenario: Copies of an order through daemons that can't reach each other
    When all daemons are cut off from each other
    And every daemon holds the others for gone
    And 9 copies of order "a" are sent through all daemons at once
    Then every copy of order "a" has an honest answer
    And order "a" ran 1 time

  Scenario: A cut in the middle of forwarded claims
    When all daemons are cut off from each other
    And 12 copies of order "a" are sent through all daemons at once
    Then order "a" ran at most once
    When order "b" is sent through entry-1
    Then the order is answered
    And order "b" ran 1 time

  Scenario: A change reaches daemons that can't reach each other
    When all daemons are cut off from each other
    And every daemon holds the others for gone
    And alice changes the share of "technicians" to 17 through entry-2
    Then every daemon has the share of "technicians" at 17

  Scenario: After the cut the daemons find each other again
    When all daemons are cut off from each other
    And every daemon holds the others for gone
    And the cut is over
    Then entry-1 holds entry-3 for alive within 10000 ms
    And entry-3 holds entry-2 for alive within 10000 ms

  Scenario: A daemon cut off from its peers and from the platform serves what it can
    When all daemons are cut off from each other
    Given the key-value service is down
    And the VM list is down
    When diagnosis "alone" is streamed through entry-2
    Then the stream is whole and its own
    When order "c" is sent through entry-2
    Then the request is refused as "not-run" because of "platform-unavailable"
    And order "c" ran 0 times
