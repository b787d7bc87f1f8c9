Feature: Endpoints that advertise a rate limit for all gateways together

  # Two of three endpoints advertised 2.4 and 1.7 requests a second, and got 27 and 19
  # within 4 s.
  Scenario: an endpoint gets more than its rate limit, in virtual time
    When one of 3 endpoints advertises a rate limit for 9 seconds
      | gateways | rate | load |
      | 6        | 2.4  | 23   |
      | 24       | 1.8  | 60   |
      | 68       | 1.8  | 100  |
      | 6        | 0.3  | 23   |
    Then gateways that know of the limit never send more than it allows
    And no call is refused

  Scenario: an endpoint gets more than its rate limit
    Given 2 gateways before healthy endpoints
    When an endpoint of the desk advertises 2 requests a second while calls come
    Then gateways that know of the limit never send more than it allows
    And all calls are served

  Scenario: all gateways together respect a rate limit
    Then in any 4 s they send at most 4 times the rate, however many they are
    And each of them has a quota if there are enough requests

  Scenario: gateways start and stop while an endpoint is limited
    Then no span of 4 s has more requests than allowed while single gateways come and go

  Scenario Outline: which answers advertise a rate limit
    Then a <status> answer with the rate "<value>" advertises <rate>

    Examples:
      | status | value       | rate    |
      | 200    | 2.4         | 2.4     |
      | 503    | 2.4         | 2.4     |
      | 200    | 0           | 0       |
      | 200    | 3 and 2     | 2       |
      | 200    | 3, 2        | 2       |
      | 200    | 3, soon     | 3       |
      | 200    | 1e300       | 1e300   |
      | 200    | -1          | nothing |
      | 200    | inf         | nothing |
      | 200    | nan         | nothing |
      | 200    | 1_0         | nothing |
      | 200    | soon        | nothing |
      | 421    | 2.4         | nothing |

  Scenario: an invalid rate leaves the last one in force
    Given 1 gateway before healthy endpoints
    When an endpoint advertises 2 requests a second and then "soon"
    Then it is limited to 2 requests a second

  Scenario: which answers end a limit
    Then an answer without a rate ends a limit, unless it overlaps one that advertised it
    And an answer that belongs to no request doesn't end it
    And a limit of one incarnation doesn't apply to the next one

  Scenario: peers report a limit
    Then the latest answer counts, whichever gateway received it
    And reports with rate limits are decoded, and invalid ones refused with their code

  Scenario: no request was sent to a limited endpoint for a while
    Then one gateway after the other probes whether the limit still applies

  Scenario: an endpoint that accepts no requests at all
    Then it gets one each 10 s from all gateways together

  Scenario Outline: all endpoints of <service> are limited
    Given 1 gateway before healthy endpoints
    When all endpoints of <service> advertise 1 request a second, and 6 come at once
    Then some are served and the others refused within 0.2 s as not run
    And each refusal has another Retry-After

    Examples:
      | service   |
      | the desk  |
      | the model |

  # The refusal said that all endpoints had requested backoffs, and a gateway without a
  # quota sent no Retry-After.
  Scenario: all endpoints accept no requests at all, and a caller is told when to retry
    Given 2 gateways before healthy endpoints
    When all endpoints of the desk advertise a rate of 0, and a call comes to each gateway
    Then each is refused with endpoints_limited, to retry within 30 s

  Scenario: a rate limit is advertised while a call connects to the endpoint
    Given 1 gateway before healthy endpoints
    When an endpoint's rate limit is reached while a call to it connects
    Then the call is served elsewhere

  Scenario: a stream breaks off while the rate limit of its backup is reached
    Given 2 engines
    When the engine of a large stream crashes while its backup's rate limit is reached
    Then the limited engine gets nothing, and the stream ends incomplete

  Scenario: rate limits apply to backups and moves
    Then an endpoint whose rate limit is reached gets no backup and no move

  Scenario: the log shows why an endpoint was skipped
    Given 1 gateway before healthy endpoints
    When an endpoint's rate limit is reached, and then a call is served
    Then the log of that call names the endpoint as limited
    And the log has the limit and this gateway's quota of it
