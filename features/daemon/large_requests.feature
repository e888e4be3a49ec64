Feature: Memory of requests with many headers or prompt parts

  Guards against requests inside the limits of a head that fill the memory of a daemon: what
  it keeps for each header and each prompt part is many times larger than the head.

  Scenario: Prompts of many parts are remembered only up to a bound
    Given a daemon that has 100 MB of memory and 2000 descriptors
    When 8 callers send 75 generations each, whose prompts have 1200 parts
    Then the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

  Scenario: Heads of many headers do not end the daemon
    Given a daemon that has 120 MB of memory and 2000 descriptors
    And its servers take 1000 ms for each answer
    When 200 callers send 5 lookups each, whose heads have 1900 headers
    Then the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

  Scenario: A single request with many headers and prompt parts is served
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When a caller sends a lookup whose head has 1900 headers
    And a caller sends a generation whose prompt has 1200 parts
    Then both are answered 200
