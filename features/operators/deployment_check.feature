Feature: The command that checks a settings document

  Guards against a check that stops at the first problem, reports success for a document
  with errors, or prints API keys.

  Scenario Outline: The exit status tells whether the document may be written
    Given an operator's valid document
    And a version in force that is <in force>
    When "<field>" is set to <value>
    And an operator checks it against the version in force
    Then the check ends with status <status> and prints "<words>"
    And it prints no API key

    Examples:
      | in force    | field               | value         | status | words                      |
      | older       | version             | 8             | 0      | ~ version: 7 -> 8          |
      | older       | routes.1.timeout_ms | 1             | 1      | error: routes[1].objective |
      | older       | routes.1.kind       | "<b>"         | 1      | ~ routes[lookup].kind      |
      | older       | tenants.1.api_keys  | ["first-key"] | 1      | 'firs…'                    |
      | older       | routes.1.name       | "first-key"   | 0      | + routes[firs…]            |
      | older       | routes.1.kind       | "first-key"   | 1      | routes.lookup: KeyError: 'firs…' |
      | older       | routes.1.service    | "second-key"  | 1      | there is no service 'seco…' |
      | older       | tenants             | []            | 0      | - tenants[one]             |
      | older       | tenants             | []            | 0      | refused with 401           |
      | older       | tenants             | [{"name": "one"}] | 0  | refused with 401           |
      | older       | tenants             | null          | 1      | tenants: expected a list   |
      | older       | tenants             | null          | 1      | daemons ignore the document |
      | not JSON    | version             | 8             | 2      | 0 errors                   |
      | not a file  | version             | 8             | 2      | 0 errors                   |
      | not decoded | version             | 8             | 2      | + version: 8               |
      | unreachable | version             | 8             | 5      | 0 errors                   |
      | unreachable | routes.1.timeout_ms | 1             | 1      | error: routes[1].objective |

  Scenario: A section of teams that was left out is an error
    Given an operator's valid document
    And a version in force that is older
    When the teams of the document are absent
    And an operator checks it against the version in force
    Then the check ends with status 1 and prints "error: teams: the section is absent"
    And it prints no API key

  Scenario: Findings and differences are bounded in number
    Given an operator's valid document
    And a version in force that is older
    When 1200 routes of an unknown service are added
    And an operator checks it against the version in force
    Then the check ends with status 1 and prints "and 1100 more findings"
    And the check ends with status 1 and prints "and 1001 more differences"
