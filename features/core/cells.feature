Feature: Division of a pool group among several owners

  Guards against one owner that can't keep up with the requests of a large fleet, prompt
  parts that are read in several cells, cells that get more than their servers bear, and
  divisions that change with every server that is lost.

  Scenario Outline: A group has as many cells as its scarcest pool allows
    Given pools of <servers> servers in <domains> failure domains
    Then the group has <cells> cells that hold each domain once

    Examples:
      | servers        | domains | cells |
      | 59, 13, 19, 22 | 5       | 5     |
      | 24, 9, 8, 8    | 4       | 4     |
      | 45, 9, 8, 8    | 3       | 3     |
      | 30, 5, 8, 9    | 5       | 2     |
      | 5, 5, 5, 5     | 5       | 2     |
      | 9, 3, 3, 3     | 3       | 1     |
      | 60, 60         | 15      | 15    |
      | 4              | 1       | 1     |

  Scenario: A division in force stays when servers are lost
    Given pools of 24, 9, 8, 8 servers in 4 failure domains
    When its cells have owners, and 3 servers of each pool are lost
    Then the group has 4 cells that hold each domain once
    When no cell has an owner
    Then the group has 2 cells that hold each domain once

  Scenario: A prompt part has one cell, and cells get parts by their servers
    Given pools of 59, 13, 19, 22 servers in 5 failure domains
    When 4000 requests with large parts come to daemons of all domains
    Then requests with the same part go to the same cell
    And each cell gets between 0.8 and 1.25 times its share by its scarcest pool

  Scenario: Requests without a large part stay in their failure domain
    Given pools of 59, 13, 19, 22 servers in 5 failure domains
    When 500 requests with small parts come to daemons of all domains
    Then each request goes to the cell of its daemon

  Scenario: A cell that is behind passes requests on to several others
    Given pools of 59, 13, 19, 22 servers in 5 failure domains
    When one cell is 700 ms behind and 4000 requests with large parts come
    Then that cell gets none, and no other more than 1.6 times its share

  Scenario: A cell that is a little behind keeps its requests
    Given pools of 59, 13, 19, 22 servers in 5 failure domains
    When one cell is 250 ms behind and 4000 requests with large parts come
    Then requests with the same part go to the same cell
    And each cell gets between 0.8 and 1.25 times its share by its scarcest pool

  Scenario: A cell without a server of some pool gets no requests
    Given pools of 59, 13, 19, 22 servers in 5 failure domains
    When one pool has no ready server in one cell and 1000 requests come
    Then that cell gets none, and no other more than 1.6 times its share

  Scenario: The owner of a cell is a daemon of its domains while one is live
    Given 40 daemons in 5 failure domains
    Then the first 8 candidates for the cell of "d1" and "d3" are in these domains
    When the daemons of these domains are lost
    Then a daemon of another domain is the first candidate
