Feature: Requests that come late in a planned stop

  Guards against requests that are taken although they can't be answered before the exit,
  and are cut off then: orders among them may have run, and can't be repeated.

  Scenario Outline: An order that ran is answered, however late in the grace period it comes
    Given a site with two daemons that have <grace> to stop, and servers that take <work> ms
    When orders come every 40 ms on new and open connections to a daemon that is told to stop
    Then every order that ran was answered 200
    And every order that a daemon has read got an answer, or another daemon may get it
    And the daemon exits within <grace>

    Examples:
      | grace | work |
      | 2s    | 300  |
      | 2s    | 900  |
      | 5s    | 20   |
      | 5s    | 900  |

  Scenario Outline: What a stopping daemon takes follows its grace period
    Given a shutdown with a grace period of <grace> ms
    Then <kind> with <left> ms to the deadline is <taken> <elapsed> ms after SIGTERM

    Examples:
      | grace | kind   | left | elapsed | taken     |
      | 8000  | stream | 8000 | 2400    | taken     |
      | 8000  | stream | 8000 | 2600    | not taken |
      | 8000  | order  | 868  | 6500    | taken     |
      | 8000  | order  | 868  | 6700    | not taken |
      | 8000  | order  | 4000 | 3400    | taken     |
      | 8000  | order  | 4000 | 3600    | not taken |
      | 8000  | lookup | 9000 | 2400    | taken     |
      | 8000  | lookup | 9000 | 2600    | not taken |
      | 2000  | order  | 1500 | 100     | not taken |
      | 2000  | lookup | 1500 | 500     | taken     |
      | 2000  | order  | 800  | 650     | taken     |
      | 30000 | stream | 8000 | 2600    | not taken |
      | 300   | order  | 1    | 10      | not taken |
      | 0     | lookup | 1    | 1       | not taken |

  Scenario Outline: An event without end costs time in proportion to its bytes
    When an event of <bytes> bytes arrives in chunks of 100 bytes
    Then splitting it copies each byte at most 4 times

    Examples:
      | bytes   |
      | 100000  |
      | 1000000 |
