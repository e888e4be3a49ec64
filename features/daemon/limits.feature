Feature: Servers that name a limit on requests

  Guards against a server in need that gets more requests a second than it says it takes
  from all daemons together.  Daemons and the key-value store run as processes.

  Scenario Outline: Two daemons together keep the limit that servers name
    Given a site with two daemons
    And <servers> name a limit of "1.0" requests a second
    When both daemons get <count> <requests> a second for 8 s
    Then from 3 s on, <servers> each got at most 11 requests in any 4 s

    Examples:
      | servers            | count | requests    |
      | desk-1, desk-2     | 10    | lookups     |
      | desk-1, desk-2     | 10    | orders      |
      | engine-1, engine-2 | 8     | generations |
