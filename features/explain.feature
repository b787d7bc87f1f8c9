Feature: Explaining a request afterwards from logs alone

  Scenario Outline: a request that <fate>
    Given the logs of a gateway at which a request <fate>
    When the logs are asked for its id
    Then the story names <words> in this order

    Examples:
      | fate                       | words                                                                   |
      | was refused by all         | attempt_started, rejected, attempt_started, request_refused             |
      | may have run               | attempt_started, maybe_run, request_refused, endpoint_failed            |
      | was moved                  | attempt_started, endpoint_left, move_started, stream_continued, request_answered |
      | was broken off             | attempt_started, stream_broken_off                                      |
      | came before any configuration | request_refused, no_configuration                                    |

  Scenario: lines that aren't whole, and a request that nobody knows
    Then faulty log lines are passed over and an unknown request is told so

  Scenario: a choice is told with what else there was
    Given the logs of a gateway at which a request was refused by all
    When the logs are asked for its id
    Then each choice tells of the endpoints that were not chosen

  Scenario: an endpoint that is left out is named
    Given the logs of a gateway at which a request came after an ejection
    When the logs are asked for its id
    Then its choice names the endpoint that was left out
