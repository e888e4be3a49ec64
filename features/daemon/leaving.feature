@fleet
Feature: Upstreams and daemons leave without harm

  Scenario: An upstream that the platform lists as leaving gets nothing new
    When the platform lists "encoders-1" as leaving
    And entry-1 knows within 3000 ms that "encoders-1" is leaving
    And entry-2 knows within 3000 ms that "encoders-1" is leaving
    And entry-3 knows within 3000 ms that "encoders-1" is leaving
    And the runs of "encoders-1" are noted
    And 9 diagnoses are streamed through all daemons at once
    Then "encoders-1" got nothing new
    And every diagnosis is whole

  Scenario: A daemon that is cut off from the VM list learns of a leaving upstream from peers
    Given only entry-1 can read the VM list
    When the platform lists "encoders-2" as leaving
    Then entry-2 knows within 4000 ms that "encoders-2" is leaving
    And entry-3 knows within 4000 ms that "encoders-2" is leaving

  Scenario: A daemon that is told to stop under load cuts off no request
    Given the upstreams of "engines" take 200 ms more
    When 12 diagnoses are streamed through all daemons in the background
    And every diagnosis has begun
    And entry-2 is told to stop
    And all diagnoses have come
    Then entry-2 exits with 0
    And every diagnosis is whole

  Scenario: Rolling replacement of all daemons under load loses nothing
    When load runs through the daemons that are ready
    And every daemon is replaced in turn
    And the load has stopped
    Then every request of the load was answered whole

  Scenario: The outcome of an order is written before a daemon exits
    When order "a" is sent through entry-1
    And entry-1 is told to stop
    Then entry-1 exits with 0
    When order "a" is sent through entry-2
    Then the order's stored answer is replayed
