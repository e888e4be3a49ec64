Feature: Requests on the platform, from the caller to the server

  Guards against orders that run twice, streams that arrive incomplete, stage results
  that are freed too early or never, and headers that callers may not set.  Daemons and
  the key-value store run as processes, with stand-ins of the servers.

  Scenario: A generation runs its stages and its stream arrives complete
    Given a site with two daemons
    When a caller requests a generation with pieces "2,3"
    Then the caller receives 200 with 4 events and the seal
    And the engine received the results of the last stage, and all results are freed
    And each server received the team "red" but no key

  Scenario: Reserved headers of a caller are not forwarded
    Given a site with two daemons
    When a caller sets headers that are reserved for the platform
    Then the caller receives 200
    And no server received these headers

  Scenario Outline: Requests without a valid key, route or identifier are refused
    Given a site with two daemons
    When a caller sends a lookup with <fault>
    Then the caller receives <status>
    And no server executed a request

    Examples:
      | fault               | status |
      | an unknown key      | 401    |
      | an unrouted path    | 404    |
      | no identifier       | 400    |

  Scenario: An order is sent to another server if the first one refuses it
    Given a site with two daemons
    When the server "desk-1" is full and a caller sends 6 orders
    Then every order was answered 200 and executed once

  Scenario: An order that may have run is not retried
    Given a site with two daemons
    When the servers "desk-1, desk-2" lose answers and a caller sends 6 orders
    Then every order was answered 502 and executed once

  Scenario: A lookup whose answer was lost is retried
    Given a site with two daemons
    When the server "desk-1" loses answers and a caller sends 4 lookups
    Then every lookup was answered 200

  Scenario: A successful answer without the server's seal is not passed on
    Given a site with two daemons
    When the servers "desk-1, desk-2" answer without the seal and a caller sends 2 orders
    Then every order was answered 502 and executed once

  Scenario: An interrupted stream continues at another server if the route allows it
    Given a site with two daemons whose streams may be resumed
    When an engine interrupts its streams and a caller requests 3 generations
    Then every stream has the events 1 to 4, each once and in order

  Scenario: Stage results are freed while the engine still reads the prompt
    Given a site with two daemons
    When engines take 3000 ms to the first event
    Then the stage results are freed within 1500 ms

  Scenario: Stages run again for an interrupted stream whose results were freed
    Given a site with two daemons whose streams may be resumed
    When an engine interrupts its streams and a caller requests 3 generations
    Then no engine received results that had been freed

  Scenario: A caller can detect that an interrupted stream is incomplete if it was not resumed
    Given a site with two daemons
    When both engines interrupt their streams and a caller requests a generation
    Then the caller detects that the stream is incomplete

  Scenario: A revoked key is refused by every daemon
    Given a site with two daemons
    When the key of the team "red" is revoked
    Then within 1500 ms both daemons refuse the key with 401

  Scenario: A draining server receives no new requests
    Given a site with two daemons
    When the server "desk-1" announces that it is draining
    Then within 1000 ms only "desk-2" receives requests

  Scenario: A server that says in an answer that it leaves receives no new requests
    Given a site with two daemons
    When the server "desk-1" says in its answers that it leaves
    Then within 1000 ms only "desk-2" receives requests

  Scenario: A stopping daemon becomes unready immediately and finishes its streams
    Given a site with two daemons
    When a daemon receives SIGTERM while it relays a generation
    Then the daemon becomes unready within 300 ms and the stream arrives complete
    And the daemon exits without being killed

  Scenario: A stopping daemon that receives further signals exits without being killed
    Given a site with two daemons
    When a daemon receives SIGTERM and SIGHUP every 2 ms until it has ended
    Then the daemon exits without being killed

  Scenario: A daemon that receives SIGHUP while it starts becomes ready
    Given a site with two daemons
    When a daemon restarts and receives SIGHUP every 2 ms until it is ready
    Then it is ready and was not killed

  Scenario Outline: A stopping daemon answers the requests that it can't finish
    Given a site with two daemons
    And <servers> that take longer than the grace period
    When a daemon receives SIGTERM while a generation waits for them
    Then the caller receives <status> before the daemon exits

    Examples:
      | servers       | status |
      | engines       | 502    |
      | stage servers | 503    |

  Scenario: Requests with a prompt part that crashes engines stop reaching engines
    Given a site with two daemons
    And engines that crash on one prompt part
    When callers send 9 generations with the part through both daemons, and sound ones between them
    Then at most 5 engines crashed
    And the last 3 generations with the part were refused as not run
    And all sound generations were answered
    When a daemon restarts and gets 2 generations with the part
    Then no further engine crashed

  Scenario: A prompt part that crashes engines is refused although all daemons are killed between the crashes
    Given a site with two daemons
    And engines that crash on one prompt part
    When 6 generations with the part are sent, and all daemons are killed and start again after each
    Then at most 3 engines crashed

  Scenario Outline: A request that crashes servers is refused when it comes again
    Given a site with two daemons
    And servers that crash on one request
    When <request> comes 6 times through both daemons, and others between them
    Then at most 3 servers crashed
    And all others were answered

    Examples:
      | request                            |
      | an order                           |
      | a lookup                           |
      | a generation after its first event |
