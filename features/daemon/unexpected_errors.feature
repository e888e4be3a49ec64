Feature: Requests that a daemon can't send on

  Guards against a daemon that ends, with all requests of its callers, because one of them
  has a value that no header can carry.

  Scenario: A spoilt event identifier ends no daemon
    Given a site with two daemons whose streams may be resumed
    When "engine-1" spoils an event identifier of its streams and 8 generations with 17000 bytes are requested
    Then every stream is whole
    And no daemon has ended

  Scenario Outline: A caller that names needed headers in Connection is served
    Given a site with two daemons
    When 4 lookups with <size> bytes come with the header Connection: <options>
    Then they were answered, and the servers got their identifiers
    And no daemon has ended

    Examples:
      | size  | options                       |
      | 0     | host                          |
      | 17000 | host                          |
      | 0     | Cowsliphitch-Request-Id, Host |
