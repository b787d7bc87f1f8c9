Feature: An endpoint turns a request away and asks for rest

  # One of three endpoints of a plain service turned all calls away for 9 s and asked for
  # 3 s of rest each time. Six gateways sent it 134 calls in 8 s, up to eight of one gateway
  # in one rest, and from the third second on refused callers ("request_refused status 503
  # code endpoints_refused retry_after 0.25") though the two others worked. An endpoint that
  # refuses within 2 ms seems the least loaded, so it was tried first ("attempt_started
  # attempt 1 cost 0.0033", "attempt_ended rejected, not run, status 503"), and each such try
  # took a retry until none was left. A refusal that proves that nothing ran blamed nobody,
  # and its time to come back wasn't read.
  Scenario: one of three asks for it, in virtual time
    Given 6 gateways before 3 endpoints of a plain service
    When for 9 seconds one turns calls away and asks for 3 s of rest
    Then at most 2 calls of a gateway reach it within a rest
    And no call is refused

  Scenario: one of three asks a gateway for it
    Given 1 gateway before sound endpoints
    When an endpoint of the desk turns a call away and asks for 1 s of rest
    Then it gets no call from the gateway within that time, and some after it
    And all calls are served

  Scenario Outline: what asks for rest and what doesn't
    Then an answer of <status> with "<value>" asks for <rest>

    Examples:
      | status | value                         | rest    |
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

  Scenario: rests that overlap
    Then a shorter rest that is asked for later doesn't end a longer one
    And one incarnation's rest isn't its successor's

  Scenario Outline: all endpoints of <service> rest
    Given 1 gateway before sound endpoints
    When all endpoints of <service> ask for 10 s of rest
    Then a "<kind>" request is refused within 0.2 s, to come back when the first has rested
    And none has got a request within its rest

    Examples:
      | service   | kind       |
      | the desk  | once       |
      | the desk  | repeatable |
      | the model | stream     |

  Scenario Outline: all rest, and the first has rested in a moment
    Given 1 gateway before sound endpoints
    When a "<kind>" request comes 20 ms before the end of all rests
    Then it is served

    Examples:
      | kind   |
      | once   |
      | stream |

  Scenario: a call waits for its connection when its endpoint asks for rest
    Given 1 gateway before sound endpoints
    When an endpoint asks for rest while a call to it connects
    Then the call is served elsewhere

  Scenario: a refusal doesn't say whether the request has run
    Given 1 gateway before sound endpoints
    When an endpoint answers 503 with a time to rest and without a proof
    Then the caller isn't told that nothing has run, and the endpoint rests

  Scenario Outline: a stream breaks off and its backup rests
    Given 2 engines
    When a caller reads a large stream, its backup has <rest> s to rest, and its engine crashes
    Then the resting engine gets nothing within that time, and the stream ends <as>

    # Callers give a stream up after a pause of 2 s.
    Examples:
      | rest | as        |
      | 10   | not whole |
      | 0.4  | whole     |

  Scenario: why an endpoint was left out
    Given 1 gateway before sound endpoints
    When an endpoint asks for rest, and then a call is served
    Then the log of that call names the endpoint as resting

  # An agent took its engine's refusal for a lost engine: it asked again for a generation
  # that had never begun, and the caller was told "engine_lost" with an unknown outcome. Two
  # of these hold a request, as if engines had crashed under it. What came next was sent
  # into the rest: 2 of 2 requests of each generation, 1 of 1 of each call.
  Scenario: an engine asks an agent of the product's own interface for it
    When an engine asks its agent for 1 s of rest under a generation, and more are sent
    Then they are refused as unrun with endpoint_resting and what is left of the rest
    And 1 request reached the engine
    And a generation that is sent after the rest runs

  Scenario: a plain service asks its agent for it
    When a plain service asks its agent for 1 s of rest under a call, and more are sent
    Then they are refused as unrun with endpoint_resting and what is left of the rest
    And 1 request reached the service
    And a call that is sent after the rest runs

  Scenario: an agent tells its gateway of a rest
    When an agent refuses a request with endpoint_resting and 0.5 s
    Then its gateway chooses others, and it again after that time

  # The same with refusals that ask for nothing: of 549 to 589 calls 47 to 53 were refused.
  Scenario Outline: one of three turns calls away and asks for nothing, in virtual time
    Given 6 gateways before 3 endpoints of a plain service
    When for 9 seconds one turns calls away, of <rate> a second
    Then no call is refused

    Examples:
      | rate |
      | 23   |
      | 200  |

  Scenario: one of three turns a gateway's calls away and asks for nothing
    Given 1 gateway before sound endpoints
    When an endpoint of the desk turns calls away while 60 come one after the other
    Then at most 4 of them reach it in a second
    And all calls are served

  Scenario: what turned work away is tried when nothing else is left
    Then an endpoint that refuses is left out for 0.25 to 2 s, and chosen if all refuse

  # After 1,024 ejections the time of the next one was no longer a number.
  Scenario: an endpoint fails for hours
    Then it is still left out after 2000 ejections
