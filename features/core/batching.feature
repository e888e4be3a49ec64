Feature: Stages under their worst load

  # The replays' bounds are shares of the credit owed; an owner that fills calls alone,
  # without admission, is the baseline that issue 10 names.

  Scenario Outline: A replayed load earns its credit, and little is held and then refused
    When the load "<load>" is replayed with seeds 0 to 2
    Then the mean credit is at least <credit>
    And at most <held> requests in 100 are held and then refused

    Examples:
      | load                     | credit | held |
      | three, calm              | 0.98   | 1    |
      | three, diagnosis burst   | 0.92   | 3    |
      | three, one server dark   | 0.92   | 3    |
      | three, worst             | 0.85   | 3    |
      | four, calm               | 0.97   | 1    |
      | four, draft burst        | 0.88   | 3    |
      | four, worst              | 0.84   | 3    |

  Scenario: No call exceeds its batch or its server's memory, whatever the load
    When the load "four, worst" is replayed with seeds 0 to 1
    Then every call kept to its batch and to the memory of its server

  Scenario: A server without room is not a failed try
    Given a pool of one server that refuses pieces for want of room 10 times
    When a job of 2 pieces is done there
    Then the job is made

  Scenario: A server that can't be reached uses up neither tries nor time
    Given a pool of two servers of which one refuses connections for 2000 ms
    And the other one failed a call a moment ago
    When a job of 2 pieces is done there
    Then the job is made and the dead server was tried at most 6 times

  Scenario: A piece that fails three times fails its job, and its results are freed
    Given a pool of one server that fails the second piece always
    When a job of 2 pieces is done there
    Then the job has failed and the result of its first piece is freed

  Scenario: Two stages of one request that become late together end it once
    Given a request with two parallel stages that both become late
    When the planner gives up what is late
    Then the request has failed once and nothing is left behind

  Scenario: Results that were lost are made again
    Given a request whose first results are lost before its second stage reads them
    When its stages are planned on
    Then all its stages are done

  Scenario: The pieces of a call that hangs are made elsewhere
    Given a pool of two servers of which one hangs
    When a job of 2 pieces waits for 600 ms
    Then the other server has made its pieces

  Scenario: Inputs are freed while their reader is being made
    Given a pool of two servers whose calls take 1.0 times the usual
    And a request whose second stage was called 50 ms ago
    When the planner ticks
    Then no result is freed
    When 100 ms later the planner ticks
    Then the results of the first stage are freed once
    When the second stage is made
    Then all stages are done and the results of the first stage were freed once

  Scenario: Inputs are kept while their reader is called at a server that is slow
    Given a pool of two servers whose calls take 2.0 times the usual
    And a request whose second stage was called 50 ms ago
    When 100 ms later the planner ticks
    Then no result is freed

  Scenario: Inputs are kept by an owner that does not know its servers yet
    Given a request whose second stage was called 50 ms ago
    When 100 ms later the planner ticks
    Then no result is freed

  Scenario: A request whose reader fails after its inputs were freed begins again
    Given a pool of two servers whose calls take 1.0 times the usual
    And a request whose second stage was called 50 ms ago
    When 100 ms later the planner ticks
    And the call of the second stage gets no answer
    Then the request is made from its first stage again

  Scenario: A late call is not made elsewhere once its inputs are freed
    Given a pool of two servers whose calls take 1.0 times the usual
    And a request whose second stage was called 50 ms ago
    When 100 ms later the planner ticks
    And the call of the second stage is overdue by 2000 ms
    Then no piece of the second stage waits

  Scenario: A request that is cancelled leaves nothing behind
    Given a request that is cancelled between its stages
    Then its results are freed and no job waits

  Scenario: Results that only wait are made late, to spare memory
    Given a request with a short branch of large results and a long branch
    Then the short branch is begun after the long one
