Feature: Gateways that don't watch the store themselves hear of changes in time

  # Two gateways of a data hall watch for all others. Those that the store still served
  # acted on the old state for up to 5.5 s after it had turned silent to these two.
  @accepted_config_in_force @leaving_gets_no_new_work
  Scenario Outline: the store is silent towards all watchers <seconds> s before <change>
    Given 6 gateways of one data hall, of which 2 watch the store
    When the store turns silent towards these 2, and <change> <seconds> s later
    Then the other gateways act on it within 2 s

    Examples:
      | seconds | change                |
      | 0.05    | a route is added      |
      | 0.7     | a route is added      |
      | 1.5     | a route is added      |
      | 0.05    | an endpoint leaves    |
      | 0.05    | an endpoint's end     |
      | 0.05    | a hall is drained     |

  Scenario: watchers whose gateways have just ended
    Given 6 gateways of one data hall, of which 2 watch the store
    When these 2 gateways end, and a route is added at that moment
    Then the other gateways act on it within 2 s

  Scenario Outline: a watcher whose last report is <age> s old in a fleet of <gateways>
    Then the others of <gateways> gateways <rely> on a watcher that reported <age> s ago

    Examples:
      | gateways | age | rely       |
      | 6        | 0.5 | rely       |
      | 6        | 1.2 | don't rely |
      | 24       | 0.9 | rely       |
      | 24       | 1.2 | don't rely |
      | 60       | 1.9 | rely       |
      | 410      | 7.0 | rely       |

  Scenario Outline: <gateways> gateways of one data hall call the store
    Then of <gateways> gateways each watcher calls it at most <calls> times a second

    Examples:
      | gateways | calls |
      | 2        | 1.0   |
      | 6        | 2.5   |

  # A gateway that was paused took the answer that it had not read yet for overdue.
  Scenario: a watcher that was paused for 0.6 s
    Given 6 gateways of one data hall, of which 2 watch the store
    When the process is paused for 0.6 s several times
    Then no gateway says that the store is silent
