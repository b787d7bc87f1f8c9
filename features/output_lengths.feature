Feature: Expected output lengths of generations

  # Guards against estimates by the median: it expected only 0.77 of the tokens of 331 long
  # outputs, since a few very long outputs hold most of the memory.
  Scenario Outline: Sum of the expected lengths of <outputs>
    Given <outputs>, of which 400 have ended
    Then 400 more have 0.85 to 1.15 times the tokens expected of them
    And after 300 tokens they have 0.8 to 1.2 times the tokens expected of the rest

    Examples:
      | outputs                                  |
      | outputs with median 464 and spread 0.99  |
      | outputs with median 464 and spread 0.5   |
      | outputs with median 120 and spread 1.3   |

  Scenario: Remaining length of an output
    Then the remaining length of an output is its conditional mean, at any length

  Scenario: A change of the workload
    Given outputs with median 464 and spread 0.99, of which 400 have ended
    When outputs with median 1200 and spread 0.4 have arrived for 8 minutes
    Then 400 more have 0.85 to 1.15 times the tokens expected of them

  Scenario: A gateway that has just started
    Given outputs with median 464 and spread 0.99, of which 400 have ended
    When a gateway starts and receives a peer's report of them
    Then 400 more have 0.85 to 1.15 times the tokens expected of them

  Scenario: Callers whose hints are more or less accurate than assumed
    Then the more accurate hints were, the more an estimate follows them
