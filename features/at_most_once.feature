@at_most_once
Feature: A call that may not repeat runs at most once

  Scenario Outline: The same key again at <gateway>, <moment>
    Given a running deployment
    When a call that may not repeat has been sent with a key from gateway-1
    And it is sent again at <gateway> <moment>
    Then every answer is <answer>
    And no key was executed more than once

    Examples:
      | gateway   | moment                          | answer                                |
      | gateway-1 | while it runs                   | the same                              |
      | gateway-2 | while it runs                   | the same                              |
      | gateway-1 | after it is done                | the same                              |
      | gateway-2 | after it is done                | the same                              |
      | gateway-2 | after its owner was killed      | not called not_run                    |
      | gateway-2 | after its owner was replaced    | not called not_run                    |
      | gateway-2 | while its owner is frozen       | not called not_run                    |
      | gateway-2 | after its owner slept through a take-over | the same                    |
      | gateway-2 | with the platform out           | the same                              |
      | gateway-2 | after the slots were changed    | the same                              |
      | gateway-2 | after its owner has left        | not called not_run                    |

  Scenario Outline: A caller whose clock is <offset> ms off
    Given a running deployment
    When a call that may not repeat is sent with a key minted <offset> ms off
    Then it is refused with outcome unknown and code <code>
    And nothing was executed

    Examples:
      | offset   | code     |
      | 3600000  | no_owner |
      | -3600000 | no_owner |

  Scenario: Keys from the gateway go on running while the platform is out for long
    Given a running deployment
    When the platform is out until all leases have run out
    Then a call without a key still runs, once

  Scenario: The answer to a lease's write is lost
    Given a running deployment
    When the answers to the next 4 writes are lost while leases are extended
    Then 20 calls without a key each run once

  Scenario: A stricter view of what may not repeat wins
    Given a running deployment
    When an account's template says that panel_status may not repeat
    Then panel_status asks for a key with a mint time
    And the same key twice at panel_status is executed once

  Scenario Outline: A call whose service <event>
    Given a running deployment
    When a call that may not repeat is sent and its service <event>
    Then it is answered with outcome <outcome>
    And no key was executed more than once

    Examples:
      | event             | outcome |
      | is killed midway  | unknown |
      | is gone before    | not_run |

  Scenario: An agent that is back takes keys only once it has told which are its own
    Given a link whose agent has greeted and told nothing else yet
    Then the link takes no requests yet
    When the agent's first heartbeat comes
    Then the link takes requests for the keys that the agent may run
