Feature: Two faults at once, for the pairs that we hold most dangerous

  # The owner's memory and the record that says who owns are gone together.
  @at_most_once @not_run_means_not_run
  Scenario: A key's owner dies while the platform is out
    Given a running deployment
    When a call that may not repeat has been sent with a key from gateway-1
    And the platform goes out and its owner is killed while it runs
    Then every answer is not called not_run
    And no key was executed more than once
    And keys of the other owner still run, once

  # A holder believes in a lease whose confirmation it never saw, and sleeps.
  @at_most_once
  Scenario: An owner loses the answers to its leases' writes and is frozen
    Given a running deployment
    When a call that may not repeat has been sent with a key from gateway-1
    And its owner loses write answers, is frozen until taken over, and woken
    Then every answer is the same
    And no key was executed more than once

  # Both ends that know where a stream stands change at the same time.
  @tokens_once_in_order
  Scenario: A gateway is killed and the link of the other is cut
    Given a running deployment with links that can be cut
    When a stream of 150 tokens is asked for
    And gateway-1 is killed after 20 tokens
    And the caller resumes at gateway-2
    And all links are cut
    Then both parts together are whole, in order, from one generation

  # Retries meet an endpoint that is about to go.
  @planned_stop_cuts_nothing @tokens_once_in_order
  Scenario: An engine is killed while the other endpoint is drained and comes back
    Given a running deployment
    When an engine is killed under whole answers while the other agent is replaced
    Then every answer is whole or says that it was lost, and none is spliced
