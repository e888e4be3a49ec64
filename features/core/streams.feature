Feature: Records of the software version that began a stream

  Guards against a stream that goes on at another version than the one that began it, since
  its record was lost, came from another daemon or was never made, and against refusing
  streams that only one version can have begun.

  Scenario: Without another version every stream belongs to the only one
    Given daemons "a, b" that see the versions "v1"
    When stream "s" begins with "v1" at daemon "a"
    Then daemon "b" takes stream "s" for one of "v1" by "only version"
    And daemon "a" announces no stream

  Scenario: Peers learn of a stream that begins while there are two versions
    Given daemons "a, b" that see the versions "v1, v2"
    When stream "s" begins with "v2" at daemon "a"
    And daemon "a" sends a heartbeat to "b"
    Then daemon "b" takes stream "s" for one of "v2" by "a"
    And daemon "b" does not know stream "other"

  Scenario: Streams that began before the second version came are announced when it comes
    Given daemons "a, b" that see the versions "v1"
    When stream "s" begins with "v1" at daemon "a"
    And 2000 ms pass, and all daemons see the versions "v1, v2"
    And daemon "a" sends a heartbeat to "b"
    Then daemon "b" takes stream "s" for one of "v1" by "a"

  Scenario: A version that has just left still may have begun a stream
    Given daemons "a" that see the versions "v1, v2"
    When 20000 ms pass, and all daemons see the versions "v2"
    Then daemon "a" does not know stream "s"
    When 30000 ms pass, and all daemons see the versions "v2"
    Then daemon "a" takes stream "s" for one of "v2" by "only version"

  Scenario: Streams are exported until no record in the store names two versions
    Given daemons "a" that see the versions "v1, v2"
    When 29000 ms pass, and all daemons see the versions "v2"
    And 69000 ms pass, and all daemons see the versions "v2"
    Then daemon "a" exports streams
    When 2000 ms pass, and all daemons see the versions "v2"
    Then daemon "a" does not export streams

  Scenario: Daemons do not keep a version that has left by telling each other of it
    Given daemons "a, b" that see the versions "v1, v2"
    When all daemons see the versions "v2", and tell each other each 10000 ms for 70000 ms
    Then daemon "a" takes stream "s" for one of "v2" by "only version"
    And daemon "b" takes stream "s" for one of "v2" by "only version"

  Scenario Outline: A daemon that starts learns versions and streams from the store
    Given daemons "a, b" that see the versions "v1, v2"
    When stream "s" begins with "v1" at daemon "a"
    And all daemons are replaced by "c", which sees the versions "<seen>" and reads what "a" wrote
    Then daemon "c" takes stream "s" for one of "v1" by "store"
    And daemon "c" does not know stream "other"

    Examples:
      | seen   |
      | v1, v2 |
      | v2     |

  Scenario: A heartbeat repeats a stream three times, and the latest streams fit
    Given daemons "a, b" that see the versions "v1, v2"
    When 500 streams begin with "v1" at daemon "a"
    Then daemon "a" announces 96 streams, the latest among them, for 375 ms

  Scenario: Records are bounded
    Given daemons "a" that see the versions "v1, v2"
    When 70000 streams begin with "v1" at daemon "a"
    Then daemon "a" has 65536 records

  Scenario Outline: A key of the store that can't be read names no stream
    Given the key of a daemon's streams with <content>
    Then the key is not valid

    Examples:
      | content                               |
      | {"versions":[],"streams":[["s","v"]]} |
      | {"versions":[["s"]],"streams":[]}     |
      | {"versions":[],"streams":[["s","v",["x"]]]} |
      | []                                    |
      | {                                     |

  Scenario: A daemon that stood still does not trust what waited for it
    Given a daemon that hears "a, b" with fresh views of the store
    Then its knowledge is current
    When it stands still for 2000 ms
    Then its knowledge is not current
    When it hears "a, b" once
    Then its knowledge is not current
    When it hears "a, b" for 400 ms with fresh views
    Then its knowledge is current

  Scenario: A daemon that is cut off from the store and from some daemons knows that it misses news
    Given a daemon that hears "a, b" with fresh views of the store
    When it hears "a" for 2000 ms with views that grow old
    Then its knowledge is not current

  Scenario: In an outage of the store a daemon that hears all others misses nothing
    Given a daemon that hears "a, b" with fresh views of the store
    When it hears "a, b" for 20000 ms with views that grow old
    Then its knowledge is current

  Scenario: A daemon that the store refuses hears of news from its peers
    Given a daemon that hears "a, b" with fresh views of the store
    When it hears "a" for 2000 ms with fresh views
    Then its knowledge is current

  Scenario: A daemon takes no stream for one of the only version that it knows while its knowledge is old
    Given daemons "a" that see the versions "v1"
    Then daemon "a" does not know stream "s" while its knowledge is old
