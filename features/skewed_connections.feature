Feature: Most new connections go to one gateway

  # Each gateway had an equal part of a rate, so one of 6 that got nearly all callers
  # refused three quarters of them while the others left their parts unused.
  Scenario Outline: one of <gateways> gateways gets most calls while endpoints advertise a rate
    Given <gateways> gateways and <endpoints> endpoints that accept <rate> calls a second each
    When of <load> calls a second 0.95 come to one gateway after 6 s, for 10 s
    Then calls are served at the first attempt 0.75 as often as before
    And the endpoints never get more than they accept

    Examples:
      | gateways | endpoints | rate | load |
      | 6        | 4         | 12   | 30   |
      | 24       | 8         | 8    | 40   |
