Feature: Connections that are closed at the limit

  Guards against a crowd that holds all connections, and against closing connections of
  ordinary callers instead of those of the crowd.

  Scenario Outline: At the limit the connection that is least in use is closed
    Given connections that are <uses>
    Then <closed> is closed at the limit

    Examples:
      | uses                                                             | closed   |
      | stalled for 9000, unadmitted for 1000, idle for 9000             | number 2 |
      | unadmitted for 60, stalled for 1000, idle for 9000               | number 2 |
      | idle for 9000, unadmitted for 60, unadmitted for 80              | number 3 |
      | idle for 1000, idle for 2000, in use for 0                       | number 2 |
      | unadmitted for 40, stalled for 900, idle for 900, in use for 0   | none     |
      | unadmitted for 9000, closing for 0, stalled for 9000             | number 2 |

  Scenario Outline: While new connections wait, those in use end after their answers
    Given connections that are <uses>
    When <count> new ones wait
    Then those that end are <ending>

    Examples:
      | uses                                                          | count | ending |
      | in use after 1, in use after 9, in use after 5, idle for 900  | 2     | 2, 3   |
      | in use after 1, in use after 9                                | 5     | 1, 2   |
      | in use after 9, ahead after 0, ahead after 3                  | 1     | 2, 3   |
      | in use after 1, in use after 9, ahead after 0                 | 2     | 2, 3   |
      | stalled for 900, idle for 900, unadmitted for 40              | 1     | none   |
      | in use after 1, ending after 9, in use after 5                | 1     | 3      |

  Scenario: Repeated refusals delay the next request up to a limit
    Then the delays after 1, 2, 5, 6, 1000 refusals are 20, 40, 320, 500, 500 ms

  Scenario Outline: Descriptors and memory limit the connections
    Then <descriptors> descriptors and <mb> MB allow <count> connections

    Examples:
      | descriptors | mb   | count |
      | 2000        | 120  | 240   |
      | 1200        | 1000 | 140   |
      | 100         | 120  | 64    |
      | 100000      | 180  | 600   |
