@own_store_returns
Feature: Accepted edits survive a restore of the platform's store from an older copy

  # Accepted edits were only in the store and in the gateways' views. After a restore,
  # the store issued version numbers again that the views had already applied: a new
  # edit was ignored as an old one, and a lost edit was in force only at the gateways
  # that had received it.
  Scenario Outline: <edit>, and the store is restored from an older copy
    Given a running deployment
    And the configuration version of every box is recorded
    When <edit> and the store is restored from an older copy
    Then the edit stays in force at both gateways and is written to the store again
    And the next edit is in force at both gateways
    And no box reverted to an older version

    Examples:
      | edit                        |
      | an account is changed       |
      | an account is created       |
      | an account is deleted       |
      | an account's key is changed |

  Scenario: An agent starts after the store's revision dropped by 120
    Given a running deployment
    When 120 edits are lost when the store is restored from an older copy
    Then both gateways discover a new agent

  Scenario: An operator edits an object whose newest version the store lost
    Given a running deployment
    When an account is changed and the store is restored from an older copy
    Then an edit of the accepted version is accepted or refused temporarily
    And the new edit comes into force at both gateways

  # A restarted agent owned its predecessor's mint times according to the copy, while
  # the agent that had taken them over since was alive and had run some of their keys.
  Scenario: Another agent took over mint times after the copy was made
    Given a running deployment
    When order-1 is killed, and order-2 takes over its mint times and runs keys of them
    And the store is restored from an older copy and order-1 restarts
    Then order-1 runs none of the keys again
    And 20 calls without a key run once each
    And calls with keys that callers mint succeed again, each run at most once

  Scenario: Random edits, restores and network partitions of gateways
    Then in 40 random histories of edits and restores no edit is lost

  Scenario: A deletion while a gateway hasn't read the restored store
    Then an object deleted right after a restore isn't restored by another gateway

  Scenario: An endpoint is drained whose last announcement was lost
    Then draining an endpoint right after a restore keeps its newest announcement

  # A gateway that didn't know of the restore wrote an object and ended before it got
  # the answer: one version had two contents.
  Scenario: A write after a restore gets the version of a lost write
    Then of two writes with the same version the store's is in force everywhere
