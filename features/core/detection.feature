Feature: Failure detection in large fleets

  Guards against control traffic that grows with the fleet, members and failure domains
  that are taken for failed in calm, under lost packets or after a pause, and failures
  that are noticed late or not by all.

  Scenario Outline: In calm each daemon sends and receives little, and nobody is suspect
    Given a fleet of <daemons> daemons in <domains> failure domains
    When 20 s go by in calm
    Then each daemon sent at most 10 and received at most 16 messages a second
    And at no time was a member lost or a domain silent

    Examples:
      | daemons | domains |
      | 19      | 5       |
      | 87      | 3       |
      | 195     | 5       |
      | 400     | 15      |

  Scenario Outline: All daemons that start together hear of each other
    Given a fleet of <daemons> daemons in 5 failure domains
    When <ms> ms go by in calm
    Then every daemon holds every other one for live

    Examples:
      | daemons | ms   |
      | 19      | 1000 |
      | 195     | 4000 |
      | 400     | 8000 |

  Scenario Outline: A daemon that ends is lost for all within 6 s
    Given a fleet of <daemons> daemons in 5 failure domains that know each other
    When 3 daemons end and 6000 ms pass
    Then no daemon holds one of them for live
    And every other daemon is held for live by all

    Examples:
      | daemons |
      | 19      |
      | 87      |
      | 195     |

  Scenario Outline: A failure domain that is cut off is silent for all within 2 s
    Given a fleet of <daemons> daemons in 5 failure domains that know each other
    When one failure domain is cut off and 2000 ms pass
    Then each daemon outside holds just this domain for silent
    When 3000 ms more go by
    Then most daemons outside hold a majority, and none in the domain does
    When the cut ends and 2500 ms pass
    Then no daemon holds a domain for silent
    And every daemon holds every other one for live

    Examples:
      | daemons |
      | 19      |
      | 87      |
      | 195     |

  Scenario Outline: Lost packets and slow members lose nobody
    Given a fleet of 87 daemons in 3 failure domains that know each other
    When <fault> for 20 s
    Then at no time was a member lost

    Examples:
      | fault                                                |
      | 1 of 10 messages is lost                             |
      | 5 daemons stand still for 1500 ms, one after another |
      | 2 daemons receive nothing from one other domain      |
      | the rounds of all daemons are late by up to 400 ms   |

  Scenario: A daemon that stood still for 5 s suspects nobody when it goes on
    Given a fleet of 87 daemons in 3 failure domains that know each other
    When one daemon stands still for 5000 ms and 300 ms pass
    Then it holds every other daemon for live and no domain for silent

  Scenario: A daemon that restarts is live for all, and knows who is
    Given a fleet of 195 daemons in 5 failure domains that know each other
    When 3 daemons end and 6000 ms pass
    And one of them starts again and 4000 ms pass
    Then it is held for live by all, and holds just the running ones for live

  Scenario: A member that one daemon holds for lost although it lives is found live again
    Given a fleet of 195 daemons in 5 failure domains that know each other
    When one daemon holds 10 others for lost and 2500 ms more go by
    Then every daemon holds every other one for live

  Scenario: A silent domain in which nobody is known is not passed on
    Given a fleet of 87 daemons in 3 failure domains that know each other
    When one daemon is told that the domain "elsewhere" is silent and 1500 ms more go by
    Then no daemon holds a domain for silent

  Scenario: A holder of a duty that is silent is checked at once
    Given a fleet of 87 daemons in 3 failure domains that know each other
    When a daemon that sends regular heartbeats ends and 1000 ms pass
    Then no daemon holds it for live
