@not_run_means_not_run
Feature: What is said not to have run has not run

  Scenario Outline: A call is refused since <cause>
    Given a running deployment
    When a call tagged "judged" is sent and <cause>
    Then it is refused with code <code> and outcome <outcome>
    And the services executed "judged" 0 times

    Examples:
      | cause                                   | code                    | outcome |
      | its bearer key is unknown               | unauthenticated         | not_run |
      | its kind is unknown                     | unknown_kind            | not_run |
      | its service is unknown                  | unknown_service         | not_run |
      | its account may not use the service     | forbidden               | not_run |
      | its account is over its rate            | rate_limited            | not_run |
      | its account is over its concurrency     | concurrency_limited     | not_run |
      | its key has no mint time                | invalid_idempotency_key | not_run |
      | all endpoints are drained               | no_endpoint             | not_run |
      | all endpoints are drained, not repeatable | no_owner              | not_run |
      | all services are gone                   | endpoint_unreachable    | not_run |
      | all agents are killed                   | no_endpoint             | not_run |

  Scenario Outline: A key that has run is sent again and refused since <cause>
    Given a running deployment
    When a call with a key has run and is sent again and <cause>
    Then its outcome is not called not_run

    Examples:
      | cause                               |
      | its account is over its rate        |
      | its account is over its concurrency |
      | its bearer key is unknown           |
      | all agents are killed               |
      | its owner is drained                |

  Scenario Outline: A generation is refused since <cause>
    Given a running deployment
    When a generation is sent and <cause>
    Then it is refused with code <code> and outcome not_run
    And the engines have started nothing
    And the refusal says when to return

    Examples:
      | cause                        | code                |
      | all endpoints are drained    | no_endpoint         |
      | its account is over its rate | rate_limited        |

  Scenario Outline: The first endpoint dies midway and <after>
    Given a running deployment
    When a <request> runs at one endpoint, <after>, and its agent is killed
    Then its outcome is not called not_run

    Examples:
      | request    | after                      |
      | call       | no other endpoint is there |
      | generation | no other endpoint is there |
