Feature: A generation goes on at another engine only once the one before has stopped

  # Regression: the run at the engine that leaves was only closed, and engines that work on
  # after a close ran it beside its backup until they ended.
  @at_most_once @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: two engines run a stream that goes on at its backup when its engine leaves
    Given 3 engines, which work on after a close, with slow links
    When a backed up stream of 400 events is read and its engine leaves after 100
    Then all events came once and in order, from 1 run
    And it was continued at other endpoints 1 times
    And no two engines worked on it at a time

  # Regression: a stream went on elsewhere as soon as its connection had broken, though the
  # engine lived and worked on.
  @at_most_once @tokens_once_in_order
  Scenario Outline: two engines run a stream whose engine <fault>, with <way>
    Given 3 engines, which work on after a close, with <way>
    When a backed up stream of 300 events is read and its engine <fault> after 100
    Then all events came once and in order, from <runs> run
    And no two engines worked on it at a time

    Examples:
      | fault                 | way               | runs |
      | resets its connection | slow links        | 1    |
      | leaves out an event   | slow links        | 1    |
      | resets its connection | a resumable route | 2    |
      | leaves out an event   | a resumable route | 2    |

  @at_most_once @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: a stream that ends with its connection is taken for complete when it is stopped
    Given 3 engines, which work on after a close, with answers that end with the connection
    When a stream of 200 events is read and its engine leaves after 20
    Then all events came once and in order, from 1 run
    And it was continued at other endpoints 1 times
    And no two engines worked on it at a time

  # Regression: a stop that the engine had refused counted as done.
  @at_most_once @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: two engines run a stream whose engine is busy with another move when it is stopped
    Given 3 engines, which work on after a close, with stops that are refused once
    When a stream of 200 events is read and its engine leaves after 20
    Then all events came once and in order, from 1 run
    And it was continued at other endpoints 1 times
    And no two engines worked on it at a time

  # Regression: a stream was run again elsewhere, though a target had begun to run it before
  # it lost the connection.
  @at_most_once @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: two engines run a stream whose target loses its connection as it goes on
    Given 3 engines, which work on after a close, with targets that lose their connection
    When a stream of 300 events is read and its engine leaves after 20
    Then all events came once and in order, from 2 runs
    And no two engines worked on it at a time

  # Regression: a run that ended well while it was being stopped was taken for a stopped one,
  # and continued elsewhere.
  @at_most_once @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: a stream that ends while its engine is told to stop it is continued
    Given 3 engines, which work on after a close, with stops that arrive after 0.5 s
    When a stream of 60 events is read and its engine leaves after 20
    Then all events came once and in order, from 1 run
    And it was continued at other endpoints 0 times

  # The caller gives a stream up after a pause of two seconds, and one of 0.18 s makes it
  # late: a stop that can't arrive must not add to it.
  @tokens_once_in_order
  Scenario Outline: a stream waits for the stop of a run whose engine <fault>
    Given 3 engines, which work on after a close, with slow links
    When a backed up stream of 300 events is read and its engine <fault> after 100
    Then all events came once and in order, from 1 run
    And it went on within <seconds> s

    Examples:
      | fault             | seconds |
      | crashes           | 0.15    |
      | stops responding  | 1.8     |
