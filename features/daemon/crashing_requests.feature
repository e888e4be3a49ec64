Feature: Requests that crash servers in bursts

  Guards against a request that crashes each server that runs it and comes through several
  daemons within a moment, and against refusing the sound requests that are lost beside it.

  Scenario Outline: A request that crashes servers within a moment is refused once they are back
    Given a site with 3 daemons and 4 order desks
    And servers that crash 50 ms after they receive one request
    When <request> comes 3 times, 120 ms apart, through one daemon after the other
    And the crashed servers are back
    And it comes 6 times at the same moment through all daemons
    Then at most 3 copies of it reached servers

    Examples:
      | request                            |
      | an order                           |
      | a lookup                           |
      | a generation after its first event |

  Scenario Outline: Copies of a request that crashed a server are tried one at a time
    Given a site with 3 daemons and 4 order desks
    And servers that crash 50 ms after they receive one request
    When <request> comes once
    And the crashed servers are back
    And it comes 6 times at the same moment through all daemons
    And the crashed servers are back
    And it comes 6 times at the same moment through all daemons
    Then at most 3 copies of it reached servers

    Examples:
      | request                            |
      | an order                           |
      | a lookup                           |
      | a generation after its first event |

  Scenario: Copies that come through other daemons right after a crash are tried, too
    Given a site with 3 daemons and 6 order desks
    And servers that crash 50 ms after they receive one request
    When a lookup comes once
    And it comes 6 times at the same moment through all daemons
    Then at most 3 copies of it reached servers

  Scenario Outline: A request that makes servers fall silent is refused once they are back
    Given a site with 3 daemons and 4 order desks
    And servers that crash 50 ms after they receive one request
    And servers that fall silent for 700 ms when they crash
    When <request> comes 6 times through all daemons, its callers leave, and others come between
    Then at most 3 copies of it reached servers
    And all others were answered

    Examples:
      | request                            |
      | an order                           |
      | a lookup                           |
      | a generation after its first event |

  Scenario: A request at servers that are silent for a while and do not restart is not suspect
    Given a site with 3 daemons and 4 order desks
    And servers that crash 50 ms after they receive one request
    And servers that fall silent for 700 ms and go on as before
    When an order comes 6 times through all daemons, its callers leave, and others come between
    Then exactly 6 copies of it reached servers
    And all others were answered

  Scenario: A prompt part that makes engines fall silent is refused
    Given a site with 3 daemons and 4 order desks
    And engines that fall silent for 700 ms on one prompt part
    When 9 generations with the part come through all daemons, their callers leave, and sound ones come between
    Then at most 5 engines crashed
    And all others were answered

  Scenario Outline: A request whose pieces crash stage servers is refused when it comes again
    Given a site with 3 daemons and 4 order desks
    And stage servers that <crash> on the pieces of one request
    When this request comes 6 times beside sound ones through all daemons
    Then at most 3 stage servers crashed
    And all others were answered

    Examples:
      | crash                   |
      | crash                   |
      | fall silent for 700 ms  |

  Scenario: Sound lookups that are lost beside requests that crash servers are answered when they come again
    Given a site with 3 daemons and 4 order desks
    And servers that crash 50 ms after they receive one request
    When 2 crashing lookups come at the same moment as 8 sound ones with their path, 4 times
    Then at most 3 copies of each crashing lookup reached servers
    And each sound lookup was answered within 5 tries

  Scenario: Lookups that are lost when all servers crash at once are answered when they come again
    Given a site with 3 daemons and 4 order desks
    When all order desks crash 3 times while 8 lookups are at them
    Then each sound lookup was answered within 5 tries

  Scenario: Equal lookups that are lost when all servers crash at once are answered when they come again
    Given a site with 3 daemons and 4 order desks
    When all daemons have answered a lookup, and all order desks crash while 9 like it are at them
    Then each sound lookup was answered within 5 tries
