Feature: An answer that ends with its connection is complete only if nothing says otherwise

  # A stopped stream looked complete if its end was read before the task that had sent the
  # order ran again.
  @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: the end of a stopped stream is read while the order is still being sent
    Given 3 engines, which work on after a close, with answers that end with the connection
    When a stream of 200 events is read and its engine leaves after 20, with a slow sender
    Then all events came once and in order, from 1 run
    And it was continued at other endpoints 1 times

  # Streams without length or chunks looked complete when their engine had ended.
  @tokens_once_in_order
  Scenario Outline: the engine of a stream <ends> after the stream's first second
    Given engines without moves or backups, with answers that end with the connection
    When a stream of 300 events is read and its engine <ends> after 120
    Then the caller sees that its stream is incomplete

    Examples:
      | ends                              |
      | crashes                           |
      | leaves and ends                   |
      | is removed and ends               |
      | leaves, ends and closes its port  |

  @tokens_once_in_order
  Scenario: a stream ends while its leaving engine serves on
    Given engines without moves or backups, with answers that end with the connection
    When a stream of 60 events is read and its engine leaves after 20
    Then all events came once and in order, from 1 run

  # An endpoint at its limit of connections closes each further one immediately.
  @tokens_once_in_order
  Scenario: a stream ends while its engine closes new connections
    Given engines without moves or backups, with answers that end with the connection
    When a stream of 60 events is read and its engine has too many connections after 20
    Then all events came once and in order, from 1 run

  @own_whole_answer
  Scenario: the endpoint of a call ends in the midst of a slow answer without length
    Given desk endpoints with the faults "unframed as it ends"
    When a caller sends a "once" request
    Then its status is 502 and it ran 1 times

  # An order to stop an earlier run of a stream, sent again, also stops a later one.
  @tokens_once_in_order
  Scenario Outline: a stream is back at an endpoint to which an order <state>
    Then the end of its answer there <meaning>

    Examples:
      | state                     | meaning          |
      | is still being sent       | may be a stop    |
      | was answered by a refusal | is the run's own |
      | found no run              | is the run's own |
      | was never answered        | may be a stop    |
