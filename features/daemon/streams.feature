@fleet
Feature: Each caller gets its own complete answer, or a refusal with a true verdict

  Guards against answers that look complete but were cut off or belong to another
  request, and against refusals with a wrong verdict.  They come about when upstreams
  cut or stall streams, send invalid answers, answer for another attempt or refuse.

  Scenario: A streamed answer is complete
    When diagnosis "one" is streamed through entry-1
    Then the stream is complete and has the expected tokens

  Scenario: A stream that one engine cuts is resumed at another engine
    Given engines-1 cuts each stream after 8 tokens
    When diagnosis "two" is streamed through entry-1
    Then the stream is complete and has the expected tokens

  Scenario: A stream that every engine cuts ends with a refusal
    Given engines-1 cuts each stream after 8 tokens
    And engines-2 cuts each stream after 8 tokens
    When diagnosis "three" is streamed through entry-1
    Then the stream ends with a refusal
    And at most 8 tokens were streamed

  Scenario: A stream that stalls ends at its deadline
    Given engines-1 stalls each stream after 8 tokens
    And engines-2 stalls each stream after 8 tokens
    When diagnosis "stalled" is streamed through entry-1 with a timeout of 1000 ms
    Then the request is refused as "ran" because of "deadline-exceeded"
    And the answer took at most 2000 ms

  Scenario: A caller's disconnect releases its slot
    Given the upstreams of "engines" take 1500 ms more
    When diagnosis "gone" is streamed through entry-1 and closed after one line
    Then entry-1 has no calls in flight within 3000 ms

  Scenario: An answer to another attempt is not passed to the caller
    Given the upstreams of "encoders" answer for another attempt
    When diagnosis "four" is streamed through entry-1
    Then the request is refused as "may-have-run" because of "invalid-answer"

  Scenario: An end mark of another attempt does not complete a stream
    Given the upstreams of "engines" answer for another attempt
    When diagnosis "five" is streamed through entry-1
    Then the stream ends with a refusal

  Scenario: An invalid answer of a later stage is refused as a request that ran
    Given the upstreams of "retrievers" answer garbage
    When diagnosis "six" is streamed through entry-1
    Then the request is refused as "ran" because of "invalid-answer"

  Scenario: A request that every upstream of the first stage refuses did not run
    Given the upstreams of "encoders" refuse
    When diagnosis "seven" is streamed through entry-1
    Then the request is refused as "not-run"

  Scenario: A request that a later stage refuses has run
    Given the upstreams of "rerankers" refuse
    When diagnosis "eight" is streamed through entry-1
    Then the request is refused as "ran"
