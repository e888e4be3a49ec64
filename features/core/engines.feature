Feature: Which engine runs a request

  Scenario: A request goes where its shared parts were read
    Given 3 engines of which "e2" has read the part "p"
    Then a request with the part "p" goes to "e2"

  Scenario: It goes elsewhere if it would be late there
    Given 3 engines of which "e2" has read the part "p"
    When "e2" has 60000 prompt tokens waiting
    Then a request with the part "p" does not go to "e2"

  Scenario: A new owner sends most prompts where the old one had them read
    Given 3 engines of which "e2" has read the part "p"
    When 60 prompts with different shared parts are placed at idle engines
    And a new owner that knows nothing places them
    Then it finds at least 54 of them where they were read
    And no engine has more than 30 of them

  Scenario: A new part is read elsewhere if its first engine is busy
    Given 3 engines of which "e2" has read the part "p"
    When the engine that a new part would go to has 30000 prompt tokens waiting
    Then the new part goes to another engine

  Scenario: Requests without shared parts are spread
    Given 3 engines of which "e2" has read the part "p"
    When 6 requests with parts of their own are placed
    Then every engine has 2 of them

  Scenario: An engine that failed a request is left alone for a while
    Given 3 engines of which "e2" has read the part "p"
    When "e2" fails a request
    Then a request with the part "p" does not go to "e2"

  Scenario: An engine that started again has nothing in its cache
    Given 3 engines of which "e2" has read the part "p"
    When "e2" starts again
    Then a request with the part "p" is not expected to find it anywhere

  Scenario: Large results decide between engines that are otherwise alike
    Given 3 engines of which "e2" has read the part "p"
    Then a request with new parts and 12 MB of results in the domain of "e3" goes to "e3"

  Scenario: A request whose end is not heard does not count for ever
    Given 3 engines of which "e2" has read the part "p"
    When "e1" has 60000 prompt tokens waiting
    And 60 s go by without news
    Then "e1" is as free as "e3"
