Feature: API keys of the version in force

  Guards against a change of the teams that opens routes to callers without a valid key:
  an empty list of teams that is taken for an absent one, an empty key that requests
  without a key match, a value of a wrong type that is taken for another one.

  Scenario: An empty list of teams accepts no key until a version has a team again
    Given a site with two daemons whose streams may be resumed
    When the operator writes a version with the teams []
    Then within 2000 ms both daemons answer 401 to the former key, another key, an empty key and no key
    When a daemon restarts
    Then within 2000 ms both daemons answer 401 to the former key, another key, an empty key and no key
    When the operator writes a version with the teams [{"name": "red", "api_keys": ["key-red"]}]
    Then within 2000 ms both daemons answer 200 to the former key
    And within 2000 ms both daemons answer 401 to another key, an empty key and no key

  Scenario: Without a list of teams, requests need no key
    Given a site with two daemons whose streams may be resumed
    When the operator writes a version without teams
    Then within 2000 ms both daemons answer 200 to the former key, another key, an empty key and no key

  Scenario: An empty key of a team lets in no request without a key
    Given a site with two daemons whose streams may be resumed
    When the operator writes a version with the teams [{"name": "red", "api_keys": ["", "key-new"]}]
    Then within 2000 ms both daemons answer 200 to the new key
    And within 2000 ms both daemons answer 401 to the former key, another key, an empty key and no key

  Scenario Outline: A version with a value of a wrong type leaves the former one in force
    Given a site with two daemons
    When the operator writes a version with the teams <teams>
    Then within 2000 ms both daemons report version 1 as kept, with "<cause>"
    And within 2000 ms both daemons answer 200 to the former key
    And within 2000 ms both daemons answer 401 to another key, an empty key and no key
    When the operator writes a version with the teams [{"name": "red", "api_keys": ["key-new"]}]
    Then within 2000 ms both daemons answer 200 to the new key
    And within 2000 ms both daemons answer 401 to the former key, another key, an empty key and no key

    Examples:
      | teams                                | cause                                     |
      | null                                 | tenants: expected a list, not NoneType    |
      | [{"name": "red", "api_keys": "key"}] | tenants.0: api_keys: expected a list      |

  Scenario: A request that was admitted before the teams were removed is answered
    Given a site with two daemons
    And plain servers that take 1000 ms to answer
    When the teams become [] while a lookup waits for its answer
    Then within 2000 ms both daemons answer 401 to the former key, another key, an empty key and no key
    And the lookup is answered 200
