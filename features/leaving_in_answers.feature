Feature: An endpoint says in its answers that it leaves

  # While the store took no writes, an endpoint began to say in its answers that it leaves.
  # Four gateways sent it some 40 calls more in the next 6 s, though two other endpoints of
  # its service were idle; the last ones broke off with it. No "endpoint_left" was logged
  # until the store took the entry, 12.6 s later. Gateways read of an answer's head only
  # what concerned its request: with heads logged, the first answer gave "endpoint_told
  # status 200 is_leaving true", and the next call went to the same endpoint.
  Scenario: the store can't say so, in virtual time
    Given 6 gateways before 3 endpoints of a plain service
    When for 9 seconds one says in its answers that it leaves
    Then no call that came 2 s after such an answer is sent there by the same gateway

  Scenario: calls go on at two gateways, and the entry still says ready
    Given 2 gateways before sound endpoints
    When an endpoint of the desk says in its answers that it leaves
    Then the gateway that has passed on such an answer sends nothing more there
    And 2 s after it the other gateway doesn't, either

  Scenario Outline: whatever the answer is to
    Given 1 gateway before sound endpoints
    When an endpoint says that it leaves in <answer>
    Then the gateway takes it for leaving

    Examples:
      | answer                     |
      | a call's success           |
      | a call's failure           |
      | a call's refusal, not run  |
      | a call's refusal, unproven |
      | the head of a stream       |
      | a report                   |
      | an answer to a move        |

  Scenario Outline: it stays so, whatever is read afterwards
    Given 1 gateway before sound endpoints
    When an endpoint has said that it leaves, and then <news>
    Then the gateway takes it for leaving

    Examples:
      | news                                     |
      | its entry is written again, ready        |
      | the store's list is read again           |
      | a peer's list says that it is ready      |
      | its entry goes, and is back after a time |

  Scenario: what stands at its address later isn't blamed
    Given 1 gateway before sound endpoints
    When another endpoint answers at an address with 421 and says that it leaves
    Then the gateway takes that other one for ready

  Scenario: a stream is under way there
    Given 1 gateway before sound endpoints
    When its engine says that it leaves in the answer to a question
    Then the stream is moved and comes whole

  # The answer to a question about a silent stream told it, and only the stream was judged.
  Scenario: a report says so that was asked for since a stream fell silent
    Given 1 gateway before sound endpoints
    When an engine falls silent under a stream, and its report says that it leaves
    Then the gateway takes it for leaving

  Scenario: all endpoints of a service say so
    Given 2 gateways before sound endpoints
    When all endpoints of the desk have said that they leave
    Then a call is refused within 0.2 s with 503 and a time to come back

  Scenario: a gateway has heard of it before it knows the endpoint
    Then an endpoint that a peer has told of leaves from its first entry on
