Feature: Evacuated failure domains and cold servers

  Guards against new requests at servers of a failure domain that the operator evacuates,
  against an evacuation that ends because the store is unavailable, and against more
  requests from all daemons together than a cold server survives.

  Scenario: Servers of an evacuated domain get no new requests, wherever they were chosen
    Given servers "s1, s2" of a service
    When the domains "domain-s1" are evacuated
    Then the ready servers are "s2"
    And "s1" may get no request that was on its way to it
    When the domains "domain-s1, domain-s2" are evacuated
    Then the whole service counts as evacuated

  Scenario: An evacuation holds while the store is unavailable, and a listing replaces it
    Given a store coordinator that has listed the keys "op/evacuate/a, op/evacuate/b"
    When the store becomes unavailable
    Then the domains "a, b" are evacuated in its registry
    When it reads that "op/evacuate/a" was deleted and "op/evacuate/c" written
    Then the domains "b, c" are evacuated in its registry
    When it lists the keys "op/evacuate/, op/evacuate/d, op/pause/e"
    Then the domains "d" are evacuated in its registry

  Scenario: The cold time runs from when an entry was first read, until a newer one
    Given servers "s1, s2" of a service that takes 6.6 requests a second when cold
    When the entry of "s1" of revision 20 says that it is cold for 3000 ms
    And the registry waits 2000 ms
    And the entry of "s1" of revision 20 says that it is cold for 3000 ms
    Then the cold servers are limited: "s1"
    When the registry waits 1000 ms
    Then no server is limited
    When the entry of "s1" of revision 21 says that it is cold for 3000 ms
    And the entry of "s1" of revision 22 says that it is cold for 0 ms
    Then no server is limited

  Scenario: A cold server has no limit unless its service's settings name one
    Given servers "s1, s2" of a service that takes 0.0 requests a second when cold
    When the entry of "s1" of revision 20 says that it is cold for 3000 ms
    Then no server is limited

  Scenario: Servers of a domain that was taken back are cold until a newer entry
    Given servers "s1, s2" of a service that takes 6.6 requests a second when cold
    When the domain "domain-s1" is taken back
    Then the cold servers are limited: "s1"
    When the registry waits 3000 ms
    Then no server is limited

  Scenario: The lower one of a cold server's two limits applies, and a restart ends both
    Given a daemon that heard a limit of 2.0 for "s1" 500 ms ago
    When "s1" is cold and takes 1.5 requests a second
    Then the limit of "s1" is 1.5
    When "s1" is cold and takes 6.6 requests a second
    Then the limit of "s1" is 2.0
    When "s1" has restarted under its identifier
    Then the limit of "s1" is 6.6
    When "s1" is warm
    Then "s1" has no limit

  Scenario: What a peer sent to a cold server counts, but says nothing about its limit
    Given a daemon that heard a limit of 2.0 for "s1" 500 ms ago
    When a peer that only knows "s1" as cold reports 10 requests
    Then the limit of "s1" is 2.0
    And the daemon lets a request to "s1" wait for 500 ms

  Scenario: A daemon that can't read the store learns of a cold server from a request
    Given a daemon that heard nothing
    When a peer asks it for a permit of the cold server "s1"
    Then the limit of "s1" is 6.6
    When 1000 ms later it has still read no entry
    Then "s1" has no limit

  Scenario: A request does not wait for a cold server while another takes it at once
    Given a daemon that heard nothing
    When "s1" is cold and takes 6.6 requests a second
    Then after a request to "s1", "s1, s2" are left with "s2", and "s1" with "s1"

  Scenario: Requests that wait for an evacuated stage pool are refused, calls go on
    Given a stage pool whose only server has an overdue call, and a request that waits
    Then an evacuation refuses the request that waits, and the other one completes

  Scenario Outline: All daemons together keep below what crashes a cold server
    Given <daemons> daemons and a cold server that takes 6.6 requests a second
    When callers send 60 requests a second for 20 s, and <disturbance>
    Then the server gets at most 14 requests in any second, and at least 80 in all

    Examples:
      | daemons | disturbance                                                 |
      | 9       | nothing else happens                                        |
      | 9       | the granting daemon freezes                                 |
      | 9       | all daemons restart in turn                                 |
      | 9       | a failure domain is cut off                                 |
      | 9       | late heartbeats, partitions, a freeze and a restart overlap |
      | 72      | the granting daemon freezes                                 |
      | 72      | a failure domain is cut off                                 |
