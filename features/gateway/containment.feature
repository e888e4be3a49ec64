Feature: Errors of one call or exchange

  Guards against an unexpected error of one call, probe or message that ends the daemon or
  leaves those behind it waiting.

  Scenario: A stage call that fails unexpectedly ends its pieces' wait
    Given a stage owner whose calls raise an unexpected error
    When a stage call is run
    Then the call has failed and may have run, and the daemon goes on

  Scenario: A crash probe that fails unexpectedly releases those who wait for it
    Given a quarantine whose probes raise an unexpected error
    When a request is lost and its sender waits for the verdict on its server
    Then the sender has gone on, and the daemon goes on

  Scenario: The maintenance of one cell's owner that fails leaves the others running
    Given an owner of two cells of which the first one's maintenance raises an error
    When the maintenance runs 3 times
    Then the second cell has been maintained 3 times, and 3 failures are counted

  Scenario: A heartbeat that can't be applied does not stop later ones
    Given a daemon to which 2 peers send heartbeats, those of the first raise an error
    When both send 3 heartbeats in turn
    Then those of the second are applied, and the failures are counted
