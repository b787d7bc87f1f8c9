Feature: Agents respect the rate limits that their endpoints advertise

  # A service that had advertised 2 requests a second was sent 40 of 40 requests that
  # arrived within 4 s.
  Scenario Outline: an agent gets more requests than the rate limit of <endpoint> allows
    When <endpoint> advertises 2 requests a second to its agent, and 40 arrive within 4 s
    Then its agent uses the rate limit and never exceeds it
    And the others are refused as not run with endpoint_limited and a time to retry
    And once it advertises no rate limit, no request is refused

    Examples:
      | endpoint        |
      | a plain service |
      | an engine       |

  Scenario: an agent reports a rate limit to its gateway
    When an agent refuses a request with endpoint_limited and 0.5 s
    Then its gateway chooses other agents, and this one again after that time

  Scenario: permits of an agent's rate limiter
    Then in any 4 s there are no more permits than the rate allows and one second's worth
    And an answer without a rate ends the agent's limit, unless it overlaps one with a rate
