Feature: Generations move away from engines that are too full or too slow

  Scenario Outline: the engines that stay hold too much after a sixth has left
    When 6 fleets where a sixth of the engines was replaced serve for 8 s, by views up to <age> s old
    Then at most <share> of the generations that are preempted without moves are

    Examples:
      | age | share |
      | 0.1 | 0.25  |
      | 1.0 | 0.5   |

  # Regression: five gateways had waited for a target, and chose the same one within
  # 16 ms of its being ready.
  Scenario: gateways wait for a target, and one becomes ready
    When 10 fleets whose one replacement is ready after 2.5 s serve for 4 s, by views up to 0 s old
    Then at most 2 gateways move generations to one engine at the same moment

  Scenario: views that are old and need not agree
    When 20 fleets of random sizes, loads and speeds serve for 5 s, by views up to 1 s old
    Then no generation moves twice within its minimum stay
    And no gateway begins two moves within a second

  Scenario: engines with memory to spare, which don't differ in speed
    When 10 fleets with memory to spare serve for 4 s, by views up to 1 s old
    Then nothing moves

  Scenario: endpoints differ in speed, and fast ones become free
    When 10 fleets with slow endpoints and empty fast ones serve for 4 s, by views up to 1 s old
    Then generations move away from slow endpoints only, to others

  Scenario: peers report absurd loads, and speeds are absurd
    Then a planner decides by any loads and speeds without an error

  @tokens_once_in_order
  Scenario Outline: the engine of a stream becomes full
    Given 3 engines
    When a stream of 400 events is read, its engine becomes full, and <event>
    Then all events came once and in order, from 1 run
    And it was continued at other endpoints <times> times

    Examples:
      | event                             | times |
      | nothing else happens              | 1     |
      | all engines refuse copies         | 0     |
      | the target crashes after the copy | 1     |
      | the store is down                 | 0     |
      | load_moves is disabled            | 0     |
