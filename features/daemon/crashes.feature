@fleet
Feature: A request that crashes upstreams is quarantined after two crashes

  Guards against a request that crashes every upstream that receives it.  Retried by
  daemons and repeated by its caller through other daemons, it could take down a pool.

  Scenario: A request repeated through every daemon crashes only two upstreams
    Given four additional engines
    And the upstreams of "engines" crash on the poison request
    When the poison request is streamed through entry-1
    And the poison request is streamed through entry-2
    And the poison request is streamed through entry-3
    Then the request is refused because of "quarantined"
    And 2 upstreams of "engines" crashed

  Scenario: Concurrent requests are answered while upstreams crash
    Given four additional engines
    And the upstreams of "engines" take 200 ms more
    And the upstreams of "engines" crash on the poison request
    When 12 diagnoses are streamed through all daemons in the background
    And the poison request is streamed through entry-1
    And all diagnoses have ended
    Then every diagnosis is complete
    And at most 2 upstreams of "engines" crashed
