Feature: Numbers from outside the process

  # A time of 1,024 bits raised OverflowError, which stopped the follower of the list.
  Scenario: an integer that is too large for a float, in an endpoint entry
    Then an entry whose cold time is 2**1024 or -2**1024 ms is rejected with a code

  # A generation of that size made peers reject every report of its gateway.
  Scenario: token counts and deadlines that a caller made up
    Then a request with an impossible count or deadline is refused with a code
    And a hint of any size is accepted, and at most as large as a count

  Scenario Outline: an invalid number in <input>
    Then <input> is decoded, but rejected with a code after any of its numbers is spoilt

    Examples:
      | input                  |
      | an endpoint entry      |
      | a configuration        |
      | a stored configuration |
      | a peer's report        |
      | a load update          |
      | a speed report         |
      | crash reports          |
      | a peer's endpoints     |
      | a list of objects      |
      | a settings file        |
      | gateway settings       |
      | agent settings         |
