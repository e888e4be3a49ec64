@fleet
Feature: Only known daemons take part

  Scenario: A message without a certificate of the fleet changes nothing
    When a stranger without a certificate sends a digest to entry-1
    Then the stranger gets no answer
    And entry-1 knows 3 daemons

  Scenario: A message with a certificate of another authority changes nothing
    When a stranger with a foreign certificate sends a digest to entry-1
    Then the stranger gets no answer
    And entry-1 knows 3 daemons

  Scenario: A daemon of the fleet can't unbalance another one with a faulty digest
    When a member sends a digest with lists of different lengths to entry-1
    Then the stranger gets no answer
    And entry-1 knows 3 daemons

  Scenario: A silent daemon is suspected, then forgotten, and welcomed back
    When entry-3 is frozen
    Then entry-1 holds entry-3 for suspect within 6000 ms
    When entry-3 wakes up
    Then entry-1 holds entry-3 for alive within 6000 ms
