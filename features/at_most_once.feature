@at_most_once
Feature: A non-repeatable call runs at most once

  Scenario Outline: A call is repeated with its key at <gateway>, <moment>
    Given a running deployment
    When a key for a non-repeatable call is minted at gateway-1
    And the call is sent with it, and again to <gateway> <moment>
    Then <answers>
    And no key was executed more than once

    Examples:
      | gateway   | moment                                      | answers                       |
      | gateway-1 | while it runs                               | every answer is the same      |
      | gateway-2 | while it runs                               | every answer is the same      |
      | gateway-1 | after it has finished                       | every answer is the same      |
      | gateway-2 | after it has finished                       | every answer is the same      |
      | gateway-2 | after its owner was killed                  | no answer has outcome not_run |
      | gateway-2 | after its owner was replaced                | no answer has outcome not_run |
      | gateway-2 | while its owner is frozen                   | no answer has outcome not_run |
      | gateway-2 | after its owner was frozen until a takeover | every answer is the same      |
      | gateway-2 | with the platform down                      | every answer is the same      |
      | gateway-2 | after the slots were changed                | every answer is the same      |
      | gateway-2 | after its owner has stopped                 | no answer has outcome not_run |

  Scenario Outline: A key was minted by a clock that is <offset> ms off
    Given a running deployment
    When a non-repeatable call is sent with a key minted by a clock <offset> ms off
    Then it is refused with outcome unknown and code <code>
    And nothing was executed

    Examples:
      | offset   | code     |
      | 3600000  | no_owner |
      | -3600000 | no_owner |

  Scenario: Gateways still mint valid keys during a long platform outage
    Given a running deployment
    When the platform is down until all leases have expired
    Then a call without a key still runs exactly once

  Scenario: Answers to writes of leases are lost
    Given a running deployment
    When the answers to the next 4 writes are lost while leases are extended
    Then 20 calls without a key run once each

  Scenario: A kind is non-repeatable if the service or the account says so
    Given a running deployment
    When an account's template lists panel_status as non-repeatable
    Then panel_status requires a key with a mint time
    And two panel_status calls with the same key are executed once

  Scenario Outline: A non-repeatable call whose service <event>
    Given a running deployment
    When a non-repeatable call is sent and its service <event>
    Then it is answered with outcome <outcome>
    And no key was executed more than once

    Examples:
      | event            | outcome |
      | is killed midway | unknown |
      | is already down  | not_run |

  Scenario: A reconnected agent gets requests only after it has reported its keys
    Given a link whose agent has sent only its hello frame
    Then the link accepts no requests yet
    When the agent's first heartbeat arrives
    Then the link accepts requests for the keys that the agent may run
