Feature: Differences between versions of a document

  Guards against a difference that leads to another document than the sender's, that is
  applied to another base or after damage, and against one that is almost as large as the
  document, which fits in no datagram.

  Scenario: Random edits of random documents lead to the same bytes
    When 300 random documents are edited at random and sent as differences
    Then each result is the edited document

  Scenario: Empty documents and text without objects
    When empty and odd texts are sent as differences to each other
    Then each result is the edited document

  Scenario: A difference is applied only to its base
    When 50 differences are applied to other documents
    Then none of them has a result

  Scenario: A damaged difference has no result
    When differences are damaged in any byte, cut off or lengthened
    Then none of them leads to another document

  Scenario: A compressed document that is damaged or too large is not used
    Then a compressed document is read back, but not if it is cut off or 9 MB long

  Scenario Outline: The difference of a small change fits in a datagram
    Given a document of 1400 routes and 500 KB
    When <edit>
    Then the difference has at most <bytes> bytes

    Examples:
      | edit                   | bytes |
      | a key is revoked       | 512   |
      | a route is changed     | 512   |
      | 20 routes are added    | 4096  |
      | 400 routes are removed | 512   |
