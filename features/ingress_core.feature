Feature: Decisions of a gateway of the platform, at random

  @not_run_means_not_run @at_most_once
  Scenario: what may follow an attempt
    Then no sequence of outcomes leads to an untrue 503 or a second run of a once request

  @accepted_config_in_force
  Scenario: versions in any order
    Then the version in force never goes back

  @leaving_gets_no_new_work
  Scenario: endpoints in any order of changes
    Then an endpoint that said it leaves is never given again

  @leaving_gets_no_new_work
  Scenario: a stopped run that its target doesn't take
    Then it may go back to its source for 1 second after the notice, and no longer

  @leaving_gets_no_new_work
  Scenario: half of a service's entries go at once
    Then what is doubted is dropped before 2 seconds have passed, sweeps included

  @tokens_once_in_order
  Scenario: a stream in any parts, over any number of endpoints
    Then each event is let through once and in order, whatever the parts

  Scenario: who watches the store
    Then in any fleet 2 gateways of each data hall watch, and all when none is heard
    And those with wide links watch, and others only where there are too few of them

  Scenario: a plan for endpoints that leave
    Then each generation is planned once, the same from any order of notes

  Scenario: plans that the time allows
    Then 6 generations go to an even spread of targets, and 14 by the shortest copies

  Scenario: retries in any order
    Then no window has more retries than the budget allows

  Scenario Outline: bad input to <parser>
    Then reading <parser> raises only errors with a code

    Examples:
      | parser            |
      | a peer's report   |
      | a note of load    |
      | a settings file   |
      | a configuration   |
      | an endpoint entry |
      | a request's head  |

  Scenario: a log whose reader stops
    When a log of 20000 lines is written to a pipe that nobody reads
    Then no write waited, memory is bounded, and the count of omitted lines is told

  Scenario: an endpoint that fails several times in a row
    Then it is ejected for a while that doubles, and back after a success

  Scenario: peers' loads in any order of reports
    Then the load of an endpoint is the sum of the newest reports that count

  Scenario: a choice in a large fleet
    Then a choice among 80 endpoints with 100 peers adds up no peer's report

  Scenario Outline: a fleet of <gateways> gateways in which nothing is wrong
    Then with <gateways> gateways each counts all others as living, at any time

    Examples:
      | gateways |
      | 6        |
      | 30       |
      | 100      |
      | 300      |

  Scenario: placement policies by name
    Then each policy of the setting ranks engines by what its name says

  Scenario: choices and plans in a fleet of 3000 endpoints
    Then a choice looks at 64 of them, a plan at 48, the same ones at all gateways

  Scenario: what stands for a list of endpoints
    Then it is the same from any order, another after each change, and worked out once

  Scenario Outline: whether the store answers nobody: <ages>
    Then with the gateways' last answers <ages> s ago the store <state>

    Examples:
      | ages                    | state                |
      | 0.2, 0.3, 2.5           | does not seem silent |
      | 0.2 overdue, 3 overdue  | does not seem silent |
      | 2.9, 3.5, 2.8           | does not seem silent |
      | 0.9, 1.0 overdue, 1.4   | seems silent         |
      | 2.4 overdue             | seems silent         |

  Scenario: what gateways tell each other of the store
    Then a report tells of the store's last answer, also if there was none

  @not_run_means_not_run
  Scenario Outline: when a caller that a stopping gateway refuses may come back
    Given gateways that were told to stop <ago> s ago, with a grace of 8 s
    When others <others>
    Then a refused caller is told to come back in <seconds> s

    Examples:
      | ago      | others  | seconds |
      | 3.0      | stay    | 0.02    |
      | 3.0      | stop    | 6.2     |
      | 3.0, 7.0 | stop    | 2.2     |
      | 9.5      | stop    | 0.02    |

  Scenario Outline: a generation at ikeja when streams from lekki have <pauses>
    Given an engine at ikeja that holds <tokens> tokens, and an empty one at lekki
    When streams from lekki have <pauses>
    Then the generation is placed at <hall>

    Examples:
      | tokens | pauses                               | hall  |
      | 6000   | 50 parts, none late                  | lekki |
      | 6000   | 50 parts, 2 of them 0.21 s late      | ikeja |
      | 6000   | 2 late parts, and 100 in time since  | lekki |
      | 20000  | 50 parts, 2 of them 0.21 s late      | lekki |

  Scenario Outline: outcomes at an endpoint seen by several gateways: <outcomes>
    Given the outcomes "<outcomes>" at an endpoint, of this gateway and its peers
    Then they <verdict> that the endpoint fails

    Examples:
      | outcomes           | verdict     |
      | 1/0, 1/0, 2/0      | show        |
      | 3/0                | do not show |
      | 4/0                | show        |
      | 1/0, 1/0, 1/0, 1/9 | do not show |
      | 6/1, 0/3           | show        |
      | 6/1, 0/9           | do not show |

  Scenario: outcomes that are told and forgotten
    Then successes are told only where somebody sees failures, and for 0.7 s

  Scenario: whole lines go into a pipe, as many as it takes at once
    When 100 lines of 300 bytes are written out together
    Then each write is of whole lines, and at most as long as a pipe takes at once
