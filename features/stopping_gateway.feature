Feature: A gateway that was told to stop, and the connections that its callers keep

  # Regression: a token was taken to need 12 ms whatever the engine and the route, and the
  # gateway ended in the midst of streams that it had accepted late.
  @planned_stop_cuts_nothing @not_run_means_not_run
  Scenario Outline: a stopping gateway accepts a stream that can't end in time: <condition>
    Given a gateway before engines with <condition>
    When it has been stopping for <ago> s and a stream of up to <tokens> tokens is requested
    Then the stream is refused unrun, for an immediate retry

    Examples:
      | condition                             | ago | tokens |
      | an event at least every 0.18 s        | 3.5 | 200    |
      | an event at least every 0.18 s        | 0.2 | 400    |
      | an unknown pace                       | 3.5 | 20     |
      | an observed event every 0.3 s         | 3.5 | 24     |
      | an observed first event after 2 s     | 5.5 | 20     |

  @planned_stop_cuts_nothing
  Scenario: a stopping gateway accepts a stream that ends in time
    Given a gateway before engines with an event at least every 0.18 s
    When it has been stopping for 3.5 s and a stream of up to 12 tokens is requested
    Then the stream is whole, and its answer says that the connection ends

  # Regression: idle connections were closed once; one that became idle later stayed open,
  # and took requests until the process ended.
  @planned_stop_cuts_nothing
  Scenario: a connection stays open after an answer that ends late in a stop
    Given a gateway before engines with an unknown pace
    When a stream that began before the stop ends 2.6 s after it
    Then the stream is whole, and its connection is closed at once

  # Regression guard: what has arrived was read, so that only its answer lets a caller know
  # whether it may be repeated.
  @planned_stop_cuts_nothing
  Scenario: a call that arrives during the last answer of a connection goes unanswered
    Given a gateway before engines with an unknown pace
    When a call is sent on the connection of a stream that ends 2.6 s after the stop
    Then the call is answered, and its answer says that the connection ends

  # Regression: only answers to requests that came after the stop said so.
  @planned_stop_cuts_nothing
  Scenario: an answer that begins after the stop doesn't say that its connection ends
    Given a gateway before engines with an unknown pace
    When the first event of a stream comes only after the stop
    Then the stream is whole, and its answer says that the connection ends

  # Regression: the process logged that it cut nothing off.
  Scenario: a process that ends during a stream doesn't log that it cuts it off
    Given a gateway process before engines that make an event every 0.2 s
    When it is stopped while a stream of 60 events runs
    Then its log names the stream, and counts it as cut off
