Feature: Settings are validated before they are stored

  A stored document is applied by every daemon, so a faulty one must be rejected first,
  with the place and the cause of each problem.

  Background:
    Given a valid settings document

  Scenario: A valid document is accepted and unchanged after storing it
    When the document is loaded
    Then it is valid
    And settings built from its stored branches are the same

  Scenario Outline: An invalid document is rejected with path, line and expectation
    When "<old>" is replaced by "<new>" and the document is loaded
    Then a problem at "<path>" on line <line> says "<expected>"

    Examples:
      | old           | new             | path                              | line | expected                |
      | share: 2      | share: 0        | teams.depot.share                 | 16   | at least 1              |
      | share: 2      | shares: 2       | teams.depot.shares                | 16   | unknown key             |
      | share: 2      | share: many     | teams.depot.share                 | 16   | whole number            |
      | deadline: 10s | deadline: 10    | pipelines.diagnosis.deadline      | 9    | duration such as        |
      | deadline: 10s | deadline: 10min | pipelines.diagnosis.deadline      | 9    | duration such as        |
      | deadline: 10s | deadline: 0s    | pipelines.diagnosis.deadline      | 9    | from 1ms                |
      | pool: gen,    | pool: lost,     | pipelines.diagnosis.stages.1.pool | 12   | a pool of the fleet     |
      | pool: gen,    | pool: desk,     | pipelines.diagnosis.stages.1.pool | 12   | of kind engine or stage |
      | kind: stage   | kind: engine    | pipelines.diagnosis.stages.0.pool | 11   | only in the last stage  |
      | kind: service | kind: shop      | fleet.pools.desk.kind             | 7    | engine, stage, service  |
      | repeat: once, | repeat: twice,  | services.order.repeat             | 14   | safe, once, keyed       |
      | pool: desk,   | pool: enc,      | services.order.pool               | 14   | kind service            |
      | slots: 4      | slots: 0        | fleet.pools.gen.slots             | 6    | at least 1 slot         |
      | shards: 16    | shards: 0       | fleet.orders.shards               | 3    | from 1 to               |
      | depot:        | Depot!:         | teams.Depot!                      | 16   | lower-case              |

  Scenario Outline: A document that is not a settings tree is rejected
    When the document is "<text>"
    Then it is rejected with "<expected>"

    Examples:
      | text                 | expected      |
      | a: [                 | valid YAML    |
      | a: &x 1\nb: *x       | aliases       |
      | fleet: {}\nfleet: {} | each key once |
      |                      | a mapping     |
      | 7                    | another type  |
      | <40 nested lists>    | less nesting  |
      | <too long>           | at most       |
