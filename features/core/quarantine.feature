Feature: Quarantine of prompt parts that crash engines

  Guards against one prompt part that crashes engine after engine, in requests that are
  all different and come through any daemon, and against refusing sound requests that
  share the caller, the other parts or a crashed engine with them.

  Scenario: A part is quarantined in the fleet after three crashes at different daemons
    Given 3 daemons that exchange reports
    When engines crash at daemons 1, 2, 3 on requests with the parts "first, bad", 1000 ms apart
    Then each daemon refuses the parts "first, bad"
    And each daemon accepts the parts "first, good" and "first"

  Scenario: Of two parts that only occur together the one that also crashes engines alone is the cause
    Given 3 daemons that exchange reports
    When engines crash at daemons 1, 2 on requests with the parts "first, bad", 1000 ms apart
    And engines crash at daemons 3 on requests with the parts "other, bad", 1000 ms apart
    Then each daemon refuses the parts "first, bad" and "other, bad" and "third, bad"
    And each daemon accepts the parts "first, good" and "other, good"

  Scenario: Crashes at the same time count once
    Given 3 daemons that exchange reports
    When engines crash at daemons 1, 2, 3, 1, 2, 3 on requests with the parts "new", 50 ms apart
    Then each daemon accepts the parts "new"

  Scenario: Crashes at the same time each count for the request that was at the servers
    Given 3 daemons that exchange reports on requests
    When engines crash at daemons 1, 2, 3 on requests with the parts "bad", 50 ms apart
    Then each daemon refuses the parts "bad"

  Scenario: An outage does not quarantine a request that many callers send
    Given 3 daemons that exchange reports on requests
    And daemon 1 has seen the parts "same" answered
    And daemon 2 has seen the parts "same" answered
    And daemon 3 has seen the parts "same" answered
    When engines crash at daemons 1, 2, 3 on requests with the parts "same", 50 ms apart
    Then each daemon accepts the parts "same"
    When engines crash at daemons 1, 2, 3 on requests with the parts "same", 1000 ms apart
    Then each daemon refuses the parts "same"

  Scenario: Two requests that crash servers do not clear each other
    Given 3 daemons that exchange reports on requests
    When engines that also prefill "worse" crash at daemons 1 on requests with the parts "bad", 50 ms apart
    And engines crash at daemons 2, 3 on requests with the parts "bad", 50 ms apart
    And engines crash at daemons 1, 2 on requests with the parts "worse", 50 ms apart
    Then each daemon refuses the parts "bad" and "worse"

  Scenario: A part that another daemon has seen answered is not suspect
    Given 3 daemons that exchange reports
    And daemon 3 has seen the parts "first, good" answered
    When engines crash at daemons 1, 2, 1, 2 on requests with the parts "first, bad", 1000 ms apart
    Then each daemon refuses the parts "first, bad"
    And each daemon accepts the parts "first, good" and "first"

  Scenario: Sound requests that a crashed engine lost are not quarantined with the cause
    Given 3 daemons that exchange reports
    When engines that also prefill "session, own" crash at daemons 1, 2 on requests with the parts "first, bad", 1000 ms apart
    And engines crash at daemons 3, 1 on requests with the parts "first, bad", 1000 ms apart
    Then each daemon refuses the parts "first, bad"
    And each daemon accepts the parts "session, own" and "session"

  Scenario: A part that occurred with the cause before any answer is not quarantined with it
    Given 3 daemons that exchange reports
    When engines crash at daemons 1, 2 on requests with the parts "other, bad", 1000 ms apart
    And engines that also prefill "first" crash at daemons 1, 2, 3 on requests with the parts "first, bad", 50 ms apart
    And engines that also prefill "first" crash at daemons 2 on requests with the parts "first, bad", 1000 ms apart
    And engines that also prefill "first" crash at daemons 3 on requests with the parts "first, bad", 1000 ms apart
    Then each daemon refuses the parts "first, bad" and "other, bad"
    And each daemon accepts the parts "first, good" and "first"

  Scenario: An answered part that begins to crash engines is quarantined
    Given 3 daemons that exchange reports
    And daemon 1 has seen the parts "first" answered
    When engines crash at daemons 1, 2, 3 on requests with the parts "first", 1000 ms apart
    Then each daemon refuses the parts "first"

  Scenario: An answer releases a part in the fleet
    Given 3 daemons that exchange reports
    When engines crash at daemons 1, 2, 3 on requests with the parts "first", 1000 ms apart
    And daemon 2 sees the parts "first" answered
    Then each daemon accepts the parts "first"

  Scenario: A daemon that starts learns the quarantined parts from its peers
    Given 3 daemons that exchange reports
    When engines crash at daemons 1, 2, 3 on requests with the parts "bad", 1000 ms apart
    And 50000 ms pass and daemon 3 restarts
    Then each daemon refuses the parts "bad"

  Scenario: Two sides of a partition know the same parts after it
    Given 4 daemons that exchange reports
    And daemons 3 and 4 are partitioned off
    When engines crash at daemons 1, 2, 1 on requests with the parts "bad", 1000 ms apart
    Then daemon 3 accepts the parts "bad"
    When the partition ends
    Then each daemon refuses the parts "bad"

  Scenario: A quarantine ends, and the next crash begins it again
    Given 3 daemons that exchange reports
    When engines crash at daemons 1, 2, 3 on requests with the parts "bad", 1000 ms apart
    And 70000 ms pass with reports
    Then each daemon accepts the parts "bad"
    When engines crash at daemons 1 on requests with the parts "bad", 1000 ms apart
    Then each daemon refuses the parts "bad"

  Scenario: Records and reports are bounded however many parts are suspect
    Given 2 daemons that exchange reports
    When 5000 requests with different parts are lost in crashes
    Then no daemon keeps more than 256 records, and a heartbeat reports at most 6

  Scenario: A crash is in the next report however many others are suspect
    Given 2 daemons that exchange reports on requests
    When 200 requests with different parts are lost in crashes twice
    And an engine crashes at daemon 1 on a request with the parts "new"
    Then the next report of daemon 1 has the part "new"
    When daemon 1 sees the parts "new" answered
    Then the next report of daemon 1 has the part "new"

  Scenario Outline: A crash that loses long prompts takes work in proportion to their parts
    Given 1 daemons that exchange reports
    When an engine crashes on <prompts> requests with <parts> different parts each
    Then the crash took at most 20 calls for each lost part
    And no daemon keeps more than 256 records, and a heartbeat reports at most 6

    Examples:
      | prompts | parts |
      | 10      | 1200  |
      | 40      | 1200  |
      | 40      | 3     |

  Scenario: A quarantined part is kept when long prompts are suspect
    Given 2 daemons that exchange reports
    When engines crash at daemons 1, 2, 1 on requests with the parts "bad", 1000 ms apart
    And an engine crashes on 3 requests with 1200 different parts each
    Then each daemon refuses the parts "bad"

  Scenario: A part is quarantined though the prompts with it are long
    Given 2 daemons that exchange reports
    When engines crash at daemons 1, 2, 1 on requests with "bad" and 200 parts of their own
    Then each daemon refuses the parts "bad"

  Scenario: Reports on the parts of long prompts fit into a heartbeat
    Given 2 daemons that exchange reports
    When an engine crashes on 6 requests with 300 parts of 40 characters each
    Then the suspect parts take at most 4096 of the 8192 bytes of a heartbeat
    And daemon 2 accepts another prompt with a part of one of them

  Scenario: A quarantined part is kept when many others are suspect
    Given 2 daemons that exchange reports
    When engines crash at daemons 1, 2, 1 on requests with the parts "bad", 1000 ms apart
    And 5000 requests with different parts are lost in crashes
    Then each daemon refuses the parts "bad"

  Scenario Outline: Random loads quarantine the cause and nothing else
    Given 9 daemons that exchange reports
    When seed <seed> plays 20 s of sound requests and of requests with a crashing part
    Then at most 8 engines have crashed, and none later than 3 s after the fifth
    And at most 3 sound requests in 100 were refused

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: A first part that crashed engines with the cause is released once the cause is known
    Given 9 daemons that exchange reports
    When seed 31 plays 20 s of sound requests and 30 in 100 with a crashing part
    Then at most 8 engines have crashed, and none later than 3 s after the fifth
    And at most 3 sound requests in 100 were refused
