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
