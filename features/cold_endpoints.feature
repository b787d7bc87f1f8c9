Feature: Endpoints that have just started

  Scenario: the parts of all gateways
    Then the parts of any number of gateways add up to what an endpoint bears

  # A third of a service came back together, and everybody sent there: 3 times what it
  # bears, in its worst second.
  Scenario Outline: <gateways> gateways before <endpoints> endpoints, <cold> of them cold
    Given <gateways> gateways before <endpoints> endpoints, <cold> of them cold
    And cold endpoints bear <rate> requests a second
    When <starts> requests come a second for <seconds> seconds
    Then no cold endpoint gets more than <rate> requests in any second
    And the cold ones get at least <used> of what they bear
    And nobody is refused while a warm endpoint is there

    Examples:
      | gateways | endpoints | cold | rate | starts | seconds | used |
      | 1        | 6         | 2    | 32   | 300    | 4       | 0.9  |
      | 23       | 22        | 7    | 32   | 900    | 4       | 0.8  |
      | 23       | 22        | 7    | 4    | 200    | 4       | 0.4  |
      | 410      | 300       | 100  | 32   | 9000   | 2       | 0.4  |

  Scenario: some gateways are gone, and nobody has missed them yet
    Given 23 gateways before 22 endpoints, 7 of them cold
    And cold endpoints bear 32 requests a second
    And 8 of the gateways are gone
    When 900 requests come a second for 4 seconds
    Then no cold endpoint gets more than 32 requests in any second

  @not_run_means_not_run
  Scenario: all endpoints of a service are cold and have what they bear
    Given a gateway before cold endpoints that bear 2 requests a second each
    When 30 requests come at once
    Then 6 of them run, and the others are refused at once, unrun
    And 2 seconds later requests run again

  Scenario: who tells that an endpoint is cold
    Then what an entry says counts, and what a peer has seen, for its time
    And an endpoint that a peer's list adds counts as cold for its service's time
