Feature: Pace of servers

  Guards against requests that are sent to a server that has just become slow and said so,
  against treating an old report as current, and against all daemons choosing the server
  of the same report at once.

  Scenario Outline: The load of a server is read with and without its pace
    When a server reports the load "<header>"
    Then the load is read as <load>

    Examples:
      | header      | load              |
      | 3,0,8       | 3 0 8 unknown     |
      | 3,0,8,140   | 3 0 8 1.4         |
      | 3,0,8,0     | 3 0 8 0.1         |
      | 3,0,8,99999 | 3 0 8 10.0        |
      | 3,0,8,x     | nothing           |
      | 3,0,8,1,2   | nothing           |
      | 3,0         | nothing           |

  Scenario Outline: A report counts by its age, and what was sent since counts on top
    Given servers "s1" and "s2" with 2 slots
    When "s1" reports <requests> requests and the pace <pace>, and "s2" 0 and 1.0
    And <sent> requests are sent to "s2", and <ms> ms pass
    Then "<chosen>" is chosen by most

    Examples:
      | requests | pace | sent | ms   | chosen |
      | 0        | 2.5  | 0    | 0    | s2     |
      | 0        | 2.5  | 1    | 0    | s2     |
      | 0        | 2.5  | 4    | 0    | s1     |
      | 0        | 2.5  | 1    | 1100 | s1     |
      | 6        | 1.0  | 0    | 0    | s2     |
      | 6        | 1.0  | 1    | 1100 | s1     |

  Scenario: Requests in flight are not counted again when a report contains them
    Given servers "s1" and "s2" with 2 slots
    When 2 requests are sent to "s1" and 10 ms pass
    And "s1" reports 2 requests and the pace 1.0, and "s2" 2 and 1.0
    And 2 requests end at "s1" after 10 ms
    Then "s1" has room for a request

  Scenario: A peer's later report replaces an earlier one, and not the other way round
    Given servers "s1" and "s2" with 2 slots
    When "s1" reports 0 requests and the pace 1.0, and "s2" 0 and 1.0
    And a peer passes on the pace 2.5 of "s1" from 300 ms before
    Then neither is chosen by most
    When 200 ms pass and a peer passes on the pace 2.5 of "s1" from 100 ms before
    Then "s2" is chosen by most

  Scenario Outline: Fewer requests reach servers while these are slow
    Given 70 daemons and 4 servers with 6 slots that are 2.5 times slower for a sixth of the time
    When they get <rate> requests a second for 60 s with and without reports of the pace
    Then at most two thirds as many as without reports are sent to slow servers
    And the mean time to an answer is not longer than without reports

    Examples:
      | rate |
      | 20   |
      | 55   |

  Scenario: Reports without the pace change no choice
    Given servers "s1" and "s2" with 2 slots
    Then 200 choices are the same with and without reports of three figures

  Scenario: A report that is passed on ages until the heartbeat is sent
    When a heartbeat with a report of 200 ms before is sent 60 ms after it was encoded
    Then the receiver takes the report to be at least 260 ms old and otherwise the same
