Feature: Two simultaneous faults, for the most dangerous pairs

  # The owner's record of what it ran and the store's record of the owner are lost
  # together.
  @at_most_once @not_run_means_not_run
  Scenario: A key's owner is killed while the platform is down
    Given a running deployment
    When a key for a non-repeatable call is minted at gateway-1
    And the platform goes down and the owner is killed while the call runs
    Then no answer has outcome not_run
    And no key was executed more than once
    And calls with keys of the other owner still run exactly once

  # The owner keeps a lease whose write was never confirmed to it, and is frozen until
  # another agent has taken it over.
  @at_most_once
  Scenario: An owner loses the answers to its lease writes and is frozen
    Given a running deployment
    When a key for a non-repeatable call is minted at gateway-1
    And its owner loses answers to writes, is frozen until a takeover and thawed
    Then every answer is the same
    And no key was executed more than once

  # Both gateways lose the stream: one is killed, and the links of the other are cut after
  # the caller has resumed there.
  @tokens_once_in_order
  Scenario: A gateway is killed and the link of the other is cut
    Given a running deployment with links that can be cut
    When a stream of 150 tokens is requested
    And gateway-1 is killed after 20 tokens
    And the caller resumes at gateway-2
    And all links are cut
    Then both parts together are complete, in order, from one generation

  # Retries find that the only other endpoint is leaving.
  @planned_stop_cuts_nothing @tokens_once_in_order
  Scenario: An engine is killed while the other endpoint is drained and restarted
    Given a running deployment
    When an engine is killed during generations while the other agent is replaced
    Then every answer is complete or reported as lost, and none mixes generations
