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

  Scenario Outline: <gateways> gateways share <endpoints> endpoints
    Then <gateways> gateways choose from <chosen> of <endpoints> endpoints each
    And each endpoint has <least> to <most> gateways, which are told of its starts

    Examples:
      | gateways | endpoints | chosen | least | most |
      | 1        | 9         | 9      | 1     | 1    |
      | 6        | 7         | 7      | 6     | 6    |
      | 3        | 50        | 34     | 2     | 3    |
      | 30       | 22        | 12     | 16    | 17   |
      | 60       | 31        | 12     | 23    | 24   |
      | 61       | 31        | 12     | 23    | 24   |
      | 68       | 31        | 12     | 26    | 27   |
      | 410      | 2300      | 12     | 2     | 3    |

  Scenario: a subset whose endpoints all fail or are full
    Then a generation is placed at another endpoint, if there is one

  Scenario: notes of load and reports in any order
    Then a note counts until the next report of its gateway, and never after a newer one

  Scenario Outline: news in a fleet of <gateways> gateways
    Then a herd of failures costs each of <gateways> gateways at most 1200 datagrams a second
    And of <gateways> gateways some 12 pass a departure on, or all others if these are fewer

    Examples:
      | gateways |
      | 6        |
      | 61       |
      | 410      |
