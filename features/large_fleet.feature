Feature: Many gateways that choose at the same time, in virtual time

  # Gateways hear of each other's work once in 1.1 s. All chose the engine that these
  # views showed empty: 18 generations were there while 2 were known, others stood idle,
  # and one of ten first tokens came after 2.6 s, though a quarter of the fleet's time
  # to read prompts was used.
  Scenario Outline: <gateways> gateways before <engines> engines on a calm day
    Given <gateways> gateways before <engines> engines, <starts> generations a second
    When they serve for 12 seconds
    Then 9 of 10 first tokens come within 1.0 s
    And generations are placed within 2.0 of the least loaded engine in the mean

    Examples:
      | gateways | engines | starts |
      | 6        | 7       | 6      |
      | 30       | 22      | 20     |
      | 68       | 31      | 28     |
      | 100      | 31      | 28     |
