Feature: Start of a test fleet

  Guards against a fleet that does not start without a trace of the cause, so that the
  failure can't be told from one of the code under test.

  Scenario: A fleet with a process that ends at its start names it, its status and output
    Given a fleet with a daemon whose settings can't be read
    When the fleet is to start
    Then it fails within 5000 ms and names "entry-1", its status 2 and "expected"

  Scenario: A fleet whose settings can't be stored tells what each process printed
    Given a fleet whose settings have a fault
    When the fleet is to start
    Then it fails within 20000 ms and names "entry-1", that it runs and "not valid"
