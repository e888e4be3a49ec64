Feature: Crowds of callers that hold connections

  Guards against callers that hold all connections of a daemon without using them, so that
  ordinary callers get no answer, the balancer's status checks fail, and the process grows
  until it ends.

  Scenario Outline: A crowd does not keep out ordinary callers
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When <count> callers <behaviour> at its <address> address for 10 s
    Then an ordinary request was answered meanwhile
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | count | behaviour                                                | address |
      | 400   | send nothing                                             | callers |
      | 400   | send one byte                                            | callers |
      | 400   | announce a body and do not send it                       | callers |
      | 400   | send refused requests and read little                    | callers |
      | 400   | send an answered request and nothing more                | callers |
      | 400   | send requests without the usual headers and read nothing | callers |
      | 400   | send requests that match no route and read nothing       | callers |
      | 100   | send a body in chunks of one byte                        | callers |
      | 100   | send nothing                                             | ready   |
      | 100   | send one byte                                            | ready   |
      | 400   | send requests for the readiness path and read nothing    | ready   |
      | 100   | send nothing                                             | metrics |

  Scenario: A crowd that sends valid requests does not keep out ordinary callers
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When 400 callers send valid requests and read nothing at its callers address for 10 s
    Then an ordinary request was answered meanwhile
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

  Scenario Outline: A crowd with valid keys that keeps its connections does not keep out others
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When 400 callers <behaviour> at its callers address for 10 s
    Then an ordinary request was answered meanwhile
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | behaviour                              |
      | send valid requests and read little    |
      | send a valid request after each answer |

  Scenario Outline: A crowd with valid tokens does not keep out others on the own interface
    Given a daemon of the own interface that has 120 MB of memory and 2000 descriptors
    When 400 callers <behaviour> at its callers address for 10 s
    Then an ordinary request was answered meanwhile
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | behaviour                              |
      | send valid requests and read nothing   |
      | send valid requests and read little    |
      | send a valid request after each answer |

  Scenario Outline: A crowd does not fill the memory of a daemon of the own interface
    Given a daemon of the own interface that has 120 MB of memory and 2000 descriptors
    When <count> callers <behaviour> at its <address> address for 10 s
    Then an ordinary request was answered meanwhile
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | count | behaviour                                                | address   |
      | 600   | send requests without the usual headers and read nothing | callers   |
      | 600   | send requests for the readiness path and read nothing    | callers   |
      | 600   | send requests that match no route and read nothing       | callers   |
      | 400   | send nothing                                             | callers   |
      | 600   | send requests without the usual headers and read nothing | operators |
      | 100   | send nothing                                             | operators |

  Scenario Outline: A crowd at the peers' address does not fill the memory of a daemon
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When <count> callers <behaviour> at its peers address for 10 s
    Then an ordinary request was answered meanwhile
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | count | behaviour                             |
      | 50    | send HTTP/2 prefaces and read nothing |
      | 50    | send HTTP/2 pings and read nothing    |
      | 1500  | send nothing                          |

  Scenario Outline: A daemon of the own interface stops beside a crowd
    Given a daemon of the own interface that has 120 MB of memory and 2000 descriptors
    When 400 callers <behaviour> at its <address> address while it is stopped
    Then each stopped daemon exited with 0

    Examples:
      | behaviour                                                | address   |
      | send nothing                                             | callers   |
      | send requests without the usual headers and read nothing | callers   |
      | send requests without the usual headers and read nothing | operators |

  # Other seeds: behave -D seed_offset=N -n Overlapping features/callers/crowds.feature
  Scenario Outline: Overlapping crowds and restarts, by seed
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When crowds of seed <seed> overlap for 15 s while the daemon restarts
    Then an ordinary request was answered meanwhile
    And each stopped daemon exited with 0
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Other seeds: behave -D seed_offset=N -n "with valid keys overlap" features/callers/crowds.feature
  Scenario Outline: Crowds with valid keys overlap with others, by seed
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When crowds of seed <seed>, also with valid keys, overlap for 15 s
    Then an ordinary request was answered meanwhile
    And each stopped daemon exited with 0
    And the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | seed |
      | 1    |
      | 2    |
