Feature: Daemons start with the settings of any deployment

  Guards against a fleet that ends at its start because a deployment has other figures
  than those seen so far: fractions in a deployment that is played at a share, limits of
  zero, absent fields, other numbers of failure domains, daemons and services.

  Scenario Outline: A daemon serves with the settings that the template gives it
    Given the settings template filled in for <deployment>
    When a daemon starts with them
    Then it is ready, and a caller's lookup is answered 200

    Examples:
      | deployment                         |
      | a share of a deployment            |
      | a deployment without retries       |
      | a deployment with large limits     |
      | a deployment with absent figures   |
      | a deployment of one domain         |
      | a deployment of 15 domains         |
      | a deployment of 400 daemons        |
      | a deployment without engines       |
      | a deployment without stages        |

  Scenario Outline: Settings out of range are refused with line, value and limit
    Given the settings template filled in for a share of a deployment
    When "<field>" is filled in with "<value>"
    Then the settings are refused on the line of "<key>" with "<expected>"

    Examples:
      | field                     | value | key             | expected                        |
      | bounds.budget_min_retries | -1    | fixed           | a finite number from 0, not -1  |
      | bounds.budget_min_retries | .inf  | fixed           | a finite number from 0, not inf |
      | bounds.retry_budget_ratio | many  | ratio           | from 0, not 'many'              |
      | bounds.budget_window_s    | 0     | window          | from 1ms, not 0ms               |
      | bounds.grace_s            | -8    | grace           | 1h, not '-8s'                   |
      | limits.cores              | 0     | cores           | a finite number above 0, not 0  |
      | limits.cpu_share          | .nan  | cpu_share       | above 0, not nan                |
      | limits.max_fds            | true  | max_descriptors | above 0, not True               |
      | listen.front              | :     | callers         | up to 65535, not ':'            |
      | listen.ready_addr         | a:0   | ready           | up to 65535, not 'a:0'          |
      | platform.address          | a:7e4 | address         | up to 65535, not 'a:7e4'        |

  Scenario: A route's traffic is split by weights that are fractions
    When a route sends 0.25 of its traffic to one service and 0.75 to another
    Then of 4000 requests 850 to 1150 go to the first
