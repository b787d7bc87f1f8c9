Feature: What was lost or late, from logs alone

  Scenario Outline: a request whose last line is <last>
    Given logs in which a request's last line is "<last>"
    When the losses are asked for
    Then its cause is "<cause>"

    Examples:
      | last                  | cause                      |
      | whole in time         | none                       |
      | whole after the aim   | late: whole answer         |
      | stream's late first   | late: first part           |
      | stream with a pause   | late: pause                |
      | endpoint's 500        | endpoint's own failure     |
      | refused               | refused: 503 no_endpoint   |
      | broken off            | stream broken off          |
      | caller gone           | caller gone                |
      | gateway started again | gateway ended              |
      | nothing more          | open when the log ends     |

  Scenario: the pace of long streams is told by engine, beside the bound
    Given logs of 100 long streams at 10 ms a token and 10 at 20 ms at another engine
    When the losses are asked for
    Then the engines' paces are 1.0 and 2.0 times the bound

  Scenario: a whole line behind one that was cut short
    Given logs in which a request's last line is "gateway started again, behind a cut line"
    When the losses are asked for
    Then its cause is "gateway ended"

  Scenario: logs without a request, and a file that isn't there
    Then the verb says so with its exit code

  Scenario: lengths that are not what was expected
    Given logs in which 100 generations make twice the tokens that were expected
    When the beliefs are asked for
    Then 2.0 of what was expected came, and the verb fails without generations
