Feature: Callers that are gone, and callers that come while a gateway is busy

  Scenario Outline: a caller that is gone <when>
    Given a gateway before 2 engines that make no event for now
    When the caller of a stream closes its connection <when>
    Then nothing is sent to an engine from 0.5 s later on
    And what was sent to an engine is cancelled within 0.5 s

    Examples:
      | when                             |
      | in the middle of its body        |
      | while its request awaits memory  |
      | before the first event           |
      | in the middle of its stream      |

  Scenario: a gateway that is ready and busy
    Given a gateway before healthy endpoints
    When 300 callers connect together and each sends a request
    Then all connections are accepted within 1 s, and all requests are answered

  Scenario: idle connections take the descriptors of a gateway
    Given a gateway before healthy endpoints
    When 30 callers keep idle connections, and descriptors suffice for 20
    Then all were served, and the 10 that were idle for longest are closed

  @not_run_means_not_run
  Scenario Outline: a request that can't be served: <reason>
    Given a gateway before healthy endpoints
    When a request arrives that can't be served: <reason>
    Then it is refused with <status> within 0.18 s, and nothing ran

    Examples:
      | reason                    | status |
      | no endpoint of its kind   | 503    |
      | all its halls are drained | 503    |
      | no time is left           | 503    |
      | a key that is not known   | 401    |
