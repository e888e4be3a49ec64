Feature: Evacuation of failure domains

  Guards against requests at servers of a failure domain that the operator evacuates, in
  an outage of the store too, against the end of requests that run there, and against
  requests that wait although no server may take them.  Daemons and the key-value store
  run as processes.

  Scenario: Requests go to other domains until the domain is taken back
    Given a site with two daemons
    And "desk-1" is in the failure domain "b"
    When the operator evacuates "b"
    Then within 1000 ms only "desk-2" receives requests
    When the store answers nothing
    Then within 3000 ms only "desk-2" receives requests
    When the store answers again, and the operator takes "b" back
    Then within 5000 ms "desk-1" receives requests

  Scenario: Requests in flight go on, and others are refused at once
    Given a site with two daemons
    When the operator evacuates "domain-a" while a generation is at its engine
    Then the generation arrives complete
    And lookups and generations are refused at once with Retry-After 1.0
    When the operator takes "domain-a" back
    Then within 5000 ms "desk-1" receives requests
