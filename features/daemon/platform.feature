Feature: The whole path on the platform's stand-ins

  Scenario: A generation passes its stages and its stream arrives whole
    Given a site with two daemons
    When a caller asks for a generation with pieces "2,3"
    Then the caller gets 200 with 4 events, sealed and whole
    And the engine was given the results of the last stage, and all results are freed
    And the server saw the team "red" and not the key

  Scenario: What the caller may not set does not reach a server
    Given a site with two daemons
    When a caller sets headers that are the system's to set
    Then the caller gets 200
    And none of these headers reached a server

  Scenario Outline: A key, a route and settings decide before anything runs
    Given a site with two daemons
    When a caller's lookup has <fault>
    Then the caller gets <status>
    And no server ran anything

    Examples:
      | fault               | status |
      | an unknown key      | 401    |
      | a path of no route  | 404    |
      | no identifier       | 400    |

  Scenario: An order whose server refuses goes to another one
    Given a site with two daemons
    When the server "desk-1" is full and a caller sends 6 orders
    Then every order was answered 200 and ran once

  Scenario: An order that may have run is never sent again
    Given a site with two daemons
    When the servers "desk-1, desk-2" lose answers and a caller sends 6 orders
    Then every order was answered 502 and ran once

  Scenario: A lookup whose answer was lost is asked again
    Given a site with two daemons
    When the server "desk-1" loses answers and a caller sends 4 lookups
    Then every lookup was answered 200

  Scenario: A success without the server's proof is not passed on
    Given a site with two daemons
    When the servers "desk-1, desk-2" answer without proof and a caller sends 2 orders
    Then every order was answered 502 and ran once

  Scenario: A stream that breaks off goes on at another server where it may
    Given a site with two daemons whose streams may be resumed
    When an engine breaks its streams off and a caller asks for 3 generations
    Then every stream has the events 1 to 4, once and in order

  Scenario: Results are freed while the engine still reads the prompt
    Given a site with two daemons
    When an engine takes 3000 ms to its first event
    Then the results that it was given are freed within 1500 ms

  Scenario: A stream goes on with results that are made again after they were freed
    Given a site with two daemons whose streams may be resumed
    When an engine breaks its streams off and a caller asks for 3 generations
    Then no engine was given results that were freed before

  Scenario: A stream that breaks off and may not be resumed does not look complete
    Given a site with two daemons
    When both engines break their streams off and a caller asks for a generation
    Then the caller sees that the stream is not whole

  Scenario: A revoked key is refused by every daemon
    Given a site with two daemons
    When the key of the team "red" is taken away
    Then within 1500 ms both daemons refuse it with 401

  Scenario: A server that drains gets no new request
    Given a site with two daemons
    When the server "desk-1" says that it drains
    Then within 1000 ms only "desk-2" gets requests

  Scenario: A daemon told to stop is unready at once and finishes its streams
    Given a site with two daemons
    When a daemon gets SIGTERM while it passes on a generation
    Then it is unready within 300 ms and the stream arrives whole
    And it ends by itself
