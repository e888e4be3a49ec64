@fleet
Feature: An order runs at most once, through any daemon

  Scenario: A repeat through another daemon gets the first answer
    When order "a" is sent through entry-1
    Then the order is answered
    When order "a" is sent through entry-2 until it is answered
    Then the order's stored answer is replayed
    And order "a" ran 1 time

  Scenario: Copies sent through all daemons at once
    When 12 copies of order "a" are sent through all daemons at once
    Then every copy of order "a" has the right answer or may have run
    And order "a" ran 1 time

  Scenario: A key is not taken for another order
    When order "a" is sent through entry-1
    And order "a" is sent through entry-2 with the body "something else"
    Then the request is refused as "not-run" because of "idempotency-key-reused"
    And order "a" ran 1 time

  Scenario: In an outage of the key-value service orders are refused, and run later
    Given the key-value service is down
    When order "a" is sent through entry-1
    Then the request is refused as "not-run" because of "platform-unavailable"
    And order "a" ran 0 times
    When the key-value service is back
    And order "a" is sent through entry-2 until it is answered
    Then order "a" ran 1 time

  Scenario: In an outage a repeat still gets the answer that is known
    When order "a" is sent through entry-1
    And order "a" is sent through entry-1 until it is answered
    Given the key-value service is down
    When order "a" is sent through entry-1 until it is answered
    Then the order's stored answer is replayed
    And order "a" ran 1 time

  Scenario: Writes that took effect although their answers were lost
    Given the key-value service loses the answers of the next 3 writes
    When order "a" is sent through entry-1
    Then the order is answered
    And order "a" ran 1 time

  Scenario: A slow key-value service
    Given the key-value service answers after 600 ms
    When order "a" is sent through entry-1
    Then the order is answered
    And order "a" ran 1 time

  Scenario: A daemon is frozen while its order runs, and wakes up later
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

  Scenario: A daemon is killed while its order runs
    Given the upstreams of "order-desk" take 1500 ms more
    When order "a" is sent through entry-1 in the background
    And order "a" is running
    And entry-1 is killed
    And order "a" is sent through entry-2
    Then the request is refused as "may-have-run" because of "outcome-unknown"
    And order "a" ran 1 time

  Scenario: A refusal before running leaves the key free
    Given the upstreams of "order-desk" refuse
    When order "a" is sent through entry-1
    Then the request is refused as "not-run"
    And order "a" ran 0 times
    When the upstreams of "order-desk" no longer refuse
    And order "a" is sent through entry-2 until it is answered
    Then order "a" ran 1 time

  Scenario: The upstream crashes in the middle of an order
    Given the upstreams of "order-desk" crash on the text "body of a"
    When order "a" is sent through entry-1
    Then the request is refused as "may-have-run" because of "connection-lost"
    And 1 upstreams of "order-desk" crashed
    When order "a" is sent through entry-2
    Then the request is refused as "may-have-run" because of "outcome-unknown"
    And 1 upstreams of "order-desk" crashed

  Scenario: An upstream answers an order with garbage
    Given the upstreams of "order-desk" answer garbage
    When order "a" is sent through entry-1
    Then the request is refused as "may-have-run" because of "invalid-answer"
    When order "a" is sent through entry-2
    Then the request is refused as "may-have-run" because of "outcome-unknown"
    And order "a" ran 1 time
