Feature: Slow start of endpoints

  Scenario: quotas of all gateways
    Then the quotas of any number of gateways add up to what an endpoint accepts

  # A third of a service's endpoints returned together, and all gateways sent there: 3
  # times the rate that cold endpoints can handle, in the worst second.
  Scenario Outline: <gateways> gateways before <endpoints> endpoints, <cold> of them cold
    Given <gateways> gateways before <endpoints> endpoints, <cold> of them cold
    And cold endpoints can handle <rate> requests a second
    When <starts> requests come a second for <seconds> seconds
    Then no cold endpoint gets more than <rate> requests in any second
    And the cold ones get at least <used> of what they can handle
    And no request is refused while a warm endpoint is available

    Examples:
      | gateways | endpoints | cold | rate | starts | seconds | used |
      | 1        | 6         | 2    | 32   | 300    | 4       | 0.9  |
      | 23       | 22        | 7    | 32   | 900    | 4       | 0.8  |
      | 23       | 22        | 7    | 4    | 200    | 4       | 0.4  |
      | 410      | 300       | 100  | 32   | 9000   | 2       | 0.4  |

  Scenario: some gateways have crashed, and their peers have not noticed yet
    Given 23 gateways before 22 endpoints, 7 of them cold
    And cold endpoints can handle 32 requests a second
    And 8 of the gateways have crashed
    When 900 requests come a second for 4 seconds
    Then no cold endpoint gets more than 32 requests in any second

  @not_run_means_not_run
  Scenario: all endpoints of a service are cold and at their limit
    Given a gateway before cold endpoints that can handle 2 requests a second each
    When 30 requests come at once
    Then 6 of them run, and the others are refused at once as not run
    And 2 seconds later requests run again

  Scenario: how gateways learn that an endpoint is cold
    Then an endpoint is cold for the time in its entry or in a peer's report
    And an endpoint added by a peer's list is cold for its service's cold start time
