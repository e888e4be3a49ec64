@fleet @relayed
Feature: Daemons keep serving when the network between them is partitioned

  Guards against orders that run more than once, changes that don't arrive and requests
  that fail while no daemon can reach another one.  The daemons' connections go through
  relays, which stop passing data during the partition.

  Scenario: Copies of an order sent through daemons that can't reach each other
    When the network between all daemons is partitioned
    And every daemon sees only itself as alive
    And 9 copies of order "a" are sent through all daemons at once
    Then every copy of order "a" has the right answer or may have run
    And order "a" ran 1 time

  Scenario: A partition while claims are forwarded
    When the network between all daemons is partitioned
    And 12 copies of order "a" are sent through all daemons at once
    Then order "a" ran at most once
    When order "b" is sent through entry-1
    Then the order is answered
    And order "b" ran 1 time

  Scenario: A configuration change reaches daemons that can't reach each other
    When the network between all daemons is partitioned
    And every daemon sees only itself as alive
    And alice changes the share of "technicians" to 17 through entry-2
    Then every daemon has the share of "technicians" at 17

  Scenario: Daemons find each other again after a partition
    When the network between all daemons is partitioned
    And every daemon sees only itself as alive
    And the network partition heals
    Then entry-1 sees entry-3 as alive within 10000 ms
    And entry-3 sees entry-2 as alive within 10000 ms

  Scenario: A daemon cut off from its peers and from the platform serves streams and refuses orders
    When the network between all daemons is partitioned
    Given the key-value service is down
    And the VM list is down
    When diagnosis "alone" is streamed through entry-2
    Then the stream is complete and has the expected tokens
    When order "c" is sent through entry-2
    Then the request is refused as "not-run" because of "platform-unavailable"
    And order "c" ran 0 times
