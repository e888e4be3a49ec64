Feature: Parsers return a value or a typed error for any input

  An exception that a parser does not expect would end the task that called it, so a
  peer, caller or upstream could stop a daemon with malformed bytes.

  Scenario Outline: Arbitrary bytes and JSON raise no exception
    Then 300 generated inputs to <parser> give a value or a typed error

    Examples:
      | parser                 |
      | the settings           |
      | a request's body       |
      | an upstream's answer   |
      | a stream's lines       |
      | an idempotency key     |
      | a peer's digest        |
      | a stored log head      |
      | a bearer token         |
