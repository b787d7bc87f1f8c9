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

  # The old link stayed as a second one to the same process, as long as that lived.
  Scenario: An agent's next life is found before its announcement
    Given a gateway whose link was opened again before it heard who is there now
    When the new agent's announcement comes
    Then the gateway goes on with that link and opens no other

  # It led to the agent's next life, beside the link that was opened to that.
  Scenario: A link whose agent is replaced while it waits to be opened again
    Given a link that waits to be opened again
    When its agent has been replaced by then
    Then it isn't opened again
