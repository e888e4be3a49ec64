Feature: Weighted fair queueing and division of slots

  Scenario: A burst of one team does not delay another beyond their shares
    Given a fair queue with shares a=1 and b=1
    When team a queues 100 requests of 10 tokens and then team b queues 5
    Then b's 5 requests are among the first 11 to be served

  Scenario: Fairness is by work, not by number of requests
    Given a fair queue with shares a=1 and b=1
    When team a queues 20 requests of 100 tokens and team b queues 200 of 10
    Then of the first 1000 tokens that are served, each team gets from 400 to 600

  Scenario: Service is in proportion to shares
    Given a fair queue with shares a=3 and b=1
    When team a queues 400 requests of 10 tokens and team b queues 400 of 10
    Then of the first 1000 tokens that are served, team a gets from 700 to 800

  Scenario: A team accumulates no credit while it is idle
    Given a fair queue with shares a=1 and b=1
    When team a is served 100 requests of 10 tokens alone
    And team a queues 50 requests of 10 tokens and team b queues 50 of 10
    Then of the first 400 tokens that are served, each team gets from 180 to 220

  Scenario: Within a team the earliest deadline is served first and expired requests are dropped
    Given a fair queue with shares a=1 and b=1
    When team a queues requests with deadlines at 500, 90, 300 and 200 ms
    Then at 100 ms they are served in the order 200, 300, 500

  Scenario Outline: A pool's slots are divided by weighted max-min fairness
    Given <capacity> slots and the demands <demands> with the shares <shares>
    Then the allocation is <given>

    Examples:
      | capacity | demands       | shares      | given            |
      | 12       | a=20 b=20     | a=2 b=1     | a=8 b=4          |
      | 12       | a=2 b=20      | a=2 b=1     | a=2 b=10         |
      | 12       | a=2 b=3 c=20  | a=1 b=1 c=1 | a=2 b=3 c=7      |
      | 12       | a=2 b=3       | a=1 b=1     | a=2 b=3          |
      | 0        | a=2           | a=1         | a=0              |

  # Daemons that disagreed on who is capped, or rounded differently, would use more or
  # fewer slots than the team's allocation.
  Scenario: All daemons cap the same teams and their caps add up to the allocation
    Then for 200 random demands all daemons' caps add up to the team's allocation

  Scenario: A team below its fair share has no cap, whatever the others demand
    Then for 200 random demands a team below its fair share has no cap
