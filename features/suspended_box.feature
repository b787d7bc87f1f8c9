Feature: A suspended box

  # A gateway sent a request to a second endpoint with 1.4 s of its timeout left, although
  # the caller had left 3 s before: the monotonic clock hadn't counted the suspension.
  Scenario: a request has timed out when the box resumes
    Given a gateway in front of endpoints that don't answer
    When a repeatable request waits and the box is suspended for 5 s
    Then no endpoint gets it after the suspension, and it is answered within 0.3 s

  # A watch was lost during the suspension, and the gateway waited for it as if it had just
  # started.
  Scenario: the list of endpoints became stale during the suspension
    Given a gateway before healthy endpoints
    When an endpoint leaves while the box is suspended for 6 s and its watches are lost
    Then the gateway knows that within 1.0 s after the suspension

  Scenario: the clock of all processes
    Then it includes the time during which the box is suspended
