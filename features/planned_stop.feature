@planned_stop_cuts_nothing
Feature: A planned stop interrupts no request in progress

  Scenario Outline: <name> is stopped under load
    Given a running deployment
    When <name> is stopped while streams, unstreamed answers and calls run
    Then all of them complete and the process exits successfully

    Examples:
      | name      |
      | review-1  |
      | order-1   |
      | gateway-1 |

  Scenario Outline: <name> gets SIGTERM again while it stops
    Given a running deployment
    When <name> gets SIGTERM repeatedly under load
    Then all of them complete and the process exits successfully

    Examples:
      | name      |
      | review-1  |
      | order-1   |
      | gateway-1 |

  Scenario: a gateway on the platform gets SIGTERM until its process has ended
    Then it exits with 0 each of 3 times

  # Regression: the answers of a gateway that leaves didn't say that their connections end,
  # and callers sent the next request at the moment at which they were closed.
  Scenario: A gateway that leaves tells the callers that keep connections
    Given a running deployment
    When gateway-1 answers a caller's requests after SIGTERM
    Then each of these answers says that its connection ends

  Scenario: Rolling restart of all processes under load
    Given a running deployment
    When every agent and gateway is replaced in turn under load
    Then all requests of all rounds completed
