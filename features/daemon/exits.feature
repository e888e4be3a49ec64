Feature: Daemons that exit within their grace period

  Guards against a daemon that is still waiting for a caller, a server, a peer or the store
  when its grace period ends, and is then killed without having answered its requests.

  Scenario Outline: A daemon exits before the end of its grace period, whatever others do
    Given a site with two daemons that have <grace> to stop, and servers that take 20 ms
    When a daemon receives SIGTERM while <hindrance>
    Then it has exited with 0 before the end of its grace period

    Examples:
      | grace | hindrance                           |
      | 2s    | callers read nothing                |
      | 2s    | an engine is silent                 |
      | 2s    | the store is silent                 |
      | 2s    | the other daemon is silent          |
      | 2s    | a peer reads nothing of its answers |
      | 0.9s  | it starts                           |
      | 3s    | 600 requests wait on a slow machine |

  Scenario: A process that is busy without end is ended before the end of its grace period
    When a process that may take 600 ms to stop receives SIGTERM in an endless loop
    Then it has logged that it was ended before the end of its grace period, and exits with 3

  Scenario: A daemon that fails ends at once, so that it is started again
    When a daemon fails while a thread of it waits for 30 s
    Then it logs why, and exits with 1 within 10 s
