Feature: Heartbeats between daemons

  Guards against decisions on old heartbeats: datagrams pile up while the loop is busy,
  and a daemon that reads them one at a time takes news that is seconds old for the
  latest.

  Scenario: A daemon that was busy applies the latest heartbeat of each peer at once
    Given a daemon that was busy while 40 peers sent 5 heartbeats each
    When its event loop runs for 20 passes
    Then it has applied the last heartbeat of each of the 40 peers
    And it has applied no more than 40 heartbeats
