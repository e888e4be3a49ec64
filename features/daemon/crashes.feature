@fleet
Feature: A request that crashes upstreams stops after two, and spares the others

  Scenario: The caller tries every daemon, and no more than two upstreams crash
    Given four more engines
    And the upstreams of "engines" crash on "token-of-poison"
    When the poisonous diagnosis is streamed through entry-1
    And the poisonous diagnosis is streamed through entry-2
    And the poisonous diagnosis is streamed through entry-3
    Then the request is refused because of "quarantined"
    And 2 upstreams of "engines" crashed

  Scenario: Those beside it are answered
    Given four more engines
    And the upstreams of "engines" take 200 ms more
    And the upstreams of "engines" crash on "token-of-poison"
    When 12 diagnoses are streamed through all daemons in the background
    And the poisonous diagnosis is streamed through entry-1
    And all diagnoses have come
    Then every diagnosis is whole
    And at most 2 upstreams of "engines" crashed
