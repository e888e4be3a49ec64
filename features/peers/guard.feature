Feature: Limits of the connections between daemons

  Guards against clients that reach the peers' address: long frames that are announced
  and never sent, and frames that cost a daemon more than their sender.

  Scenario Outline: Frames keep to the limits however they are divided
    When a connection sends <frames>, <size> bytes at a time
    Then they are <accepted>

    Examples:
      | frames                      | size  | accepted     |
      | 50 calls of 16384 bytes     | 65536 | accepted     |
      | 50 calls of 16384 bytes     | 7     | accepted     |
      | 1 calls of 16385 bytes      | 65536 | not accepted |
      | 1 calls of 16385 bytes      | 1     | not accepted |
      | 100 pings of 8 bytes        | 5     | accepted     |
      | 101 pings of 8 bytes        | 5     | not accepted |

  Scenario: Pings of each second count apart
    When a connection sends 60 pings of 8 bytes in each of 10 seconds
    Then they are accepted

  Scenario: Connections over the limit are closed and leave nothing behind
    When 100 connections come one after the other at a limit of 2 open ones
    Then the server keeps at most 10 handlers of calls, and 2 connections
