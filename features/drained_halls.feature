Feature: Data halls that operators drain

  # Nobody read the operators' request: requests reached the endpoints of a drained data
  # hall all the time, and 94 of them later than the 5 s after which none may.
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
      | again after it was taken back                     |
      | while watches hear nothing and history is dropped |

  @leaving_gets_no_new_work
  Scenario: a gateway that starts in an outage hears of a drained hall from its peers
    Given 2 gateways before endpoints in ikeja and lekki
    When ikeja is drained, the store goes out and a third gateway starts
    Then no later request reaches ikeja, and none fails

  Scenario: a data hall is taken back
    Given 2 gateways before endpoints in ikeja and lekki
    When ikeja is drained and taken back
    Then both gateways send requests to ikeja again

  # Nothing may be sent there, so there is nothing to wait for: callers that wait would
  # learn of it only when their time is over.
  @not_run_means_not_run
  Scenario: all data halls are drained
    Given 2 gateways before endpoints in ikeja and lekki
    When ikeja and lekki are drained
    Then requests are refused at once with a time to come back, and haven't run

  @planned_stop_cuts_nothing @tokens_once_in_order
  Scenario: a stream runs in a data hall that is drained
    Given model engines in ikeja and one in lekki
    When a stream of 100 events runs in a hall that is drained midway
    Then it ends whole where it began, and no copy or question went to a drained hall

  @leaving_gets_no_new_work
  Scenario: the backup of a stream lies in a data hall that is drained
    Given model engines in three data halls
    When a stream's backup's data hall is drained, and its endpoint crashes
    Then the drained hall gets nothing of it

  Scenario: views of drained halls in any order
    Then the view with the highest revision holds, whoever told it
