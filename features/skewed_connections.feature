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

  # A part that is used by a borrower and its lender would exceed the rate.
  Scenario: gateways lend each other parts of a rate, and messages are late or lost
    Then in any 4 s gateways that lend send at most 4 times the rate, wherever callers are

  Scenario: callers are spread evenly while gateways may lend
    Then gateways that get as many callers as others lend nothing

  Scenario: peers send any loan messages
    Then loan messages are decoded or refused with their code
