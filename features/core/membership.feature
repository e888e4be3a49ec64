Feature: Membership by gossiped heartbeats

  Guards against a failed member that stays in the view or is revived by stale gossip,
  members that are suspected because the observer itself was paused, and duties that
  move without need.

  Scenario: A silent member becomes suspect, then dead, and a stale record does not revive it
    Given daemons a, b and c that know each other
    When c stops and a and b exchange gossip for 4000 ms
    Then a considers c "suspect"
    When c stops and a and b exchange gossip for 5000 ms
    Then a considers c "dead"
    When a receives a stale record of c
    Then a considers c "dead"

  Scenario: A dead member is alive again once its heartbeat increases
    Given daemons a, b and c that know each other
    When c stops and a and b exchange gossip for 9000 ms
    And c exchanges gossip with b, and b with a
    Then a considers c "alive"

  Scenario: A daemon whose process was paused does not suspect the others
    Given daemons a, b and c that know each other
    When a is paused for 20000 ms while the others exchange gossip
    Then a considers b "alive"
    And a considers c "alive"

  Scenario: Only the duties of a removed member move
    Then of 500 duties over 9 members only those of a removed member move
