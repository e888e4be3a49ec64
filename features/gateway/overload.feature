Feature: Overload of the owner of the stage pools

  Guards against an owner that accepts more than its processor can do: each pass of its
  loop takes longer, and it learns seconds late that a server leaves.

  Scenario Outline: New requests are refused while the event loop is late
    Given an owner whose last tick was <late> ms late
    When it gets a <request> <after> ms after the tick
    Then the request is <outcome>

    Examples:
      | late | request | after | outcome                       |
      | 0    | request | 50    | not refused for the overload  |
      | 0    | request | 150   | not refused for the overload  |
      | 0    | request | 450   | refused as not run at once    |
      | 350  | request | 10    | refused as not run at once    |
      | 350  | retry   | 10    | not refused for the overload  |
      | 200  | request | 10    | not refused for the overload  |
