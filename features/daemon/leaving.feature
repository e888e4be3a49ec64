@fleet
Feature: Upstreams and daemons shut down without losing requests

  Guards against requests that are sent to an upstream that is shutting down, streams
  that a stopping daemon cuts off, and outcomes of orders that it does not write before
  it exits.

  Scenario: An upstream that the platform lists as leaving gets no new requests
    When the platform lists "encoders-1" as leaving
    And entry-1 reports within 3000 ms that "encoders-1" is leaving
    And entry-2 reports within 3000 ms that "encoders-1" is leaving
    And entry-3 reports within 3000 ms that "encoders-1" is leaving
    And the requests that "encoders-1" ran are counted
    And 9 diagnoses are streamed through all daemons at once
    Then "encoders-1" ran no further requests
    And every diagnosis is complete

  Scenario: A daemon without access to the VM list learns from peers that an upstream is leaving
    Given only entry-1 can read the VM list
    When the platform lists "encoders-2" as leaving
    Then entry-2 reports within 4000 ms that "encoders-2" is leaving
    And entry-3 reports within 4000 ms that "encoders-2" is leaving

  Scenario: A daemon that is stopped under load completes its requests in flight
    Given the upstreams of "engines" take 200 ms more
    When 12 diagnoses are streamed through all daemons in the background
    And every diagnosis has started
    And entry-2 receives SIGTERM
    And all diagnoses have ended
    Then entry-2 exits with 0
    And every diagnosis is complete

  Scenario: A rolling restart of all daemons under load loses no request
    When load is sent to the ready daemons
    And every daemon is restarted in turn
    And the load is stopped
    Then every request of the load got a complete answer

  Scenario: The outcome of an order is written before a daemon exits
    When order "a" is sent through entry-1
    And entry-1 receives SIGTERM
    Then entry-1 exits with 0
    When order "a" is sent through entry-2
    Then the order's stored answer is replayed

  Scenario: A daemon that receives SIGTERM again and again exits with 0
    When entry-3 receives SIGTERM every 2 ms until it has ended
    Then entry-3 exits with 0
