Feature: Answers of servers that are not complete or not valid

  Guards against a server's answer that breaks off, or that has a status which HTTP does
  not know or an empty seal, and reaches the caller as a complete answer.

  Scenario Outline: A faulty answer is not passed on as complete
    Given a site whose only server of "<service>" <fault>
    When a caller uploads <size> bytes with <request>
    Then the caller gets status 502 or 503, or an incomplete answer

    Examples:
      | service | fault                         | request      | size    |
      | desk    | answers at once and resets    | an order     | 4000000 |
      | desk    | answers at once and resets    | an order     | 15000   |
      | desk    | answers at once and resets    | a lookup     | 4000000 |
      | desk    | reads all, answers and resets | an order     | 4000000 |
      | engine  | answers at once and resets    | a generation | 4000000 |
      | engine  | reads all, answers and resets | a generation | 15000   |
      | encode  | reads all, answers and resets | a generation | 0       |
      | desk    | answers with status 000       | an order     | 0       |
      | desk    | answers with status 099       | an order     | 0       |
      | desk    | answers with status 199       | a lookup     | 0       |
      | desk    | answers with status 600       | an order     | 0       |
      | desk    | answers with status 600       | a lookup     | 4000000 |
      | engine  | answers with status 600       | a generation | 0       |
      | encode  | answers with status 600       | a generation | 0       |
      | desk    | answers with an empty seal    | an order     | 0       |
      | desk    | answers with an empty seal    | a lookup     | 0       |
