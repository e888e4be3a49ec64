Feature: Memory of a daemon under answers and bodies without end

  Guards against a faulty server, or many callers, that fill the memory of a daemon until
  its process ends with the requests of all other callers.

  Scenario: Servers that send without end do not end the daemon
    Given a site with a daemon that has 160 MB of memory and a server "desk-1" that sends without end
    When 30 lookups go to it at once again and again for 6 s
    Then the daemon used at most 160 MB
    And other callers were answered 200 all the while
    And each of the lookups was answered 200 or 502

  Scenario: Many large bodies at once do not end the daemon
    Given a site with a daemon that has 160 MB of memory and bodies up to 4 MB
    When 40 callers send 3 MB each and stop before the last byte
    Then the daemon used at most 160 MB
    And other callers were answered 200 all the while

  Scenario Outline: The largest buffer is given up at the limit
    Given a budget of 100 bytes with buffers of <sizes> bytes
    When another buffer grows to <size> bytes
    Then <given up> is given up and <used> bytes are used once it is closed

    Examples:
      | sizes  | size | given up  | used |
      | 10, 20 | 60   | none      | 90   |
      | 10, 20 | 80   | the other | 30   |
      | 10, 60 | 40   | number 2  | 50   |

  Scenario: A buffer whose bytes are in use counts, but is not given up
    Given a budget of 100 bytes with buffers of 10, 60 bytes
    When number 2 is pinned and another buffer grows to 40 bytes
    Then the other is given up and 70 bytes are used once it is closed

  Scenario Outline: A large head is taken only while there is room for usual ones
    Given a budget of 1000000 bytes with buffers of <used> bytes
    Then a head of <size> bytes is <taken>

    Examples:
      | used   | size   | taken     |
      | 100000 | 775000 | taken     |
      | 100000 | 775001 | not taken |
      | 990000 | 32768  | taken     |

  Scenario: An answer of the store without end is given up
    When the store's client reads an answer without end
    Then the call fails after at most 17 MB
