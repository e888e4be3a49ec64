Feature: Fair turns by work done, in one daemon and over the fleet

  Scenario: A team that bursts does not delay the others beyond their shares
    Given a fair queue with shares a=1 and b=1
    When team a queues 100 requests of 10 tokens and then team b queues 5
    Then b's 5 requests are among the first 11 to be served

  Scenario: Turns are counted in work, not in requests
    Given a fair queue with shares a=1 and b=1
    When team a queues 20 requests of 100 tokens and team b queues 200 of 10
    Then of the first 1000 tokens that are served, each team got from 400 to 600

  Scenario: Shares weigh the turns
    Given a fair queue with shares a=3 and b=1
    When team a queues 400 requests of 10 tokens and team b queues 400 of 10
    Then of the first 1000 tokens that are served, team a got from 700 to 800

  Scenario: An idle team can't save turns
    Given a fair queue with shares a=1 and b=1
    When team a is served 100 requests of 10 tokens alone
    And team a queues 50 requests of 10 tokens and team b queues 50 of 10
    Then of the first 400 tokens that are served, each team got from 180 to 220

  Scenario: Within a team the earliest deadline is first, and the past ones are dropped
    Given a fair queue with shares a=1 and b=1
    When team a queues requests with deadlines at 500, 90, 300 and 200 ms
    Then at 100 ms they are served in the order 200, 300, 500

  Scenario Outline: A pool is divided weighted max-min fair
    Given <capacity> slots and the demands <demands> with the shares <shares>
    Then the teams are given <given>

    Examples:
      | capacity | demands       | shares      | given            |
      | 12       | a=20 b=20     | a=2 b=1     | a=8 b=4          |
      | 12       | a=2 b=20      | a=2 b=1     | a=2 b=10         |
      | 12       | a=2 b=3 c=20  | a=1 b=1 c=1 | a=2 b=3 c=7      |
      | 12       | a=2 b=3       | a=1 b=1     | a=2 b=3          |
      | 0        | a=2           | a=1         | a=0              |

  Scenario: Every daemon computes the same caps, and they add up
    Then for 200 random demands the caps of all daemons add up to the team's part

  Scenario: A team within its part has no cap, whoever bursts
    Then for 200 random demands a team that wants less than its fair part has no cap
