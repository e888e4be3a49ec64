Feature: Memory of names and tokens that callers choose

  Guards against callers without a valid token that fill the memory of a daemon with names of
  pipelines and with tokens, which it keeps after their requests.

  Scenario Outline: Unknown names and tokens are not kept
    Given a daemon of the own interface that has 100 MB of memory and 2000 descriptors
    When 8 callers send 1500 requests each with <content> of 12000 characters
    Then the daemon is alive and used at most its memory and its descriptors
    And its metrics take at most 1 MB
    And an ordinary request is answered afterwards

    Examples:
      | content            |
      | names of pipelines |
      | names of services  |
      | tokens of a team   |
