Feature: Answers of the store in another era

  Guards against a client that acts on an answer, a lease or an acknowledgement of another
  era of the store than the one that it refers to.  Answers are scripted.

  Scenario: An answer of an earlier era than the latest known one is not used
    Given a store whose answers are of the eras "2, 1"
    When a client reads a key 2 times
    Then the last result is "unavailable"

  Scenario: A listing whose pages are of two eras is not used
    Given a store whose answers are of the eras "1, 2"
    When a client lists keys on two pages
    Then the last result is "unavailable"

  Scenario: A listing whose pages are of one era is used
    Given a store whose answers are of the eras "2, 2"
    When a client lists keys on two pages
    Then the last result is "ok"

  Scenario Outline: A lease is renewed only in the era in which it was granted
    Given a store whose answers are of the eras "<eras>"
    When a client that has read a key renews a lease of era <era>
    Then the last result is "<result>"
    And the store got <count> calls

    Examples:
      | eras | era | result  | count |
      | 1, 1 | 1   | ok      | 2     |
      | 1, 2 | 1   | expired | 2     |
      | 2, 2 | 1   | expired | 1     |

  Scenario Outline: A write under a lease counts only in the era of the lease
    Given a store whose answers are of the eras "<eras>"
    When a client that has read a key writes under a lease of era <era>
    Then the last result is "<result>"
    And the store got <count> calls

    Examples:
      | eras | era | result   | count |
      | 1, 1 | 1   | applied  | 2     |
      | 1, 2 | 1   | unknown  | 2     |
      | 2, 2 | 1   | conflict | 1     |

  Scenario: A server that has not written again in a new era is kept for the grace period
    Given a daemon that has listed the server "desk-1", and no outage of its store
    When the store is listed in a new era without "desk-1"
    Then "desk-1" still takes requests
    And "desk-1" takes no requests 2400 ms later

  Scenario Outline: A daemon asks some peers for their settings only on a store that came back
    Given a store in era <era> that lists a starting daemon and <peers> others
    When the daemon lists it
    Then it asks <asked> of the others for their settings before

    Examples:
      | era | peers | asked |
      | 1   | 5     | 0     |
      | 2   | 5     | 3     |
      | 2   | 2     | 2     |
      | 2   | 0     | 0     |
