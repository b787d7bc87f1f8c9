Feature: Endpoints that refuse requests and ask callers to back off

  # An endpoint that refuses within 2 ms looks like the least loaded one, so it was tried
  # first, and each attempt spent a retry until none was left. With one of three endpoints
  # refusing all calls for 9 s, and requesting a backoff of 3 s each time, six gateways sent
  # it 134 calls in 8 s, up to eight from one gateway within one backoff. From the third
  # second on they refused callers with 503 although the other two endpoints worked. A
  # refusal that proves that nothing ran wasn't counted against the endpoint, and its
  # Retry-After header wasn't read.
  Scenario: one of three endpoints refuses all calls, in virtual time
    Given 6 gateways before 3 endpoints of a plain service
    When for 9 seconds one refuses calls and requests a backoff of 3 s
    Then at most 2 calls from one gateway reach it within a backoff
    And no call is refused

  Scenario: one of three endpoints refuses a gateway's call
    Given 1 gateway before healthy endpoints
    When an endpoint of the desk refuses a call and requests a backoff of 1 s
    Then it gets no call from the gateway within that time, and some after it
    And all calls are served

  Scenario Outline: which answers request a backoff
    Then the backoff requested by a <status> answer with Retry-After "<value>" is <backoff>

    Examples:
      | status | value                         | backoff |
      | 503    | 3                             | 3 s     |
      | 503    | 0.4                           | 0.4 s   |
      | 503    | 86400                         | 86400 s |
      | 503    | 1 and 2                       | 2 s     |
      | 503    | soon and 1                    | 1 s     |
      | 503    | 0                             | nothing |
      | 503    | -1                            | nothing |
      | 503    | inf                           | nothing |
      | 503    | nan                           | nothing |
      | 503    | soon                          | nothing |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | nothing |
      | 429    | 3                             | nothing |
      | 421    | 3                             | nothing |
      | 200    | 3                             | nothing |

  Scenario: overlapping backoffs, and those of a restarted endpoint
    Then a later, shorter backoff doesn't end a longer one
    And a backoff of one incarnation doesn't apply to the next one

  Scenario Outline: all endpoints of <service> request backoffs
    Given 1 gateway before healthy endpoints
    When all endpoints of <service> request a backoff of 10 s
    Then a "<kind>" request is refused within 0.2 s, to retry when the first backoff ends
    And no endpoint got a request within its backoff

    Examples:
      | service   | kind       |
      | the desk  | once       |
      | the desk  | repeatable |
      | the model | stream     |

  Scenario Outline: all endpoints have requested backoffs that are about to end
    Given 1 gateway before healthy endpoints
    When a "<kind>" request comes 20 ms before the end of all backoffs
    Then it is served

    Examples:
      | kind   |
      | once   |
      | stream |

  Scenario: a backoff is requested while a call connects to the endpoint
    Given 1 gateway before healthy endpoints
    When an endpoint requests a backoff while a call to it connects
    Then the call is served elsewhere

  Scenario: a refusal doesn't say whether the request has run
    Given 1 gateway before healthy endpoints
    When an endpoint answers 503 with Retry-After, without saying that nothing ran
    Then the caller isn't told that nothing has run, and the endpoint's backoff applies

  Scenario Outline: a stream breaks off while its backup has requested a backoff
    Given 2 engines
    When the engine of a large stream crashes <backoff> s before the end of its backup's backoff
    Then the backup gets nothing within that time, and the stream ends <end>

    # Callers give up a stream after a pause of 2 s.
    Examples:
      | backoff | end       |
      | 10      | not whole |
      | 0.4     | whole     |

  Scenario: the log shows why an endpoint was skipped
    Given 1 gateway before healthy endpoints
    When an endpoint requests a backoff, and then a call is served
    Then the log of that call names the endpoint as resting

  # An agent took its engine's refusal for the loss of the engine: it requested the output
  # of a generation that had never begun, and the caller was told "engine_lost" with an
  # unknown outcome. Two of these quarantine a request, as if it had crashed engines. Later
  # requests were sent within the backoff: 2 of 2 for each generation, 1 of 1 for each call.
  Scenario: an engine requests a backoff of an agent of the product's own interface
    When an engine requests a backoff of 1 s for a generation, and more are sent
    Then they are refused as not run with endpoint_resting and the remaining backoff
    And 1 request reached the engine
    And a generation that is sent after the backoff runs

  Scenario: a plain service requests a backoff of its agent
    When a plain service requests a backoff of 1 s for a call, and more are sent
    Then they are refused as not run with endpoint_resting and the remaining backoff
    And 1 request reached the service
    And a call that is sent after the backoff runs

  Scenario: an agent reports a backoff to its gateway
    When an agent refuses a request with endpoint_resting and 0.5 s
    Then its gateway chooses other agents, and this one again after that time

  # The same with refusals that request no backoff: 47 to 53 of 549 to 589 calls were
  # refused.
  Scenario Outline: one of three endpoints refuses calls without a backoff, in virtual time
    Given 6 gateways before 3 endpoints of a plain service
    When for 9 seconds one refuses calls without a backoff, at <rate> calls a second
    Then no call is refused

    Examples:
      | rate |
      | 23   |
      | 200  |

  Scenario: one of three endpoints refuses a gateway's calls without a backoff
    Given 1 gateway before healthy endpoints
    When an endpoint of the desk refuses calls while 60 come one after the other
    Then at most 4 of them reach it in a second
    And all calls are served

  Scenario: an endpoint that refused work is used when no other is left
    Then an endpoint that refuses is ejected for 0.25 to 2 s, and chosen if all refuse

  # The duration of an ejection overflowed after 1,024 ejections.
  Scenario: an endpoint fails for hours
    Then it is still ejected after 2000 ejections
