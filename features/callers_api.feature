Feature: Invalid requests are answered with an error code

  Scenario: Invalid requests of callers
    Given a running deployment
    Then the requests are answered as follows
      | path                             | sent                                | status | code               |
      | /v1/chat/completions             | malformed JSON                      | 400    | malformed_body     |
      | /v1/chat/completions             | an empty body                       | 400    | malformed_body     |
      | /v1/chat/completions             | a list instead of an object         | 422    | invalid_field      |
      | /v1/chat/completions             | an unknown field                    | 422    | invalid_field      |
      | /v1/chat/completions             | a wrong type                        | 422    | invalid_field      |
      | /v1/chat/completions             | no messages                         | 422    | invalid_field      |
      | /v1/chat/completions             | max_tokens of 0                     | 422    | invalid_field      |
      | /v1/chat/completions             | an unknown service                  | 404    | unknown_service    |
      | /v1/chat/completions             | an unknown kind                     | 422    | unknown_kind       |
      | /v1/chat/completions             | a plain service                     | 404    | unknown_service    |
      | /v1/chat/completions             | text/plain                          | 415    | wrong_content_type |
      | /v1/chat/completions             | no bearer key                       | 401    | unauthenticated    |
      | /v1/chat/completions             | a body of 2 MB                      | 413    | body_too_large     |
      | /v1/chat/completions             | a field of 600 KB                   | 422    | field_too_large    |
      | /v1/chat/completions             | headers of 20 KB                    | 431    | header_too_large   |
      | /v1/chat/completions             | a malformed Last-Event-ID           | 400    | invalid_event_id   |
      | /v1/chat/completions             | a Last-Event-ID of an unknown agent | 502    | agent_lost         |
      | /v1/call/order-desk              | malformed JSON                      | 400    | malformed_body     |
      | /v1/call/order-desk              | bytes that aren't UTF-8             | 400    | malformed_body     |
      | /v1/nothing                      | an empty object                     | 404    | not_found          |
      | /admin/v1/accounts               | no bearer key                       | 405    | method_not_allowed |
      | /admin/v1/endpoints/nobody/drain | the operator's key                  | 404    | not_found          |

  Scenario: Invalid requests of operators
    Given a running deployment
    Then the edits are answered as follows
      | edit                                | status | code                  |
      | a patch without If-Match            | 428    | precondition_required |
      | a patch of an old version           | 412    | version_conflict      |
      | an account with an unknown template | 422    | invalid_field         |
      | an account with an unknown field    | 422    | invalid_field         |
      | a template in an unknown time zone  | 422    | invalid_field         |
      | a service with 0 slots              | 422    | invalid_field         |
      | a deletion of a template in use     | 422    | invalid_field         |
      | a deletion of a missing object      | 412    | version_conflict      |
      | an unknown collection               | 404    | not_found             |
      | a rollout of a non-numeric version  | 422    | invalid_field         |
      | a request with an account's key     | 401    | unauthenticated       |

  Scenario: Commands of operators
    Given a running deployment
    Then the commands exit as follows
      | command                                                           | exit | output              |
      | --help                                                            | 0    | usage               |
      | status                                                            | 0    | review-1            |
      | account list                                                      | 0    | surulere            |
      | account get surulere --output=json                                | 0    | "version"           |
      | account edit surulere overrides.concurrent_requests=9             | 0    | concurrent_requests |
      | account edit surulere overrides.nothing=9                         | 4    | invalid_field       |
      | account edit surulere overrides.concurrent_requests=9 --version=1 | 5    | version_conflict    |
      | account edit nobody overrides.concurrent_requests=9               | 4    | not_found           |
      | template get prototyping-shop                                     | 0    | working_hours       |
      | service apply examples/navrang/services.yaml                      | 0    | drafting            |
      | service delete portal                                             | 0    | portal              |
      | account apply examples/adebayo/services.yaml                      | 3    | not a ClientAccount |
      | rollout 1                                                         | 0    | in_force            |
      | drain order-1                                                     | 0    | true                |
      | rollout                                                           | 2    | usage               |
      | nonsense                                                          | 2    | usage               |
      | status --gateway=http://127.0.0.1:1                               | 6    | can't be reached    |
      | status --key=wrong                                                | 4    | unauthenticated     |

  Scenario: Refusals are counted by reason and outcome
    Given a running deployment
    When a call is refused for its unknown kind
    Then the gateway's counters show unknown_kind as not_run
