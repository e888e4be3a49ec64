Feature: Engine selection

  Scenario: A request is placed where its shared parts are cached
    Given 3 engines of which "e2" has the part "p" cached
    Then a request with the part "p" is placed at "e2"

  Scenario: A request is placed elsewhere if it would miss its objective at the cache
    Given 3 engines of which "e2" has the part "p" cached
    When "e2" has 60000 prompt tokens waiting
    Then a request with the part "p" is not placed at "e2"

  # After a restart or network partition the new owner has no record of the caches.
  # Without preferred engines it would spread the parts anew and prefill them again.
  Scenario: A new owner places most prompts where the previous owner had them cached
    Given 3 engines of which "e2" has the part "p" cached
    When 60 prompts with different shared parts are placed at idle engines
    And a new owner without state places them
    Then it places at least 54 of them where they are cached
    And no engine has more than 30 of them

  Scenario: A new part is placed elsewhere if its preferred engine is busy
    Given 3 engines of which "e2" has the part "p" cached
    When the preferred engine of a new part has 30000 prompt tokens waiting
    Then the new part is placed at another engine

  Scenario: Requests without common parts are distributed evenly
    Given 3 engines of which "e2" has the part "p" cached
    When 6 requests without common parts are placed
    Then every engine has 2 of them

  Scenario: An engine that failed a request is avoided during its backoff
    Given 3 engines of which "e2" has the part "p" cached
    When "e2" fails a request
    Then a request with the part "p" is not placed at "e2"

  Scenario: A restarted engine has an empty cache
    Given 3 engines of which "e2" has the part "p" cached
    When "e2" restarts
    Then a request with the part "p" is expected to find it in no cache

  Scenario: Large stage results decide between engines with equal other costs
    Given 3 engines of which "e2" has the part "p" cached
    Then a request with new parts and 12 MB of results in the domain of "e3" is placed at "e3"

  Scenario: A request whose end is not reported stops counting after its expected end
    Given 3 engines of which "e2" has the part "p" cached
    When "e1" has 60000 prompt tokens waiting
    And 60 s pass without a report
    Then "e1" has the same expected latency as "e3"
