Feature: Callers and endpoints that read slowly or not at all

  Scenario: callers that stop reading their streams
    Given a gateway before 2 engines that send faster than callers read
    When 4 callers stop reading after 300 events of streams of 9000 with a deadline of 30 s
    Then at most 512 KB of each have left its engine 1.5 s later
    And a stream of 30 events of another caller is complete meanwhile
    And nothing runs 0.5 s after their deadline

  # An engine cuts off an answer that remains unread for some seconds.
  @tokens_once_in_order
  Scenario: an engine cuts off an answer that its caller doesn't read
    Given a gateway before 2 engines that cut off what remains unread for 0.5 s
    When a caller of a stream of 2000 events reads nothing for 3 s after 50 events
    Then what came is in order and visibly not whole
    And no endpoint has a failure rate above 0, and none is ejected
    And the pauses of the caller don't count as stalls of its endpoint

  # The gateway's own delay was taken for a wait for the engine, which was then blamed.
  Scenario: an engine cuts off an unread answer while its gateway is busy
    Given a gateway before 2 engines that cut off what remains unread for 0.5 s
    When a caller of a stream of 2000 events reads nothing for 3 s after 50 events, then beside work of 0.03 s at a time
    Then what came is in order and visibly not whole
    And no endpoint has a failure rate above 0, and none is ejected

  @tokens_once_in_order
  Scenario: an engine fails while its caller reads in time
    Given a gateway before 2 engines that send faster than callers read
    When a caller of a stream of 2000 events reads on while its engine crashes
    Then what came is in order and visibly not whole
    And one endpoint has a failure rate above 0

  Scenario Outline: a stream breaks off after sends and waits of <seconds>
    Then the break is <cause>

    Examples:
      | seconds                    | cause          |
      | send 0.001, wait 0.03      | the endpoint's |
      | send 3, wait 0             | the caller's   |
      | send 0.6, wait 0, send 0.6 | the caller's   |
      | send 3, wait 0.001, wait 0 | the caller's   |
      | send 3, wait 0.03, wait 0  | the endpoint's |
      | send 3, wait 0, pass 2.5   | the endpoint's |
      | send 0.6, wait 0           | the endpoint's |

  Scenario: a caller that doesn't read its whole answer
    Given a gateway before desk endpoints with answers of 1000 KB
    When a caller doesn't read its answer for the idle limit of 0.6 s
    Then its connection is closed, and the request counts as one whose caller is gone

  Scenario: an answer that is too large to be held
    Given a gateway before desk endpoints with answers of 3000 KB
    When a caller's "once" request gets one, and at most 1000 KB are held
    Then it is refused with 502, and the endpoint's connection is closed

  Scenario: a stream whose event doesn't end
    Given a gateway before 2 engines whose events are larger than any caller needs
    When a stream of such an event is read
    Then its caller is told with 502 that it may have run

  Scenario Outline: an endpoint that doesn't read a long <kind> request
    Given a gateway before desk endpoints that don't read bodies
    When a caller sends them a "<kind>" request of 90000 bytes with a deadline of 0.8 s
    Then it is answered with 504 in time, and no connection to them is kept

    Examples:
      | kind       |
      | once       |
      | repeatable |

  @not_run_means_not_run
  Scenario: a caller that sends its body slowly
    Given a gateway before healthy endpoints
    When a caller sends one byte of its body each 0.2 s
    Then it is refused with 408 after the idle limit, and nothing ran
