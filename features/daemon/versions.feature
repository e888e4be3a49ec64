Feature: Streams and the software versions of engines

  Guards against a stream that is joined from two software versions.  Engines of another
  version are in service while a stream breaks off and goes on, within its answer or in a
  caller's next attempt, at any daemon and after all of them were killed.  Engines mark
  their events with their version, so that a joined stream is seen in its text.

  Scenario: An interrupted stream does not go on at another version within its answer
    Given a site whose engines have the versions "v1, v2, v2"
    When "engine-1" interrupts its streams and 12 generations are requested
    Then no stream has events of two versions
    And streams of "v1" broke off after 2 events

  Scenario: An interrupted stream goes on at another engine of its version
    Given a site whose engines have the versions "v2, v1, v2"
    When "engine-1" interrupts its streams and 12 generations are requested
    Then no stream has events of two versions
    And every stream is whole

  Scenario Outline: A caller that takes a stream up again gets the rest from its version
    Given a site whose engines have the versions "<versions>"
    And a stream that "engine-1" broke off
    When <event>
    And the stream is taken up again 6 times through <daemons>
    Then no stream has events of two versions
    And every stream is whole

    Examples:
      | versions       | event                                             | daemons     |
      | v1, v2, v2     | nothing else happens                              | both daemons |
      | v2, v1, v3     | nothing else happens                              | both daemons |
      | v2, v1, v1     | the daemon that began the stream is killed        | the other daemon |
      | v1, v2, v2     | the store stops answering                         | the other daemon |
      | v1, v2, v2     | all daemons are killed at once and start again    | both daemons |
      | v1, v2, v2     | all engines get a new identifier and the same version | both daemons |

  Scenario: A take-up that breaks off again is taken up once more under the first attempt
    Given a site whose engines have the versions "v1, v2, v2"
    And a stream that "engine-1" broke off
    When the stream is taken up again, breaks off once more, and is taken up a third time
    Then no stream has events of two versions
    And every stream is whole

  Scenario Outline: A stream whose version is no longer served is refused at once
    Given a site whose engines have the versions "v1, v2, v2"
    And a stream that "engine-1" broke off
    When <event>
    And the entry of "engine-1" is removed
    And the stream is taken up again 2 times through both daemons
    Then every take-up was refused with 503 within 600 ms

    Examples:
      | event                                          |
      | nothing else happens                           |
      | all daemons are killed at once and start again |

  Scenario: A stream that nobody knows is refused while two versions are in service
    Given a site whose engines have the versions "v1, v2, v2"
    When a stream that nobody knows is taken up again 2 times through both daemons
    Then every take-up was refused with 503 within 600 ms

  Scenario: A stream that nobody knows goes on while one version is in service
    Given a site whose engines have the versions "v1, v1"
    When a stream that nobody knows is taken up again 2 times through both daemons
    Then no stream has events of two versions
    And every stream is whole

  Scenario: A daemon that stood still takes no stream for one of the version that it knows
    Given a site whose engines have the versions "v1, v1"
    When a daemon stands still while "engine-2" becomes "v2" and breaks a stream off
    And the stream is taken up 6 times at the moment at which the daemon goes on
    Then no stream has events of two versions
