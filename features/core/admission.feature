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

  # Guards against results that are freed before an engine with a queue fetches them, and
  # against results that are kept so long that other requests find no memory.

  Scenario Outline: Results are kept while the engine queues the request
    Given a request of <tokens> tokens with its first token expected in <first> ms, <queue> ms of it queueing
    When its results expire in <expiry> ms, and <free> of the memory is free
    Then they are kept for <kept> ms

    Examples:
      | tokens | first | queue | expiry | free | kept |
      | 17000  | 430   | 0     | 3900   | 0.9  | 938  |
      | 17000  | 430   | 0     | 3900   | 0.4  | 0    |
      | 17000  | 1900  | 1500  | 3900   | 0.9  | 2775 |
      | 17000  | 4000  | 0     | 3900   | 0.9  | 3900 |
      | 17000  | 1900  | 1500  | 3900   | 0.4  | 2375 |
      | 17000  | 1900  | 1500  | 40     | 0.9  | 40   |
      | 500    | 130   | 60    | 3900   | 0.4  | 0    |

  Scenario: The owner keeps results until they expire, and for the queue if memory is short
    Given a request whose result was made 1000 ms ago
    Then the owner keeps it for 2900 ms at an engine with a queue
    When further results take up 600 of the 1000 bytes
    Then the owner keeps it for 2500 ms at an engine with a queue

  Scenario Outline: A daemon releases results when the engine begins, or else in time
    Given results that the owner wants kept for <kept> ms
    When the request is sent <wait> ms later
    Then they are released <release> ms after that, and at once when the engine begins

    Examples:
      | kept | wait | release |
      | 0    | 0    | 100     |
      | 3000 | 0    | 3000    |
      | 3000 | 500  | 2500    |
      | 3000 | 4000 | 100     |

  Scenario: Results are kept for the next engine if the first one wants no requests
    Given results that the owner wants kept for 3000 ms
    When the first engine refuses the request, and the owner chooses another one 500 ms later
    Then the results are kept for 2500 ms more, and not released for the first engine

  # Guards against late requests that delay more urgent ones: without the rule they are
  # all admitted as best effort, and take calls, result memory and engine time.

  Scenario Outline: In a burst of one class, more requests are in time than without the rule
    When a burst of 2.6 times the usual rate of "<class>" is replayed with and without the rule
    Then no fewer requests are in time with the rule, and none of the most urgent class is lost
    And no class is served less than a quarter as often as all together

    Examples:
      | class   |
      | consult |
      | report  |
      | chat    |

  Scenario: Without a burst, every request is admitted as without the rule
    When no burst is replayed with and without the rule
    Then both replays have the same outcomes

  Scenario: A late request is refused while more urgent ones wait, and served best effort otherwise
    Given a stage server that is busy, and 6 queued requests of priority 0
    When a late request of priority 2 comes
    Then it is refused as not run, with a time to retry
    Given a stage server that is busy, and 6 queued requests of priority 2
    When a late request of priority 2 comes
    Then it is admitted as best effort

  Scenario: A request is not refused where one of a less urgent class would be admitted
    Given a stage server that is busy, and 6 queued requests of priority 0
    And requests of priority 4 that still meet their objective
    When a late request of priority 2 comes
    Then it is admitted as best effort

  Scenario: A priority that is always late still gets its minimum share
    Given a stage server that is busy, and 6 queued requests of priority 0
    When 20 late requests of priority 2 and as many of priority 0 come
    Then priority 2 is admitted a quarter as often as all together, and ahead of 0

  Scenario: A priority with few requests that are always late is not refused each time
    Given a stage server that is busy, and 6 queued requests of priority 0
    When late requests of priority 2 come every 4 s while those of priority 0 are admitted
    Then every fourth request of priority 2 is admitted

  Scenario Outline: A request without stages is refused by its engine's wait only
    Given a stage server that is busy, and 6 queued requests of priority 0
    When a request without stages comes whose engine waits <wait> ms of <objective> ms
    Then the request without stages is <outcome>

    Examples:
      | wait | objective | outcome  |
      | 5000 | 1000      | refused  |
      | 500  | 1000      | admitted |

  # Guards against stages that run for results which can't be kept.

  Scenario: A final stage waits while the engine would begin after its results are deleted
    Given a request whose engines begin in 6000 ms
    Then its stage is not called
    When its engines begin in 300 ms
    Then its stage is called

  Scenario: A final stage whose results live shortly starts while engines have a short queue
    Given a request whose engines begin in 50 ms and whose results are deleted after 200 ms
    Then its stage is called

  Scenario: Late jobs start only with memory for all their results, and jobs on time at once
    Given a server with memory for 6 results, and a started job that needs 4 of them
    When a late job and a job on time of 3 pieces are queued
    Then only the job on time is started

  # Guards against a plan whose cost grows with the square of the queue: with 1,000 late
  # jobs it took over half a second, in which the owner answered nobody.

  Scenario: The cost of a plan grows in proportion to the late jobs while memory is short
    Given a server with memory for 6 results, and a started job that needs 4 of them
    When 400 late jobs of 3 pieces are queued
    Then a plan looks at most 20 times at each job

  # Guards against admissions that count the pieces of all admitted requests many times,
  # also where no class is more urgent than another.

  Scenario Outline: An admission counts the pieces of each admitted request once
    Given 300 admitted requests of four stages, with the priorities <admitted>
    When a late request of four stages and priority <rank> comes
    Then it looked once at each stage of each admitted request

    Examples:
      | admitted | rank |
      | 0        | 0    |
      | 0,2,4    | 2    |
