Feature: Long generations leave the reading of prompts to more urgent ones

  # A third of the short generations that found two prompts or more at their engine had
  # their first part late, as prompts of long ones, due seconds later, were read first.
  Scenario: prompts arrive at an engine almost as fast as it reads them
    Given an engine that gets prompts of long and short generations in bursts
    When long generations defer their prompts
    Then 9 of 10 first parts of short ones arrive within 1.5 s, and fewer without deferral
    And each first part of a long one arrives within 4 s

  Scenario Outline: <case>
    Then a long generation that has waited <waited> s defers to <pending> pending tokens, at targets of <target> and <shortest> s: <defers>

    Examples:
      | case                                       | waited | pending | target | shortest | defers |
      | two prompts are pending                    | 0.0    | 6000    | 4.0    | 1.5      | yes    |
      | hardly a prompt is pending                 | 0.0    | 1000    | 4.0    | 1.5      | no     |
      | it would be late itself                    | 1.0    | 6000    | 4.0    | 1.5      | no     |
      | nothing is more urgent                     | 0.0    | 6000    | 4.0    | 4.0      | no     |
      | the targets of the service are similar     | 0.0    | 6000    | 1.8    | 1.5      | no     |
      | the service has no route with a target     | 0.0    | 6000    | 4.0    | inf      | no     |

  Scenario: a short generation never defers
    Then a short generation doesn't defer to 20000 pending tokens

  Scenario: the shortest target of a service counts streams only
    Then of routes with targets of 4 s, 1.5 s and a call of 0.2 s the shortest is 1.5 s
