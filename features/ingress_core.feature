Feature: Decisions of a gateway of the platform, checked with random inputs

  @not_run_means_not_run @at_most_once
  Scenario: attempts that may follow an outcome
    Then no sequence of outcomes leads to a false 503 or a second run of a once request

  @accepted_config_in_force
  Scenario: configuration versions in any order
    Then the version in force never decreases

  @leaving_gets_no_new_work
  Scenario: changes of endpoints in any order
    Then an endpoint that announced that it leaves is never listed again

  @leaving_gets_no_new_work
  Scenario: a stopped run that its target refuses
    Then it may continue at its source for 1 second after the notice, and no longer

  @leaving_gets_no_new_work
  Scenario: half of a service's entries are removed at once
    Then a possibly expired entry is dropped within 2 seconds, sweep interval included

  @tokens_once_in_order
  Scenario: a stream in any chunks, from any number of endpoints
    Then each event is delivered once and in order, whatever the chunks

  Scenario: gateways that watch the store
    Then in any fleet 2 gateways of each data hall watch, and all if no peer reads the store
    And gateways with wide links watch, and others only if there are too few of those

  Scenario: evacuation plan for an endpoint that leaves
    Then each generation is planned once, and the order of reports changes nothing

  Scenario: evacuation plans within the time of the notice
    Then 6 generations go to 6 targets, and 14 in time to those of the same data hall

  Scenario: retries in any order
    Then no window has more retries than the budget allows

  Scenario Outline: malformed input to the parser of <parser>
    Then reading <parser> raises only errors with a code

    Examples:
      | parser            |
      | a peer's report   |
      | a load update     |
      | a speed report    |
      | a settings file   |
      | a configuration   |
      | an endpoint entry |
      | a request's head  |

  Scenario: a log whose reader stops
    When a log of 20000 lines is written to a pipe that nobody reads
    Then no write blocks, memory is bounded, and omitted lines are counted

  Scenario: an endpoint that fails several times in a row
    Then its ejection time doubles each time, until a success ends the ejections

  Scenario: peers' loads in any order of reports
    Then the load of an endpoint is the sum of the latest reports that still count

  Scenario: a choice in a large fleet
    Then a choice among 80 endpoints with 100 peers sums up no report

  Scenario Outline: a healthy fleet of <gateways> gateways
    Then with <gateways> gateways each considers all others live at any time

    Examples:
      | gateways |
      | 6        |
      | 30       |
      | 100      |
      | 300      |

  Scenario: placement policies by name
    Then each policy ranks engines by the criterion that its name states

  Scenario: choices and plans in a fleet of 3000 endpoints
    Then a choice considers 64 of them, a plan 48, and all gateways the same ones

  Scenario: the fingerprint of a list of endpoints
    Then it is independent of the order, differs after each change, and is computed once

  Scenario Outline: detection of a store that answers no gateway: <ages>
    Then with the gateways' last answers <ages> s ago the store <state>

    Examples:
      | ages                    | state                |
      | 0.2, 0.3, 2.5           | does not seem silent |
      | 0.2 overdue, 3 overdue  | does not seem silent |
      | 2.9, 3.5, 2.8           | does not seem silent |
      | 0.9, 1.0 overdue, 1.4   | seems silent         |
      | 2.4 overdue             | seems silent         |

  Scenario: gateways report the store's last answer to each other
    Then a report includes the age of the store's last answer, also if there was none

  @not_run_means_not_run
  Scenario Outline: retry delay of a caller that a stopping gateway refuses
    Given gateways that were told to stop <ago> s ago, with a grace period of 8 s
    When the other gateways <others>
    Then a refused caller is told to retry after <seconds> s

    Examples:
      | ago      | others  | seconds |
      | 3.0      | stay    | 0.02    |
      | 3.0      | stop    | 6.2     |
      | 3.0, 7.0 | stop    | 2.2     |
      | 9.5      | stop    | 0.02    |

  Scenario Outline: placement of a generation at ikeja when streams from lekki have <pauses>
    Given an engine at ikeja that holds <tokens> tokens, and an empty one at lekki
    When streams from lekki have <pauses>
    Then the generation is placed at <hall>

    Examples:
      | tokens | pauses                               | hall  |
      | 6000   | 50 parts, none late                  | lekki |
      | 6000   | 50 parts, 2 of them 0.21 s late      | ikeja |
      | 6000   | 2 late parts, and 100 in time since  | lekki |
      | 20000  | 50 parts, 2 of them 0.21 s late      | lekki |

  Scenario Outline: outcomes at an endpoint observed by several gateways: <outcomes>
    Given the outcomes "<outcomes>" at an endpoint, observed by this gateway and its peers
    Then they <verdict> that the endpoint fails

    Examples:
      | outcomes           | verdict     |
      | 1/0, 1/0, 2/0      | show        |
      | 3/0                | do not show |
      | 4/0                | show        |
      | 1/0, 1/0, 1/0, 1/9 | do not show |
      | 6/1, 0/3           | show        |
      | 6/1, 0/9           | do not show |

  Scenario: outcomes that are reported and expire
    Then successes are reported only if a gateway observes failures, and for 0.7 s

  Scenario: writes of the log to a pipe have complete lines
    When 100 lines of 300 bytes are flushed together
    Then each write has complete lines and at most PIPE_BUF bytes
