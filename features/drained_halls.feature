Feature: Data halls that operators drain

  # Gateways didn't read drains from the store, so requests reached the endpoints of a
  # drained data hall all the time, 94 of them after the 5 s within which they must stop.
  @leaving_gets_no_new_work
  Scenario Outline: a data hall is drained <when>
    Given 2 gateways before endpoints in ikeja and lekki
    When ikeja is drained <when>
    Then no later request reaches ikeja, and none fails

    Examples:
      | when                                              |
      | at any time                                       |
      | before the gateways start                         |
      | while the store is silent for the second          |
      | while the store is reset for the second           |
      | again after it was undrained                      |
      | while watches get nothing and history is dropped  |

  @leaving_gets_no_new_work
  Scenario: a gateway that starts in an outage learns of a drain from its peers
    Given 2 gateways before endpoints in ikeja and lekki
    When ikeja is drained, the store fails and a third gateway starts
    Then no later request reaches ikeja, and none fails

  Scenario: a data hall is undrained
    Given 2 gateways before endpoints in ikeja and lekki
    When ikeja is drained and undrained
    Then both gateways send requests to ikeja again

  # No endpoint will accept requests soon, so they fail fast instead of waiting until
  # their deadline.
  @not_run_means_not_run
  Scenario: all data halls are drained
    Given 2 gateways before endpoints in ikeja and lekki
    When ikeja and lekki are drained
    Then requests are refused at once with a Retry-After header, and haven't run

  @planned_stop_cuts_nothing @tokens_once_in_order
  Scenario: a stream runs in a data hall that is drained
    Given model engines in ikeja and one in lekki
    When a stream of 100 events runs in a data hall that is drained midway
    Then it completes where it began, without copies or probes in a drained data hall

  @leaving_gets_no_new_work
  Scenario: the backup of a stream is in a data hall that is drained
    Given model engines in three data halls
    When the data hall of a stream's backup is drained, and its endpoint crashes
    Then the drained data hall gets none of its requests

  Scenario: views of drained data halls arrive in any order
    Then the view with the highest revision is valid, whatever its source
