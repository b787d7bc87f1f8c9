@own_store_returns
Feature: The product's own interface before a store that comes back from an older copy

  # What was accepted was only in the store and in the gateways' views. After the return
  # the views went on with numbers that the store gives out again: an edit after it was
  # taken for an old one, and the lost one was in force at gateways that had seen it and
  # nowhere else.
  Scenario Outline: <edit>, and the store loses that
    Given a running deployment
    And every box's version is watched
    When <edit> and the store comes back from a copy of before
    Then the edit stays in force at both gateways and is in the store again
    And the next edit is in force at both gateways
    And no box ever went back to an older version

    Examples:
      | edit                        |
      | an account is changed       |
      | an account is created       |
      | an account is deleted       |
      | an account's key is changed |

  Scenario: an agent comes when the store's revisions have gone back far
    Given a running deployment
    When 120 edits are lost by the store's return
    Then both gateways find an agent that is new

  Scenario: an operator edits what the store has lost
    Given a running deployment
    When an account is changed and the store comes back from a copy of before
    Then an edit of the version that was accepted is refused for a moment or accepted
    And it is in force at both gateways in the end

  # An agent that is back took its predecessor's mint times by the copy, while the one
  # that had taken them since was alive and had run some.
  Scenario: mint times that another agent took since the copy
    Given a running deployment
    When order-1 dies, order-2 takes its mint times and runs keys of them
    And the store comes back from a copy of before, and order-1 is there again
    Then none of the keys is run again by order-1
    And 20 calls without a key each run once
    And callers' own keys run again in the end, each once

  Scenario: any sequence of edits and returns, with gateways cut off
    Then in 40 random histories of edits and returns nothing accepted is lost

  Scenario: a deletion while a gateway hasn't read the store since its return
    Then what is deleted just after a return isn't written again by one that was cut off

  Scenario: an endpoint whose last announcement was lost is drained
    Then an endpoint that is drained just after a return isn't the one of the copy

  # A gateway that hadn't heard of the return wrote, and ended: the same version stood for
  # two contents.
  Scenario: a write after the return gets the number of a lost one
    Then of two writes that got one number the store's is in force everywhere
