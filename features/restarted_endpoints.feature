Feature: Endpoints that restart under the same name

  @at_most_once
  Scenario: Incarnations in any order of updates
    Then only the newest incarnation observed of each name is listed

  # Guards against waiting for streams of an earlier incarnation until their callers leave:
  # behind a network cut its connections stay open and silent.
  @tokens_once_in_order
  Scenario: The endpoint of a stream with a backup restarts
    Given model engines whose entries have a start time
    When a large stream of 200 events runs and its endpoint restarts
    Then all events came once and in order, from 1 run
    And it was continued at another endpoint within 1.0 s

  @tokens_once_in_order @at_most_once
  Scenario: The endpoint of a stream without a copy restarts
    Given model engines whose entries have a start time
    When a small stream of 200 events runs and its endpoint restarts
    Then what came is in order and visibly not whole, from 1 run
    And it ended for its caller within 1.0 s

  @tokens_once_in_order
  Scenario: An engine's report is the first to show its restart
    Then a silent stream is given up if a later incarnation answers
    And a report from an earlier incarnation is ignored

  Scenario: State of the earlier incarnation
    Given model engines whose entries have a start time
    When an engine that leaves and fails restarts
    Then it gets new work, and state of its earlier incarnation is ignored

  Scenario: An outdated entry arrives after the restart
    Given model engines whose entries have a start time
    When an engine restarts and its earlier entry, now leaving, arrives late
    Then it gets new work, and state of its earlier incarnation is ignored
