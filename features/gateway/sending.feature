Feature: Sending to servers

  Guards against sending to a server on an old decision: it was chosen while it took
  requests, and has said since that it leaves.

  Scenario Outline: A server that leaves while the connection to it is opened gets nothing
    Given servers "s1, s2" that listen
    When a <purpose> is sent to "s1", which leaves while the connection is opened
    Then nothing was sent to "s1", and the sender knows it

    Examples:
      | purpose      |
      | request      |
      | stage call   |
      | free results |

  Scenario: A request whose server leaves while the connection is opened runs at another
    Given servers "s1, s2" that listen
    When a request is forwarded to "s1", which leaves while the connection is opened
    Then the request was answered by "s2", and no retry was spent

  Scenario: An engine that the owner still chooses gets nothing once this daemon knows that it leaves
    Given servers "s1, s2" that listen
    When "s1" leaves and a request is forwarded with the choices "s1, s2"
    Then the request was answered by "s2", and no retry was spent
