@fleet
Feature: An order runs at most once, through any daemon

  Guards against orders that run twice, and against refusals that say an order did not
  run when it may have.  Both can come about when copies arrive at several daemons, and
  when the key-value service, a daemon or an upstream fails or stalls during an order.

  Scenario: A repeat through another daemon gets the stored answer
    When order "a" is sent through entry-1
    Then the order is answered
    When order "a" is sent through entry-2 until it is answered
    Then the order's stored answer is replayed
    And order "a" ran 1 time

  Scenario: Of concurrent copies through all daemons only one runs
    When 12 copies of order "a" are sent through all daemons at once
    Then every copy of order "a" has the right answer or may have run
    And order "a" ran 1 time

  Scenario: A key can't be reused for another order
    When order "a" is sent through entry-1
    And order "a" is sent through entry-2 with the body "something else"
    Then the request is refused as "not-run" because of "idempotency-key-reused"
    And order "a" ran 1 time

  Scenario: Orders are refused during an outage of the key-value service, and run after it
    Given the key-value service is down
    When order "a" is sent through entry-1
    Then the request is refused as "not-run" because of "platform-unavailable"
    And order "a" ran 0 times
    When the key-value service is back
    And order "a" is sent through entry-2 until it is answered
    Then order "a" ran 1 time

  Scenario: During an outage a repeat still gets an answer that the daemon knows
    When order "a" is sent through entry-1
    And order "a" is sent through entry-1 until it is answered
    Given the key-value service is down
    When order "a" is sent through entry-1 until it is answered
    Then the order's stored answer is replayed
    And order "a" ran 1 time

  Scenario: An order runs once when writes are applied but their answers are lost
    Given the key-value service loses the answers of the next 3 writes
    When order "a" is sent through entry-1
    Then the order is answered
    And order "a" ran 1 time

  Scenario: An order runs once when the key-value service is slow
    Given the key-value service answers after 600 ms
    When order "a" is sent through entry-1
    Then the order is answered
    And order "a" ran 1 time

  Scenario: An order runs once when its daemon is paused meanwhile and resumes
    Given the upstreams of "order-desk" take 1500 ms more
    When order "a" is sent through entry-1 in the background
    And order "a" is running
    And entry-1 is frozen
    And order "a" is sent through entry-2
    Then the request is refused as "may-have-run"
    When entry-1 wakes up
    And the answer to order "a" has arrived
    Then order "a" ran 1 time
    When order "a" is sent through entry-3 until it is answered
    Then order "a" ran 1 time

  Scenario: An order is not repeated when its daemon is killed meanwhile
    Given the upstreams of "order-desk" take 1500 ms more
    When order "a" is sent through entry-1 in the background
    And order "a" is running
    And entry-1 is killed
    And order "a" is sent through entry-2
    Then the request is refused as "may-have-run" because of "outcome-unknown"
    And order "a" ran 1 time

  Scenario: An order that was refused before it ran can be sent again
    Given the upstreams of "order-desk" refuse
    When order "a" is sent through entry-1
    Then the request is refused as "not-run"
    And order "a" ran 0 times
    When the upstreams of "order-desk" no longer refuse
    And order "a" is sent through entry-2 until it is answered
    Then order "a" ran 1 time

  Scenario: An order is not repeated when its upstream crashes meanwhile
    Given the upstreams of "order-desk" crash on the text "body of a"
    When order "a" is sent through entry-1
    Then the request is refused as "may-have-run" because of "connection-lost"
    And 1 upstreams of "order-desk" crashed
    When order "a" is sent through entry-2
    Then the request is refused as "may-have-run" because of "outcome-unknown"
    And 1 upstreams of "order-desk" crashed

  Scenario: An order is not repeated when its upstream sends an invalid answer
    Given the upstreams of "order-desk" answer garbage
    When order "a" is sent through entry-1
    Then the request is refused as "may-have-run" because of "invalid-answer"
    When order "a" is sent through entry-2
    Then the request is refused as "may-have-run" because of "outcome-unknown"
    And order "a" ran 1 time
