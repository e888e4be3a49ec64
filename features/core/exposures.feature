Feature: Requests at servers that crash without a sign

  Guards against requests that make machines fall silent and are never suspect, and against
  taking a silent server, a cut link or a planned end for a crash.

  Scenario Outline: Which requests are lost with a server is told by its next start
    Given a request that was sent to the server "s1" at 1000 ms
    When it <fate>
    And <event>
    Then it <outcome>

    Examples:
      | fate                  | event                                                     | outcome     |
      | hangs                 | "s1" is listed with a later start                         | was lost    |
      | is given up at 3000 ms | "s1" is listed with a later start                        | was lost    |
      | hangs                 | "s1" is listed with the same start                        | is still open |
      | hangs                 | the entry of "s1" expires                                 | is still open |
      | hangs                 | another server is listed later at the address of "s1"     | was lost    |
      | hangs                 | another server was listed before at the address of "s1"   | is still open |
      | is answered           | "s1" is listed with a later start                         | is forgotten |
      | hangs                 | "s1" announces that it leaves, and is listed with a later start | is forgotten |
      | is given up at 3000 ms | "s1" sends bytes at 3500 ms on a connection of 500 ms    | is forgotten |
      | is given up at 3000 ms | "s1" sends bytes at 3500 ms on a connection of 2000 ms   | is still open |
      | is given up at 3000 ms | "s1" sends bytes at 2500 ms on a connection of 500 ms    | is still open |
      | is given up at 3000 ms | 30 s pass                                                | is forgotten |
      | hangs                 | 30 s pass                                                 | is still open |

  Scenario Outline: A second crash before the later start is read is told by the connections
    Given a request that was sent to the server "s1" at 1000 ms
    When its connection is lost at 2000 ms
    And another is sent on a connection of <connected> ms and <fate>
    And "s1" is listed with a later start
    Then <crashes> crashes lost requests, and <moved> request is at the later lifetime

    Examples:
      | connected | fate         | crashes | moved |
      | 2100      | is lost, too | 2       | 0     |
      | 1900      | is lost, too | 1       | 0     |
      | 2100      | is open      | 1       | 1     |
      | 1900      | is open      | 1       | 0     |

  Scenario: A lost request is reported once
    Given a request that was sent to the server "s1" at 1000 ms
    When it hangs
    And "s1" is listed with a later start
    Then it was lost
    And it is reported no more

  Scenario: Many requests that were given up take a bounded space
    Given 5000 requests that were sent to the server "s1" at 1000 ms and given up
    Then 4096 of them are still open

  Scenario: A request at the restarted server is not lost with the crash that was detected before
    Given a request that was sent to the server "s1" at 1000 ms
    When a crash of "s1" was detected at 500 ms
    And "s1" is listed with a later start
    Then no request was lost, and it is at the later lifetime
