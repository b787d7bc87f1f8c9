@planned_stop_cuts_nothing
Feature: A planned stop cuts no request in progress

  Scenario Outline: <name> is stopped under load
    Given a running deployment
    When <name> is stopped while streams, whole answers and calls are under way
    Then all of them come whole and the process ends well

    Examples:
      | name      |
      | review-1  |
      | order-1   |
      | gateway-1 |

  Scenario Outline: <name> is told to stop again while it stops
    Given a running deployment
    When <name> is told to stop again and again under load
    Then all of them come whole and the process ends well

    Examples:
      | name      |
      | review-1  |
      | order-1   |
      | gateway-1 |

  Scenario: a gateway on the platform is told to stop again until its process has ended
    Then it ends with 0 each of 3 times

  Scenario: Rolling replacement of all processes under load
    Given a running deployment
    When every agent and gateway is replaced in turn under load
    Then every request of all rounds came whole
