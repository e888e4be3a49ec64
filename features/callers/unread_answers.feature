Feature: Callers that pipeline requests and read no answers

  Guards against connections on which callers send requests ahead and read nothing: what
  a daemon keeps for them, read or unsent, filled its memory until its process ended with
  the requests of all other callers.

  Scenario Outline: A crowd that reads nothing does not end the daemon
    Given a daemon that has 120 MB of memory and 2000 descriptors
    When 600 callers send <requests> and read nothing at its <address> address for 10 s
    Then the daemon is alive and used at most its memory and its descriptors
    And an ordinary request is answered afterwards

    Examples:
      | requests                           | address   |
      | requests without the usual headers | callers   |
      | requests for the readiness path    | ready     |
      | requests for the readiness path    | callers   |
      | requests that match no route       | callers   |
