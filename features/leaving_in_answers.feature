Feature: Endpoints that announce in their answers that they leave

  # Gateways read only those headers of an answer that concerned its request. While the
  # store accepted no writes, an endpoint began to announce in its answers that it leaves.
  # Four gateways sent it some 40 more calls in the next 6 s, although two other endpoints
  # of its service were idle, and the last calls broke off when it stopped. The gateways
  # learned of it only when the store accepted the entry, 12.6 s later.
  Scenario: an endpoint leaves while the store is unavailable, in virtual time
    Given 6 gateways before 3 endpoints of a plain service
    When for 9 seconds one announces in its answers that it leaves
    Then no call that came 2 s after such an answer is sent there by the same gateway

  Scenario: an endpoint announces that it leaves while its entry is ready
    Given 2 gateways before healthy endpoints
    When an endpoint of the desk announces in its answers that it leaves
    Then the gateway that received such an answer sends nothing more there
    And 2 s later the other gateway sends nothing there, either

  Scenario Outline: the announcement is in <answer>
    Given 1 gateway before healthy endpoints
    When an endpoint announces that it leaves in <answer>
    Then the gateway marks it as leaving

    Examples:
      | answer                     |
      | a call's success           |
      | a call's failure           |
      | a call's refusal, not run  |
      | a call's refusal, unproven |
      | the head of a stream       |
      | a report                   |
      | an answer to a move        |
      | an answer to a stop        |

  Scenario Outline: an endpoint stays leaving when <news>
    Given 1 gateway before healthy endpoints
    When an endpoint has announced that it leaves, and then <news>
    Then the gateway marks it as leaving

    Examples:
      | news                                 |
      | its entry is written again as ready  |
      | the store's list is read again       |
      | a peer's list has it as ready        |
      | its entry is removed and added again |

  Scenario: an announcement by another endpoint at the same address is ignored
    Given 1 gateway before healthy endpoints
    When another endpoint answers at an address with 421 and announces that it leaves
    Then the gateway still has that other endpoint as ready

  Scenario: an engine with a running stream leaves
    Given 1 gateway before healthy endpoints
    When its engine announces that it leaves in the answer to a probe
    Then the stream is moved and delivered completely

  # The answer to a probe because of a silent stream was applied to that stream only.
  Scenario: the report of a probed engine says that it leaves
    Given 1 gateway before healthy endpoints
    When an engine's stream falls silent, and its report says that it leaves
    Then the gateway marks it as leaving

  Scenario: all endpoints of a service leave
    Given 2 gateways before healthy endpoints
    When all endpoints of the desk have announced that they leave
    Then a call is refused within 0.2 s with 503 and a Retry-After header

  Scenario: a peer reports that an unknown endpoint leaves
    Then an endpoint that a peer reported as leaving is so from its first entry on
