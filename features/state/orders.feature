Feature: Order logs in a store that comes back from an older copy

  Guards against an order that runs twice because the store has lost its claim.

  Scenario Outline: A repeat of an order whose claim the store lost is not claimed again
    Given a store, a copy of it, and two daemons that claim orders
    When the first daemon claims order "a", and the store comes back from the copy
    And the <repeat> daemon claims order "a" again
    Then the claim is refused since the order may have run

    Examples:
      | repeat |
      | first  |
      | second |
      | newly started |

  Scenario: Orders that are created after the drill are claimed
    Given a store, a copy of it, and two daemons that claim orders
    When the first daemon claims order "a", and the store comes back from the copy
    And the second daemon claims order "a" again
    And the second daemon claims order "b" that is new
    Then the claim is granted

  Scenario: A claim that the copy has is still known after the drill
    Given a store and two daemons that claim orders
    When the first daemon claims order "a", and the store is copied and comes back
    And the second daemon claims order "a" again
    Then the claim is refused since the order may have run

  Scenario Outline: A claim does not count if its condition was met in another era
    Given a store, a copy of it, and two daemons that claim orders
    When the first daemon claims order "a", and the store comes back from the copy at once
    And the <repeat> daemon claims order "a" again
    Then the claim is refused since the order may have run

    Examples:
      | repeat |
      | first  |
      | second |

  Scenario: A log that is created in another era than it was looked for does not count
    Given a store without an order log and two daemons that claim orders
    When the second daemon is about to create the log for order "a"
    But the first daemon claims it before, and the store comes back from the copy
    Then the claim is refused since the order may have run
