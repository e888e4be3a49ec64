Feature: Heartbeats between daemons

  Guards against decisions on old heartbeats: datagrams pile up while the loop is busy,
  and a daemon that reads them one at a time takes news that is seconds old for the
  latest.

  Scenario: A daemon that was busy applies the latest heartbeat of each peer at once
    Given a daemon that was busy while 40 peers sent 5 heartbeats each
    When its event loop runs for 20 passes
    Then it has applied the last heartbeat of each of the 40 peers
    And it has applied no more than 40 heartbeats

  Scenario: A heartbeat arrives with all that it carries
    When a heartbeat with a confirmed removal, a server's own word, streams and suspects is sent
    Then the peer receives the same heartbeat

  Scenario Outline: A request for an engine arrives with its version and the paused engines
    When an engine of <version> is requested, and two engines are paused
    Then the owner receives the same request

    Examples:
      | version     |
      | any version |
      | no version  |
      | version v1  |

  Scenario: Messages about the trial of a suspect keep their fields
    When a copy of a suspect is tried
    Then the deciding daemon and the sender receive the same messages
