Feature: Decoding of the operator's document

  Guards against a value of a wrong type that is taken for another one, and so opens a
  route, lifts a limit or makes a key of each character of a text.

  Scenario Outline: A value of a wrong type or out of range is refused with its place
    Given an operator's valid document
    When "<field>" is set to <value>
    Then it is refused with "<cause>"

    Examples:
      | field                      | value        | cause                                            |
      | version                    | "8"          | document: version: expected a number, not str    |
      | version                    | true         | document: version: expected a number, not bool   |
      | tenants                    | {}           | tenants: expected a list, not dict               |
      | tenants                    | ""           | tenants: expected a list, not str                |
      | tenants                    | 0            | tenants: expected a list, not int                |
      | tenants                    | false        | tenants: expected a list, not bool               |
      | tenants                    | null         | tenants: expected a list, not NoneType           |
      | tenants.1                  | ["two"]      | tenants.1: expected an object, not list          |
      | tenants.1.name             | ""           | tenants.1: name: expected a text that is not empty |
      | tenants.1.name             | 7            | tenants.1: name: expected a text, not int        |
      | tenants.1.name             | null         | tenants.1: name: expected a text, not NoneType   |
      | tenants.1.priority         | "1"          | tenants.1: priority: expected a number, not str  |
      | tenants.1.priority         | []           | tenants.1: priority: expected a number, not list |
      | tenants.1.priority         | -1           | tenants.1: priority: expected a number from 0    |
      | tenants.1.api_keys         | "abc"        | tenants.1: api_keys: expected a list, not str    |
      | tenants.1.api_keys         | {"abc": 1}   | tenants.1: api_keys: expected a list, not dict   |
      | tenants.1.api_keys         | ["abc", 7]   | tenants.1: api_keys: expected a text, not int    |
      | tenants.1.api_keys         | [null]       | tenants.1: api_keys: expected a text, not NoneType |
      | routes                     | {}           | routes: expected a list, not dict                |
      | routes.1                   | []           | routes.1: expected an object, not list           |
      | routes.1.public            | "false"      | routes.lookup: public: expected true or false, not str |
      | routes.1.public            | 1            | routes.lookup: public: expected true or false, not int |
      | routes.1.resumable         | "no"         | routes.lookup: resumable: expected true or false, not str |
      | routes.1.max_attempts      | -1           | routes.lookup: max_attempts: expected a number from 0 |
      | routes.1.max_attempts      | "2"          | routes.lookup: max_attempts: expected a number, not str |
      | routes.1.timeout_ms        | "1500"       | routes.lookup: timeout_ms: expected a number, not str |
      | routes.1.traffic_split     | {}           | routes.lookup: traffic_split: expected a list, not dict |
      | routes.2.stages            | {}           | routes.generation: stages: expected a list, not dict |
      | routes.2.stages.1.after    | "0"          | routes.generation: stages: after: expected a list, not str |
      | services                   | {}           | services: expected a list, not dict              |
      | services.0.name            | 7            | services.0: name: expected a text, not int         |
      | services.0.max_connections | false        | services.0: max_connections: expected a number, not bool |
      | services.0.cold_per_s      | ""           | services.0: cold_per_s: expected a number, not str |
      | services.1.pieces          | {}           | services.1: pieces: slots: the value is absent            |
      | services.3.engine          | []           | services.3: engine: expected an object, not list   |
      | limits                     | []           | limits: expected an object, not list             |
      | limits.max_header_bytes    | -1           | limits: max_header_bytes: expected a number from 0 |
      | limits.max_body_bytes      | "1"          | limits: max_body_bytes: expected a number, not str |

  Scenario Outline: An optional value that is null is as if it were absent
    Given an operator's valid document
    When "<field>" is set to null
    Then it is decoded as without "<field>"

    Examples:
      | field                   |
      | tenants.1.priority      |
      | tenants.1.api_keys      |
      | routes.1.public         |
      | routes.1.max_attempts   |
      | routes.2.stages         |
      | services.0.cold_per_s   |
      | services.0.engine       |
      | limits                  |
      | limits.max_header_bytes |
