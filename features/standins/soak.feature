# Faults that overlap with load and with each other can break guarantees that hold under
# each fault alone: an order runs twice, or a caller gets another request's answer.
Feature: Guarantees hold under load and random faults

  Scenario: Crashes, freezes, outages, lost answers, refusals and racing changes
    When load runs under random faults for 15 s with the seed 3
    Then nothing that must never happen was seen
    And every kind of request was answered at least once
