Feature: Admission by priority, and stage results under memory pressure

  # Guards against a request that waits for all others a second time because its engine
  # found its stage results gone: its objective is nearly over, so it sorted as late.

  Scenario: A request whose stage results were lost goes ahead of new requests
    Given a stage server that is busy, and 6 queued requests of priority 2
    When a request of priority 2 whose results were lost comes 100 ms before its objective
    Then it is admitted, not as best effort, and is in the next call

  Scenario: A request whose stage results were lost does not go ahead of more urgent ones
    Given a stage server that is busy, and 6 queued requests of priority 0
    When a request of priority 2 whose results were lost comes 100 ms before its objective
    Then it is admitted, not as best effort, and is in the last call

  Scenario: A request whose stage results were lost is refused if it can't meet its deadline
    Given a stage server that is busy, and 6 queued requests of priority 2
    When a request of priority 2 whose results were lost comes 200 ms before its deadline
    Then it is refused as not run, with a time to retry

  Scenario: The owner learns that results were lost, and the sender how long they are kept
    When stages run again and their results are kept for 900 ms
    Then both daemons receive the same messages, and an older one the usual ones
