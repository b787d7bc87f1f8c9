Feature: How long a generation's output is expected to be

  # The median was reckoned with: of the tokens of 331 long outputs 0.77 were expected,
  # since a few very long ones hold most of the memory.
  Scenario Outline: the sum of what is expected of <outputs>
    Given <outputs>, of which 400 have ended
    Then 400 more come to 0.85 to 1.15 times the tokens expected of them
    And so does what is left of them after 300 tokens

    Examples:
      | outputs                                     |
      | outputs of median 464 that differ by 0.99   |
      | outputs of median 464 that differ by 0.5    |
      | outputs of median 120 that differ by 1.3    |

  Scenario: what is left of an output
    Then what is left of an output is its mean given what was made, at any length

  Scenario: work that has shifted
    Given outputs of median 464 that differ by 0.99, of which 400 have ended
    When outputs of median 1200 that differ by 0.4 have come for 8 minutes
    Then 400 more come to 0.85 to 1.15 times the tokens expected of them

  Scenario: a gateway that has just started
    Given outputs of median 464 that differ by 0.99, of which 400 have ended
    When a gateway starts and hears of them from a peer
    Then 400 more come to 0.85 to 1.15 times the tokens expected of them

  Scenario: callers whose guesses are better or worse than thought
    Then the better the guesses were, the more an estimate follows them
