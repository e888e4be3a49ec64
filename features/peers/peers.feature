@fleet
Feature: Only authenticated daemons take part in the membership

  Guards against processes without a certificate of the fleet that add members by sending
  a digest, and against malformed digests from a process that has one.  Each digest here
  describes a daemon that does not exist.

  Scenario: A digest from a client without a certificate is rejected
    When a client without a certificate sends a digest to entry-1
    Then the client gets no answer
    And entry-1 lists 3 daemons

  Scenario: A digest from a client with a certificate of another authority is rejected
    When a client with a certificate of another authority sends a digest to entry-1
    Then the client gets no answer
    And entry-1 lists 3 daemons

  Scenario: A malformed digest from a daemon of the fleet is rejected
    When a daemon of the fleet sends a digest with lists of different lengths to entry-1
    Then the client gets no answer
    And entry-1 lists 3 daemons

  Scenario: A frozen daemon is suspected, and alive again once it resumes
    When entry-3 is frozen
    Then entry-1 sees entry-3 as suspect within 6000 ms
    When entry-3 wakes up
    Then entry-1 sees entry-3 as alive within 6000 ms
