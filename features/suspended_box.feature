Feature: A box that was suspended

  # A request's caller had left 3 s before, and its gateway sent it to a second endpoint
  # with 1.4 s of its time left: the steady clock had not counted the pause.
  Scenario: a request's time is over when the box wakes
    Given a gateway before endpoints that keep silent
    When a repeatable request waits and the box is suspended for 5 s
    Then no endpoint gets it after the pause, and it is answered within 0.3 s

  # The watch had been lost meanwhile, and was waited for as if it had just begun.
  Scenario: the list of endpoints is older than it seems
    Given a gateway before sound endpoints
    When an endpoint leaves while the box is suspended for 6 s and its watches are lost
    Then the gateway knows within 1.0 s after the pause

  Scenario: the clock of all processes
    Then it counts the time in which the box is suspended
