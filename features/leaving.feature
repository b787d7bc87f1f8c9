@leaving_gets_no_new_work
Feature: A leaving endpoint gets no new requests

  Scenario Outline: An endpoint of the order desk leaves <way>, <condition>
    Given a running deployment
    And <condition>
    And long calls run at both endpoints of the order desk
    When order-1 leaves <way>
    Then new calls run only at order-2
    And no call was refused
    And the long calls complete

    Examples:
      | way                                 | condition                       |
      | by SIGTERM                          | nothing else happens            |
      | by SIGTERM                          | the platform is unavailable     |
      | by an operator's drain              | nothing else happens            |
      | by its entry in the platform's list | nothing else happens            |
      | by its entry in the platform's list | the platform's list lags by 1 s |

  Scenario: A drained endpoint stays drained after a restart, until the drain is ended
    Given a running deployment
    And nothing else happens
    When order-1 leaves by an operator's drain
    And order-1 is restarted
    Then new calls run only at order-2
    When the drain of order-1 is ended
    Then order-1 gets calls again

  # A link that reconnected to the new agent before its announcement was kept beside the
  # one that the announcement opened: two links to one process, until that ended.
  Scenario: A link reconnects to a restarted agent before the agent is announced
    Given a gateway whose link reconnected to a restarted agent before its announcement
    When the gateway receives the new agent's announcement
    Then the gateway keeps that link and opens no other

  # The link reconnected to the agent's next incarnation, beside the link that had been
  # opened to that one.
  Scenario: An agent is replaced while its link waits to reconnect
    Given a link that waits to reconnect
    When its agent is replaced before it reconnects
    Then it doesn't reconnect
