Feature: Engines with limited slots and memory, at different speeds

  # Guards against requests that wait for a slot, for memory or behind a long queue where
  # their prompt is cached, while another engine would prefill it sooner.
  Scenario Outline: A cached prefix is worth less than a long wait
    Given 3 engines with 8 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e2" has to prefill <tokens> other prompt tokens
    Then a request with "p" is <placed> "e2"

    Examples:
      | tokens | placed        |
      | 8000   | placed at     |
      | 25000  | not placed at |

  Scenario Outline: A cached prefix is worth less than a long wait for a slot
    Given 3 engines with 4 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e2" runs 4 requests of up to <tokens> output tokens
    Then a request with "p" is <placed> "e2"

    Examples:
      | tokens | placed        |
      | 50     | placed at     |
      | 200    | not placed at |
      | 1000   | not placed at |

  # 4 requests hold the prefix of 12,000 tokens once and 1,400 tokens each, and the next
  # request needs 1,400 more: 19,000.  An account that counts the prefix for each of them
  # places the next request elsewhere.
  Scenario Outline: A cached prefix is worth less than a long wait for memory
    Given 3 engines with 64 slots and memory for <memory> tokens of which "e2" has "p" cached
    When "e2" runs 4 requests of up to 1000 output tokens
    Then a request with "p" is <placed> "e2"
    And "e2" has <cached> tokens of "p" cached

    Examples:
      | memory | cached | placed        |
      | 19000  | 12000  | placed at     |
      | 18900  | 12000  | not placed at |

  # Guards against an account in which a prefix stays cached although running requests
  # have taken its memory.
  # 4 requests hold 53,600 tokens, and "p" and the part after it 13,000.
  Scenario Outline: Running requests evict the least recently used parts
    Given 3 engines with 64 slots and memory for <memory> tokens of which "e2" has "p" cached
    When "e2" runs 4 requests of up to 1000 output tokens without common parts
    Then "e2" has <cached> tokens of "p" cached

    Examples:
      | memory | cached |
      | 66600  | 12000  |
      | 66500  | 0      |

  # Guards against an account that leaks or becomes negative when requests with a common
  # prefix end in any order, and reports are lost or repeated.
  Scenario: The account is empty after requests with common parts have ended
    Given 3 engines with 4 slots and memory for 100000 tokens of which "e2" has "p" cached
    When 500 requests of 7 prefixes are sent to "e2" and begin and end in random order
    Then "e2" holds each running prompt part once at every step
    And the account of "e2" is empty after the last end

  # Guards against prompts whose stated length is less than that of their parts, which
  # callers can send: they made the waiting tokens negative and the engine look idle.
  Scenario: A prompt that is shorter than its parts does not hide waiting tokens
    Given 3 engines with 4 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e2" gets a prompt of 1000 tokens of which "p" alone has more
    Then "e2" has no prompt tokens waiting

  # Guards against requests that count as running beyond the slots, when the expected end
  # of a running request has passed.
  Scenario: A request waits for a slot although a running one is overdue
    Given 3 engines with 4 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e2" runs 4 requests of up to 50 output tokens
    And 1 requests with priority 0 wait for a slot at "e2" 5000 ms later
    Then 1 request waits at "e2"

  # Guards against ended requests that keep slots, since most ends are not reported.
  Scenario: A first token beyond the slots shows that a request has ended
    Given 3 engines with 4 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e2" runs 12 requests of up to 1000 output tokens
    And the account is maintained 50 ms later
    Then "e2" runs 4 requests in its account

  # Guards against urgent requests that avoid an engine because of less urgent ones, which
  # the engine admits after them.
  Scenario: Less urgent requests do not delay an urgent one that waits for a slot
    Given 3 engines with 4 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e2" runs 4 requests of up to 1000 output tokens
    And 4 requests with priority 2 wait for a slot at "e2"
    Then a request with priority 0 waits at least 1000 ms less at "e2" than one with priority 2

  # Guards against an engine that counts as busy for seconds because the report of a first
  # token was lost.
  Scenario: A later first token shows that an overdue prompt has been prefilled
    Given 3 engines with 8 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e1" has to prefill 13000 other prompt tokens
    And a prompt sent to "e1" 1000 ms later gets its first token
    Then "e1" has no prompt tokens waiting

  # Guards against late requests that hold up those which can still be in time.
  Scenario: A request that will be late goes where it delays others least
    Given 2 engines with 8 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e1" runs 6 requests of up to 1000 output tokens
    Then a request with new parts that is late is not placed at "e1"

  # Guards against slow engines that get as many tokens as fast ones, and against engines
  # that stay occupied in the account although their requests have ended.
  Scenario: A burst of long prompts is divided by speed although reports are lost
    Given 9 engines at 0.6, 1 and 1.6 of the usual speed with 8 slots and memory for 100000 tokens
    When a prompt of 10800 new tokens arrives every 30 ms for 8 s and every 5th report is lost
    Then the slow engines have prefilled fewer tokens than the usual ones
    And the usual engines have prefilled fewer tokens than the fast ones
    And the estimated speeds are in the same order
    And all engines are free 10 s later

  Scenario: An engine whose speed falls gets fewer tokens
    Given 3 engines at 1, 1 and 1 of the usual speed with 8 slots and memory for 100000 tokens
    When a prompt of 10800 new tokens arrives every 100 ms for 4 s and every 5th report is lost
    And the last engine's speed falls to 0.4
    And a prompt of 10800 new tokens arrives every 120 ms for 6 s and every 5th report is lost
    Then the last engine has prefilled less than a quarter of the tokens

  # Guards against an engine that counts as one of 0.6 of the usual speed after one
  # request that stalled; the bound is half way between 0.6 and 1.
  Scenario: One stalled request does not make an engine slow
    Given 3 engines with 8 slots and memory for 200000 tokens of which "e2" has "p" cached
    When "e1" prefills 8 prompts in 320 ms each, and another one in 3000 ms
    Then the speed of "e1" is estimated at 0.8 of the usual one or more

  # Guards against other choices where neither slots nor memory are scarce.
  Scenario: Equal engines with ample memory are chosen as without limits
    Given 9 equal engines with and without 64 slots and memory for 600000 tokens
    When 6 bursts of 12 prompts with common parts arrive
    Then both selectors make the same choices

  # Guards against prompts of many short parts, whose records filled a daemon's memory.
  Scenario Outline: The number of cached parts that are remembered is limited
    Given 3 engines with 64 slots and memory for 1000000 tokens of which "e2" has "p" cached
    When 360 prompts of 1200 parts with <tokens> tokens each run at the engines in turn
    Then 32766 parts are remembered

    Examples:
      | tokens |
      | 0      |
      | 1      |

  Scenario Outline: Long identifiers of prompt parts are kept as digests
    Then a part identifier of <length> characters is kept as <kept> characters

    Examples:
      | length | kept |
      | 8      | 8    |
      | 40     | 40   |
      | 41     | 32   |
      | 12000  | 32   |
