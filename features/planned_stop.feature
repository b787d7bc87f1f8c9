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

  Scenario: Rolling restart of all processes under load
    Given a running deployment
    When every agent and gateway is replaced in turn under load
    Then all requests of all rounds completed
