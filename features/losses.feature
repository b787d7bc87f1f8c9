Feature: Lost and late requests, from logs alone

  Scenario Outline: a request whose last line is <last>
    Given logs in which a request's last line is "<last>"
    When the losses are requested
    Then its cause is "<cause>"

    Examples:
      | last                              | cause                    |
      | complete in time                  | none                     |
      | complete after the target latency | late: whole answer       |
      | stream with a late first event    | late: first part         |
      | stream with a pause               | late: pause              |
      | status 500 from the endpoint      | endpoint's own failure   |
      | refused                           | refused: 503 no_endpoint |
      | broken off                        | stream broken off        |
      | caller disconnected               | caller gone              |
      | gateway restarted                 | gateway ended            |
      | no further line                   | open when the log ends   |

  Scenario: the pace of long streams is reported per engine, relative to the bound
    Given logs of 100 long streams at 10 ms per token and 10 at 20 ms at another engine
    When the losses are requested
    Then the engines' paces are 1.0 and 2.0 times the bound

  Scenario: a complete line behind a truncated one
    Given logs in which a request's last line is "gateway restarted, behind a truncated line"
    When the losses are requested
    Then its cause is "gateway ended"

  Scenario: logs without a request, and a missing file
    Then the command fails and names the error

  Scenario: generations that are longer than expected
    Given logs in which 100 generations make twice the expected tokens
    When the length estimates are reviewed
    Then actual over expected tokens is 2.0, and the command fails without generations
