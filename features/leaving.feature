@leaving_gets_no_new_work
Feature: An endpoint that is leaving gets no new work

  Scenario Outline: An order desk leaves <way>, <condition>
    Given a running deployment
    And <condition>
    And long calls run at both order desks
    When order-1 leaves <way>
    Then calls go on running, all of them at order-2
    And no call was refused
    And the long calls come whole

    Examples:
      | way                       | condition                                   |
      | by SIGTERM                | all is well                                 |
      | by SIGTERM                | the platform is out                         |
      | by an operator's drain    | all is well                                 |
      | by the platform's list    | all is well                                 |
      | by the platform's list    | the list lags by 1 s                        |

  Scenario: A drained endpoint that is started again stays drained until the drain ends
    Given a running deployment
    And all is well
    When order-1 leaves by an operator's drain
    And order-1 is started again
    Then calls go on running, all of them at order-2
    When the drain of order-1 is ended
    Then order-1 gets work again
