Feature: Signs of a crash

  Guards against counting one crash twice, because two daemons saw it or one saw two signs
  of it, and against counting two crashes once.

  Scenario: Two daemons and two signs count a crash once
    Given two daemons that each sent the same request to the server "s1"
    And the first has another copy of it there, which hangs
    When the connection of the first is lost, and the address refuses connections
    And the entry of "s1" shows a later start at both
    And the daemons tell each other what they know
    Then both know 1 crash of the request

  Scenario: Each start of a server that crashes is one crash
    Given two daemons that each sent the same request to the server "s1"
    When the entry of "s1" shows a later start at both
    And each sends the request again, and the entry shows a still later start
    And the daemons tell each other what they know
    Then both know 2 crashes of the request

  Scenario: Requests that were answered before don't hide what crashed the server
    Given two daemons that each sent the same request to the server "s1"
    And an answered request hangs there, too, and has crashed servers twice
    When the entry of "s1" shows a later start at both
    Then the answered request is never refused

  Scenario Outline: A loss on a connection that was opened after a crash is another crash
    Given two daemons that each sent the same request to the server "s1"
    When the connection of the first is lost, and the address refuses connections
    And <count> copies on <connections> are lost within the same second
    Then the first daemon knows <crashes> of the request's crashes

    Examples:
      | count | connections                        | crashes |
      | 1     | connections that were opened since | 2       |
      | 3     | connections that were opened since | 2       |
      | 3     | connections that were open before  | 1       |

  Scenario: A request on an old connection is part of the crash that ended the connection
    Given two daemons that each sent the same request to the server "s1"
    When the connection of the first is lost, and the address refuses connections
    And a copy on an old connection and one on a new connection are lost together
    Then the first daemon knows 2 of the request's crashes
