Feature: Plain requests through a gateway of the platform

  @own_whole_answer @not_run_means_not_run @at_most_once
  Scenario Outline: a <kind> request at endpoints of which the first <fault>
    Given endpoints of the desk whose faults are "<fault>"
    When a caller sends a "<kind>" request
    Then its status is <status> and it ran <runs> times
    And what the caller got is true

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
  Scenario Outline: what follows on a connection after a first answer that <fault>
    Given endpoints of the desk whose faults are "<fault>"
    When a caller sends 6 "once" requests one after the other
    Then each got its own whole answer or a failure

    Examples:
      | fault               |
      | surplus answer      |
      | late foreign answer |
      | unframed            |
      | short body          |
      | garbage             |

  Scenario: an answer that comes before a long body was read
    Given endpoints of the desk whose faults are "early"
    When a caller sends a "once" request of 60000 bytes
    Then its status is 413
    And the next request of the same caller runs whole

  @not_run_means_not_run
  Scenario Outline: a faulty request: <fault>
    Given a gateway before sound endpoints
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

  Scenario: headers of the system and of the connection
    Given a gateway before sound endpoints
    When a caller sends headers that are the system's to set
    Then the endpoint gets none of them as the caller sent it
    And the endpoint gets the account, its own identity and the time that is left

  @not_run_means_not_run
  Scenario Outline: the process stands still past a <kind> request's time
    Given a gateway before sound endpoints
    When a caller sends a "<kind>" request and the process stands still
    Then its status is 503 and it ran 0 times

    Examples:
      | kind       |
      | once       |
      | repeatable |
      | stream     |

  Scenario: the metrics of a gateway
    Given endpoints of the desk whose faults are "fails"
    When a caller sends a "repeatable" request and the metrics are read
    Then they count the retry, and tell the configuration, the endpoints and the budget

  Scenario: an endpoint whose address another one has taken
    Given a gateway before sound endpoints
    When the first desk endpoint is another one than listed
    Then a "once" request runs once at the other

  Scenario: a caller that leaves midway
    Given endpoints of the desk whose faults are "silent"
    When a caller leaves after 0.1 seconds
    Then the endpoint's connection is closed within 0.3 seconds

  Scenario Outline: whose fault a failing answer is: <faults>
    Given endpoints of the desk whose faults are "<faults>"
    When a caller sends a "<kind>" request and the endpoints are judged
    Then <number> endpoints count as failing

    Examples:
      | kind       | faults       | number |
      | repeatable | fails, fails | 0      |
      | repeatable | fails        | 1      |
      | repeatable | fails, reset | 2      |
      | once       | fails        | 1      |

  Scenario: an endpoint that fails is left out by all gateways together
    Given 2 gateways before one failing and two sound endpoints
    When 4 "once" requests have failed at the first gateway
    Then the second gateway leaves the failing endpoint out, and no other
