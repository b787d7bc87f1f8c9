Feature: Reconstructing a request's timeline from logs alone

  Scenario Outline: a request that <outcome>
    Given the logs of a gateway at which a request <outcome>
    When its timeline is requested
    Then the timeline has <words> in this order

    Examples:
      | outcome                          | words                                                                            |
      | was refused by all endpoints     | attempt_started, rejected, attempt_started, request_refused                      |
      | may have run                     | attempt_started, maybe_run, request_refused, endpoint_failed                     |
      | was moved                        | attempt_started, endpoint_left, move_started, stream_continued, request_answered |
      | was broken off                   | attempt_started, stream_broken_off                                               |
      | arrived before any configuration | request_refused, no_configuration                                                |

  Scenario: incomplete lines and an unknown request
    Then invalid log lines are skipped and an unknown request is reported

  Scenario: an attempt lists the alternatives to its endpoint
    Given the logs of a gateway at which a request was refused by all endpoints
    When its timeline is requested
    Then each attempt lists the endpoints that were not chosen

  Scenario: an attempt lists ejected endpoints
    Given the logs of a gateway at which a request arrived after an ejection
    When its timeline is requested
    Then its attempt lists the ejected endpoint
