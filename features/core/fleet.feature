Feature: Daemons that act together

  Scenario: A duty stays with its holder when a higher ranked daemon comes back
    Given the first daemon in rank for a duty leaves and the second takes it
    When the first daemon comes back
    Then the second daemon still holds the duty

  Scenario: Of two holders after a cut the one that took the duty last keeps it
    Given a holder with term 4 that hears another holder with term 5
    Then it has given up the duty

  Scenario: A daemon that was cut off alone does not win over the holder that went on
    Given a holder with term 4 among 5 daemons that hear each other
    And one more daemon that heard the holder and now hears nobody
    When the lonely daemon takes the duty and the cut ends
    Then the lonely daemon has given up the duty
    And the holder among the 5 daemons still holds the duty

  Scenario: The larger side of a cut takes the duty of a holder on the smaller side
    Given 6 daemons of which 2 are cut off with the holder of a duty with term 4
    When the larger side takes the duty and the cut ends
    Then the holder of the smaller side has given up the duty

  Scenario: Of two lonely holders one keeps the duty
    Given two daemons that each hear nobody and take the duty
    When they hear each other
    Then exactly one of them holds the duty

  Scenario: The next daemon takes the duty when another lost its holder, before it is silent for long
    Given a daemon that is second for a duty whose holder was heard 200 ms ago
    When another daemon says that the holder gave no answer
    Then it takes the duty, and the holder that starts again does not get it back

  Scenario: A holder that is heard keeps the duty though another daemon lost it
    Given a daemon that is second for a duty whose holder was heard 100 ms ago
    When another daemon says that the holder gave no answer
    Then it does not take the duty

  Scenario: A daemon that says it leaves holds no duty
    Given the first daemon in rank for a duty leaves and the second takes it
    Then the first daemon is not among the owners

  Scenario: A daemon that restarts with an earlier clock is heard again
    Given a daemon that was heard with lifetime 5000
    When it is silent for 2000 ms and heard with lifetime 3000
    Then it is live

  Scenario: A datagram that was overtaken changes nothing
    Given a daemon that hears "a" hold a duty with term 7 in its heartbeat number 5
    When heartbeat number 4 of "a" without the duty arrives
    Then "a" still holds the duty with term 7

  Scenario: A datagram from before a restart changes nothing
    Given a daemon that hears "a" hold a duty with term 7 in its heartbeat number 5
    When heartbeat number 900 of an earlier lifetime of "a" arrives
    Then "a" still holds the duty with term 7

  Scenario: A daemon that stood still takes the others for live when it wakes
    Given a daemon that hears another domain
    When it stands still for 5000 ms
    Then it takes all members for live and no domain is suspect

  Scenario: The own domain is never cut off
    Given a daemon that stops hearing another domain
    When 3 connections to its own domain time out
    Then no domain is cut off

  Scenario: A domain that nobody tried for a while is not cut off any more
    Given a daemon that stops hearing another domain
    When 1500 ms go by
    And a connection to the other domain times out
    And 3000 ms go by
    Then the other domain is not cut off

  Scenario: Allowances are divided by all that may live, not by those that are heard
    Given a daemon that listed 9 members and hears none of them for 30000 ms
    Then it divides fleet-wide allowances by 9

  Scenario: Before a list was read the allowances are divided by many
    Given a daemon that knows nobody
    Then it divides fleet-wide allowances by 16

  Scenario: A domain whose daemons all leave is not cut off
    Given a daemon that hears the daemons of another domain leave
    When 3000 ms go by
    Then no domain is suspect

  Scenario: Silent daemons alone do not cut a domain off
    Given a daemon that stops hearing another domain
    When 1500 ms go by
    Then the other domain is suspect but not cut off

  Scenario: Silent daemons and a connection that times out do
    Given a daemon that stops hearing another domain
    When 1500 ms go by
    And a connection to the other domain times out
    Then the other domain is cut off
    When a server of the other domain answers
    Then the other domain is not cut off

  Scenario: One connection that times out does not cut a domain off whose daemons are heard
    Given a daemon that hears another domain
    When a connection to the other domain times out
    Then the other domain is not cut off

  Scenario: Servers that refuse connections and silent daemons cut a domain off
    Given a daemon that stops hearing another domain
    When 1500 ms go by
    And server "one" of the other domain refuses a connection
    Then the other domain is not cut off
    When server "two" of the other domain refuses a connection
    Then the other domain is cut off
    When a server of the other domain answers
    Then the other domain is not cut off

  Scenario: One server that refuses again and again does not cut a domain off
    Given a daemon that stops hearing another domain
    When 1500 ms go by
    And server "one" of the other domain refuses a connection
    And server "one" of the other domain refuses a connection
    Then the other domain is not cut off

  Scenario: Servers that refuse do not cut a domain off whose daemons are heard
    Given a daemon that hears another domain
    When server "one" of the other domain refuses a connection
    And server "two" of the other domain refuses a connection
    Then the other domain is not cut off
