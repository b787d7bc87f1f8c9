Feature: Plain requests through a gateway of the platform

  @own_whole_answer @not_run_means_not_run @at_most_once
  Scenario Outline: a <kind> request to endpoints with the faults: <fault>
    Given desk endpoints with the faults "<fault>"
    When a caller sends a "<kind>" request
    Then its status is <status> and it ran <runs> times
    And the headers and the body of the answer match its status

    Examples:
      | kind       | fault                     | status | runs |
      | once       |                           | 200    | 1    |
      | once       | fails                     | 500    | 1    |
      | once       | not run                   | 200    | 1    |
      | once       | not run, not run, not run | 503    | 0    |
      | once       | 503 without proof         | 502    | 1    |
      | once       | reset                     | 502    | 1    |
      | once       | silent                    | 504    | 1    |
      | once       | garbage                   | 502    | 1    |
      | once       | no seal                   | 502    | 1    |
      | once       | encoded                   | 502    | 1    |
      | once       | short body                | 502    | 1    |
      | once       | surplus answer            | 200    | 1    |
      | once       | late foreign answer       | 200    | 1    |
      | once       | unframed                  | 200    | 1    |
      | once       | unframed and reset        | 502    | 1    |
      | repeatable | fails                     | 200    | 2    |
      | repeatable | fails, fails              | 500    | 2    |
      | repeatable | not run                   | 200    | 1    |
      | repeatable | 503 without proof         | 200    | 2    |
      | repeatable | reset                     | 200    | 2    |
      | repeatable | silent                    | 200    | 2    |
      | repeatable | garbage                   | 200    | 2    |
      | repeatable | short body                | 200    | 2    |
      | repeatable | unframed and reset        | 200    | 2    |

  @own_whole_answer
  Scenario Outline: requests that follow a faulty answer on the same connection: <fault>
    Given desk endpoints with the faults "<fault>"
    When a caller sends 6 "once" requests one after the other
    Then each gets its own complete answer, except for at most one 502

    Examples:
      | fault               |
      | surplus answer      |
      | late foreign answer |
      | unframed            |
      | short body          |
      | garbage             |

  Scenario: an endpoint that answers before it has read a long body
    Given desk endpoints with the faults "early"
    When a caller sends a "once" request of 60000 bytes
    Then its status is 413
    And the next request of the same caller succeeds

  @not_run_means_not_run
  Scenario Outline: a request that is refused: <fault>
    Given a gateway before healthy endpoints
    When a caller sends the faulty request "<fault>"
    Then its status is <status> and it ran 0 times

    Examples:
      | fault             | status |
      | two lengths       | 400    |
      | no request        | 400    |
      | bad deadline      | 400    |
      | bad token counts  | 400    |
      | no time left      | 503    |
      | huge head         | 431    |
      | huge body         | 413    |
      | huge chunked body | 413    |
      | slow head         | 408    |
      | unknown host      | 404    |
      | unknown path      | 404    |
      | unknown key       | 401    |
      | no key            | 401    |

  Scenario: headers that only the gateway may set, and hop-by-hop headers
    Given a gateway before healthy endpoints
    When a caller sends headers that only the gateway may set
    Then the endpoint gets none of them with the caller's value
    And the endpoint gets the account, its own identity and the remaining time

  @not_run_means_not_run
  Scenario Outline: the process is suspended past the deadline of a <kind> request
    Given a gateway before healthy endpoints
    When a caller sends a "<kind>" request and the process is suspended
    Then its status is 503 and it ran 0 times

    Examples:
      | kind       |
      | once       |
      | repeatable |
      | stream     |

  Scenario: the metrics of a gateway
    Given desk endpoints with the faults "fails"
    When a caller sends a "repeatable" request and the metrics are read
    Then they show the retry, the configuration, the endpoints and the retry budget

  Scenario: endpoints whose addresses are now used by others
    Given a gateway before healthy endpoints
    When two desk endpoints are replaced by others at the same addresses
    Then a "once" request runs once, at the third endpoint

  Scenario: a caller that closes its connection before the answer
    Given desk endpoints with the faults "silent"
    When a caller closes its connection after 0.1 seconds
    Then the endpoint's connection is closed within 0.3 seconds

  Scenario Outline: failures that count against endpoints: <faults>
    Given desk endpoints with the faults "<faults>"
    When a caller sends a "<kind>" request and the failure rates are read
    Then <number> endpoints have a failure rate above 0

    Examples:
      | kind       | faults       | number |
      | repeatable | fails, fails | 0      |
      | repeatable | fails        | 1      |
      | repeatable | fails, reset | 2      |
      | once       | fails        | 1      |

  Scenario: an endpoint that fails at one gateway is ejected by all
    Given 2 gateways before one failing and two healthy endpoints
    When 4 "once" requests have failed at the first gateway
    Then the second gateway ejects the failing endpoint and no other
