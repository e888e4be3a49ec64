Feature: Settings of a deployment

  Guards against settings that revert when versions arrive out of order, requests that
  match the wrong route, and pools of one route that get different owners.

  Scenario: The active version never decreases in the lifetime of a process
    Given a daemon that receives versions "3, 7, 5, 7, 6, 9, 2"
    Then the active versions were "3, 7, 9"

  Scenario: A request matches the longest prefix of its own host
    Given routes "a.example/x/", "a.example/x/y/" and "b.example/x/"
    Then "a.example/x/y/z" matches route "a.example/x/y/"
    And "a.example/x/z" matches route "a.example/x/"
    And "b.example/x/y/z" matches route "b.example/x/"
    And "c.example/x/y/z" matches no route
    And "a.example/xy" matches no route

  Scenario: Pools that are used together belong to one duty
    Given routes with the stages "encode retrieve", "retrieve rerank" and "other"
    Then the first two routes share a pool group and the third does not
