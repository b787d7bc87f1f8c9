Feature: An endpoint of the product's own interface names the rate that it takes

  # 40 of 40 requests that came within 4 s were sent to a service that had named 2 a second.
  Scenario Outline: an agent sends <endpoint> more than the rate that it names
    When <endpoint> names 2 requests a second to its agent, and 40 come within 4 s
    Then it gets what it takes from its agent, and no more
    And the others are refused as unrun with endpoint_limited and a time to come back
    And once it names no rate any more it gets what comes

    Examples:
      | endpoint        |
      | a plain service |
      | an engine       |

  Scenario: an agent tells its gateway of a limit
    When an agent refuses a request with endpoint_limited and 0.5 s
    Then its gateway chooses others, and it again after that time

  Scenario: an agent's permits
    Then in any 4 s they are no more than the rate allows, and one second's worth
    And an answer without a rate ends it, unless it has crossed one that named it
