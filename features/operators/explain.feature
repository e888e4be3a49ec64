Feature: Logs and the commands that read them

  A request's log lines are spread over the files of several daemons, out of order and
  among unrelated lines; explain must neither miss nor misplace one.  A reader that stalls
  must not block the daemon that writes the log.

  Scenario: The lines on a request are merged from several logs and sorted by time
    Given the logs of two daemons with lines on the requests "a1" and "b2"
    When an operator explains request "a1"
    Then the lines on "a1" are printed sorted by time
    And no line on "b2" is printed

  Scenario: A request that no log line names is reported as unknown
    Given the logs of two daemons with lines on the requests "a1" and "b2"
    When an operator explains request "c3"
    Then an error reports that no line names "c3"

  Scenario: The check of a settings document reports the location of a problem
    Given a settings document whose second route has no kind
    When an operator checks the document
    Then an error reports that "routes.second" lacks "kind"

  Scenario: Log lines above the limit are dropped and counted without blocking
    Given a log whose reader has stalled
    When 5000 lines are written to it within a second
    Then no write blocked and at least 2000 lines were counted as dropped

  Scenario: Long log lines are dropped by their size while their reader has stalled
    Given a log whose reader has stalled
    When 1000 lines of 16000 bytes are written to it within a second
    Then no write blocked and at least 800 lines were counted as dropped
