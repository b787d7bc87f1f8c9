@not_run_means_not_run
Feature: A request that is reported as not_run has not run

  Scenario Outline: A call is refused because <cause>
    Given a running deployment
    When a call tagged "refused" is sent and <cause>
    Then it is refused with code <code> and outcome <outcome>
    And the services executed "refused" 0 times

    Examples:
      | cause                                                    | code                    | outcome |
      | its bearer key is unknown                                | unauthenticated         | not_run |
      | its kind is unknown                                      | unknown_kind            | not_run |
      | its service is unknown                                   | unknown_service         | not_run |
      | its account may not use the service                      | forbidden               | not_run |
      | its account is over its rate limit                       | rate_limited            | not_run |
      | its account is over its concurrency limit                | concurrency_limited     | not_run |
      | its key has no mint time                                 | invalid_idempotency_key | not_run |
      | all endpoints are drained                                | no_endpoint             | not_run |
      | all endpoints are drained and the call is not repeatable | no_owner                | not_run |
      | all services are down                                    | endpoint_unreachable    | not_run |
      | all agents are killed                                    | no_endpoint             | not_run |

  Scenario Outline: A call that has run is repeated with its key, but <cause>
    Given a running deployment
    When a call with a key has run and is repeated, but <cause>
    Then it is not reported as not_run

    Examples:
      | cause                                     |
      | its account is over its rate limit        |
      | its account is over its concurrency limit |
      | its bearer key is unknown                 |
      | all agents are killed                     |
      | its owner is drained                      |

  Scenario Outline: A generation is refused because <cause>
    Given a running deployment
    When a generation is sent and <cause>
    Then it is refused with code <code> and outcome not_run
    And no engine has started a generation
    And the refusal says when to retry

    Examples:
      | cause                              | code         |
      | all endpoints are drained          | no_endpoint  |
      | its account is over its rate limit | rate_limited |

  Scenario Outline: The agent of the only endpoint is killed during a <request>
    Given a running deployment
    When a <request> runs at the only endpoint and its agent is killed
    Then it is not reported as not_run

    Examples:
      | request    |
      | call       |
      | generation |
