Feature: Check of a settings document

  Guards against documents that take effect at all daemons and then serve nobody: entries
  that never match, limits that contradict each other, versions that are ignored.

  Scenario: A valid document has no findings
    Given an operator's valid document
    Then its check has no findings

  Scenario Outline: A problem is found with its place, severity and values
    Given an operator's valid document
    When "<field>" is set to <value>
    Then its check has only the <severity> at "<path>" with "<words>"

    Examples:
      | field                      | value                           | severity | path                         | words              |
      | version                    | 7                               | error    | version                      | 7 is not above 7   |
      | routes.1.prefix            | "/order/"                       | error    | routes[1].prefix             | routes[0]          |
      | routes.1.prefix            | "lookup/"                       | error    | routes[1].prefix             | begin with /       |
      | routes.1.hostname          | "A.example"                     | warning  | routes[1].host               | only in case       |
      | routes.0.timeout_ms        | 0                               | error    | routes[0].timeout            | 0 ms               |
      | routes.0.target_latency_ms | 1501                            | error    | routes[0].objective          | 1501 ms            |
      | routes.2.target_latency_ms | 1501                            | warning  | routes[2].objective          | 6004 ms            |
      | routes.1.service           | "unknown"                       | error    | routes[1].targets[0].service | 'unknown'          |
      | routes.1.service           | ["x"]                           | error    | routes[1].targets[0].service | no service         |
      | routes.2.stages.1.after    | [1]                             | error    | routes[2].stages[1].after    | stage 1            |
      | routes.2.stages.1.after    | [-1]                            | error    | routes[2].stages[1].after    | stage -1           |
      | routes.2.stages.0.after    | [1]                             | error    | routes[2].stages[0].after    | stage 1            |
      | routes.2.stages.1.byte_count | 1000001                       | error    | routes[2].stages[1].result   | 1000001 bytes      |
      | services.4                 | {"name": "spare"}               | warning  | services[4]                  | 'spare'            |
      | services.4                 | {"name": "desk"}                | error    | services[4].name             | services[0]        |
      | services.0.cold_start_s    | 3.0                             | warning  | services[0].cold_start       | 3000 ms            |
      | tenants.2                  | {"name": "third"}               | warning  | teams[2].keys                | 'third'            |
      | tenants.2                  | {"api_keys": []}                | warning  | teams[2].keys                | has no key         |
      | tenants.2                  | {"name": "third", "api_keys": null} | warning | teams[2].keys             | 'third'            |
      | tenants.1.name             | "one"                           | warning  | teams[1].name                | teams[0]           |
      | tenants.1.api_keys         | ["first-key"]                   | error    | teams[1].keys[0]             | 'firs…'            |
      | tenants.1.api_keys         | [""]                            | error    | teams[1].keys[0]             | not empty          |
      | tenants.1.api_keys         | ["k", " k"]                     | error    | teams[1].keys[1]             | without spaces     |
      | tenants.1.api_keys         | ["cl\u00e9"]                    | error    | teams[1].keys[0]             | printable ASCII    |
      | limits.max_body_bytes      | 32000001                        | error    | limits.body                  | 32000000 bytes     |

  Scenario Outline: Teams without a key, and their absence, are reported with what follows
    Given an operator's valid document
    When the teams of the document are <teams>
    Then its check after a version <before> has only the <severity> at "teams" with "<words>"

    Examples:
      | teams                                    | before        | severity | words                                   |
      | []                                       | with teams    | warning  | no team has a key: all requests on 3 routes |
      | absent                                   | without teams | warning  | all requests on 3 routes                |
      | absent                                   | with teams    | error    | the version in force has it             |

  Scenario Outline: Public routes are served whatever the teams are
    Given an operator's valid document
    When all its routes are public
    And the teams of the document are <teams>
    Then its check has no findings

    Examples:
      | teams  |
      | []     |
      | absent |

  Scenario Outline: A stage needs a service with a stage pool
    Given an operator's valid document
    When "routes.2.stages.1.service" is set to <value>
    Then its check has the error at "routes[2].stages[1].service" with "<words>"

    Examples:
      | value     | words         |
      | "desk"    | no stage pool |
      | "unknown" | no service    |

  Scenario Outline: A difference names the row and masks API keys
    Given an operator's valid document
    When "<field>" is set to <value>
    Then its only difference is "<path>" from <old> to <new>

    Examples:
      | field               | value                                | path                     | old       | new                                      |
      | routes.1.timeout_ms | 1600                                 | routes[lookup].timeout_ms | 1500     | 1600                                     |
      | routes.1.public     | 0                                    | routes[lookup].public    | false     | 0                                        |
      | services.4          | {"name": "spare"}                    | services[spare]          | nothing   | {"name": "spare"}                        |
      | tenants.0.api_keys  | []                                   | tenants[one].api_keys    | ["firs…"] | nothing                                  |
      | tenants.2           | {"name": "c", "api_keys": ["third-key"]} | tenants[c]           | nothing   | {"api_keys": ["thir…"], "name": "c"}     |
      | tenants.2           | {"name": "c", "api_key": "third-key"} | tenants[c]              | nothing   | {"api_key": "thir…", "name": "c"}        |
      | tenants.2           | {"name": "c", "api_keys": {"third-key": 1}} | tenants[c]        | nothing   | {"api_keys": {"thir…": 1}, "name": "c"}  |
      | tenant              | [{"name": "c", "api_keys": ["third-key"]}]  | tenant            | nothing   | [{"api_keys": ["thir…"], "name": "c"}]   |
