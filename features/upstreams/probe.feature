Feature: Telling a crash from a lost connection

  A process that exits closes its connections some ms before its listener, so a single
  probe right after a lost connection can miss the crash.

  Scenario Outline: A listener that <does> is <verdict> to have crashed
    Given a listener that <does>
    When it is probed after a connection to it was lost
    Then it is <verdict> to have crashed

    Examples:
      | does                  | verdict   |
      | is closed already     | found     |
      | is closed 10 ms later | found     |
      | is closed 60 ms later | found     |
      | keeps listening       | not found |
