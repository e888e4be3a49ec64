Feature: Member table and reachability of failure domains

  Guards against two daemons that act on the same duty after a partition or a restart,
  duties that stay with a failed daemon, allowances that are overspent during a
  partition, and requests that are sent to a failure domain that can't be reached, or
  withheld from one that can.

  Scenario: A duty stays with its holder when a higher-ranked daemon restarts
    Given the first-ranked daemon for a duty leaves and the second acquires the duty
    When the first daemon restarts
    Then the second daemon still holds the duty

  Scenario: Of two holders after a partition the one with the higher term keeps the duty
    Given a holder with term 4 that receives a heartbeat of another holder with term 5
    Then it has released the duty

  Scenario: A daemon that was isolated does not prevail over the holder with a majority
    Given a holder with term 4 among 5 daemons that receive each other's heartbeats
    And one more daemon that received the holder's heartbeats and is now isolated
    When the isolated daemon acquires the duty and the partition ends
    Then the isolated daemon has released the duty
    And the holder among the 5 daemons still holds the duty

  Scenario: The larger side of a partition acquires the duty of a holder on the smaller side
    Given 6 daemons of which 2, with the holder of a duty at term 4, are partitioned off
    When the larger side acquires the duty and the partition ends
    Then the holder on the smaller side has released the duty

  Scenario: Of two isolated holders exactly one keeps the duty
    Given two isolated daemons that each acquire the duty
    When they receive each other's heartbeats
    Then exactly one of them holds the duty

  Scenario: A holder that is overdue and did not answer another daemon loses the duty
    Given a daemon that is second for a duty whose holder sent its last heartbeat 200 ms ago
    When another daemon reports that the holder did not answer
    Then it acquires the duty, and the holder that restarts does not regain it

  Scenario: A holder that sends heartbeats keeps the duty although it did not answer another daemon
    Given a daemon that is second for a duty whose holder sent its last heartbeat 100 ms ago
    When another daemon reports that the holder did not answer
    Then it does not acquire the duty

  Scenario: A duty goes to a VM with enough capacity while one is live
    Given 40 small daemons and 2 with four times their capacity
    Then the candidates for each of 20 duties begin with the two large ones
    When the large daemons are silent for 700 ms
    Then the candidates for each of 20 duties are the small ones

  Scenario: A daemon that knows no other acquires a duty
    Given a daemon that knows no other daemon
    Then it acquires the duty at once

  Scenario: A daemon that announces its shutdown holds no duty
    Given the first-ranked daemon for a duty leaves and the second acquires the duty
    Then the first daemon is not among the candidates

  Scenario: A daemon that restarts with an earlier clock is live again
    Given a daemon that sent a heartbeat with lifetime 5000
    When it is silent for 2000 ms and sends a heartbeat with lifetime 3000
    Then it is live

  Scenario: A heartbeat that arrives after a later one is ignored
    Given a daemon that receives heartbeat number 5 of "a" with a duty held at term 7
    When heartbeat number 4 of "a" without the duty arrives
    Then "a" still holds the duty with term 7

  Scenario: A heartbeat from before a restart is ignored
    Given a daemon that receives heartbeat number 5 of "a" with a duty held at term 7
    When heartbeat number 900 of an earlier lifetime of "a" arrives
    Then "a" still holds the duty with term 7

  Scenario: A daemon whose process was paused does not suspect the others when it resumes
    Given a daemon that receives heartbeats from another domain
    When its process is paused for 5000 ms
    Then all members are live and no domain is suspect

  Scenario: A daemon's own domain is never unreachable
    Given a daemon that no longer receives heartbeats from another domain
    When 3 connections to its own domain time out
    Then no domain is unreachable

  Scenario: A domain without recent connection failures is reachable again
    Given a daemon that no longer receives heartbeats from another domain
    When 1500 ms elapse
    And a connection to the other domain times out
    And 3000 ms elapse
    Then the other domain is reachable

  Scenario: Allowances are divided by all members that may run, silent ones included
    Given a daemon that listed 9 members and receives no heartbeat of the others for 30000 ms
    Then it divides fleet-wide allowances by 9

  Scenario: Allowances are divided by a minimum until the member list has been read
    Given a daemon that knows no other member
    Then it divides fleet-wide allowances by 16

  Scenario: A domain whose daemons all leave is not suspect
    Given a daemon that is told by all daemons of another domain that they are leaving
    When 3000 ms elapse
    Then no domain is suspect

  Scenario: Missing heartbeats alone do not make a domain unreachable
    Given a daemon that no longer receives heartbeats from another domain
    When 1500 ms elapse
    Then the other domain is suspect but reachable

  Scenario: Missing heartbeats and a connection timeout make a domain unreachable
    Given a daemon that no longer receives heartbeats from another domain
    When 1500 ms elapse
    And a connection to the other domain times out
    Then the other domain is unreachable
    When a server of the other domain answers
    Then the other domain is reachable

  Scenario: One connection timeout does not suffice while a domain's daemons send heartbeats
    Given a daemon that receives heartbeats from another domain
    When a connection to the other domain times out
    Then the other domain is reachable

  Scenario: Missing heartbeats and two refusing servers make a domain unreachable
    Given a daemon that no longer receives heartbeats from another domain
    When 1500 ms elapse
    And server "one" of the other domain refuses a connection
    Then the other domain is reachable
    When server "two" of the other domain refuses a connection
    Then the other domain is unreachable
    When a server of the other domain answers
    Then the other domain is reachable

  Scenario: Repeated refusals by one server do not make a domain unreachable
    Given a daemon that no longer receives heartbeats from another domain
    When 1500 ms elapse
    And server "one" of the other domain refuses a connection
    And server "one" of the other domain refuses a connection
    Then the other domain is reachable

  Scenario: Refused connections do not suffice while a domain's daemons send heartbeats
    Given a daemon that receives heartbeats from another domain
    When server "one" of the other domain refuses a connection
    And server "two" of the other domain refuses a connection
    Then the other domain is reachable

  Scenario Outline: The heartbeats of a daemon are bounded however many peers it has
    Given <peers> peers of a daemon that holds <duty> and has <news>
    When it sends heartbeats for 4 s
    Then each heartbeat goes to at most <at most> peers
    And each peer gets one within the interval that the one before stated
    And <all> of the peers got one

    Examples:
      | peers | duty    | news    | at most | all  |
      | 8     | no duty | no news | 8       | all  |
      | 16    | no duty | no news | 16      | all  |
      | 86    | no duty | no news | 0       | none |
      | 86    | no duty | news    | 16      | all  |
      | 86    | a duty  | no news | 86      | all  |
      | 399   | no duty | no news | 0       | none |
      | 399   | no duty | news    | 16      | all  |

  Scenario: A daemon that gives its duty up tells all peers that its heartbeats get rarer
    Given 86 peers of a daemon that holds a duty and has no news
    When it sends heartbeats for 1 s
    And it gives its duty up and sends heartbeats for 3 s
    Then each peer gets one within the interval that the one before stated
    And the last heartbeat to each peer says that it is probed

  Scenario: A member with a longer interval is lost two heartbeats after the last one
    Given a member that states an interval of 750 ms with its heartbeat
    Then it is live 1800 ms after it, and not live 1900 ms after it

  Scenario: A member with the shortest interval is lost after 600 ms
    Given a member that states an interval of 125 ms with its heartbeat
    Then it is live 550 ms after it, and not live 650 ms after it

  Scenario: A domain of daemons with long intervals is not suspect between their heartbeats
    Given a domain with 3 daemons that state an interval of 750 ms with their heartbeats
    Then the domain is not suspect 1000 ms after them, and suspect 1050 ms after them

  Scenario Outline: No domain is suspect in calm, however the daemons' rounds are spread
    Given <daemons> daemons in <domains> domains that start <start>
    When they exchange heartbeats for 8 s in calm
    Then no domain was suspect at any of 4 daemons

    Examples:
      | daemons | domains | start                    |
      | 9       | 3       | in step                  |
      | 9       | 3       | at random                |
      | 17      | 5       | in step                  |
      | 17      | 5       | in step domain by domain |
