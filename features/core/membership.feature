Feature: Membership by heartbeats

  Scenario: A silent member is suspected, then dead, and an old digest can't bring it back
    Given daemons a, b and c that know each other
    When c falls silent and a and b exchange for 4000 ms
    Then a holds c for "suspect"
    When c falls silent and a and b exchange for 5000 ms
    Then a holds c for "dead"
    When a hears an old record of c
    Then a holds c for "dead"

  Scenario: A member that was dead comes back with a higher heartbeat
    Given daemons a, b and c that know each other
    When c falls silent and a and b exchange for 9000 ms
    And c exchanges with b, and b with a
    Then a holds c for "alive"

  Scenario: A daemon that was paused does not suspect the others
    Given daemons a, b and c that know each other
    When a is paused for 20000 ms while the others exchange
    Then a holds b for "alive"
    And a holds c for "alive"

  Scenario: Duties move only from a member that is gone
    Then of 500 duties over 9 members only those of a lost member move
