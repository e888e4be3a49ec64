Feature: Parsers meet any input with a typed error

  Scenario Outline: Any bytes
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
