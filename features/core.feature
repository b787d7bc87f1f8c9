Feature: Decision logic of the core, in virtual time and with seeds

  Scenario Outline: Invalid input for <parser> is refused with a code
    Then parsing <parser> raises only errors with a code

    Examples:
      | parser              |
      | the event id        |
      | the idempotency key |
      | a settings file     |
      | a stored object     |
      | a caller's body     |

  @at_most_once
  Scenario Outline: No key runs twice with stale reads, lost answers and restarts, <slots> slots
    Then no key runs twice in 200 random histories with <slots> slots

    Examples:
      | slots |
      | 1     |
      | 3     |

  # Agents continued with the record of the older copy, so an agent took mint times that
  # another agent had taken and run since that copy.
  @at_most_once
  Scenario Outline: No key runs twice when the store is restored from older copies, <slots> slots
    Then no key runs twice in 200 histories with <slots> slots and a restored store

    Examples:
      | slots |
      | 1     |
      | 3     |

  @at_most_once
  Scenario: Agents share the slots although one agent started first
    Then each of 3 agents, of which one started first, owns some of 16 slots in the end
    And after one of them becomes silent the others own all slots in the end

  @at_most_once
  Scenario: An agent whose slots were all taken requests some of them again
    Given an agent that let its leases expire for another one, which took all slots
    When it maintains its leases once
    Then it has read the record again, and requests the slots for which it is preferred

  @tokens_once_in_order
  Scenario: Readers get tokens once and in order for any order of events
    Then each reader of 300 random histories gets tokens once and in order

  @accepted_config_in_force
  Scenario: Views converge for any order of changes, snapshots and repeats
    Then no view of 300 random histories returns to an older version, and all agree in the end

  Scenario Outline: Admission under <policy>, <situation>
    Given an engine queue with the policy <policy>
    When <situation>
    Then <result>

    Examples:
      | policy          | situation                                             | result                                             |
      | projected_peak  | one request exceeds the engine's memory               | it is refused immediately as too_long_for_engine   |
      | projected_peak  | more requests arrive than the queue holds             | the last is refused immediately as queue_full      |
      | projected_peak  | the queue can't reach a request by its deadline       | it is refused immediately as deadline_unreachable  |
      | projected_peak  | an urgent request arrives after many others           | it is the first waiting request to be started      |
      | projected_peak  | the engine is empty and the request is huge           | it is started                                      |
      | projected_peak  | learned long answers would exceed the engine's memory | fewer are started than fit now                     |
      | projected_peak  | learned short answers leave memory free               | more are started than if each reserved its maximum |
      | fixed_slots     | more requests arrive than there are slots             | as many run as there are slots                     |
      | memory_free_now | learned long answers would exceed the engine's memory | all that fit now are started                       |

  Scenario Outline: An account's rate limit across gateways, <case>
    Then with <case> no more requests than the limit and a burst are admitted

    Examples:
      | case                              |
      | one gateway                       |
      | four gateways with equal shares   |

  Scenario: An answer that is dropped before its start no longer counts against its account
    Then the concurrency limit of an account is free again when its answer is dropped

  Scenario Outline: Apertures of <gateways> gateways with <endpoints> endpoints
    Then with <gateways> gateways, <endpoints> endpoints and an aperture of <size> every endpoint has <min> to <max> links
    And each gateway has some links to other data halls, and removing one endpoint moves few links

    Examples:
      | gateways | endpoints | size | min | max |
      | 2        | 6         | 32   | 2   | 2   |
      | 410      | 460       | 32   | 5   | 64  |

  Scenario: The retry budget is a share of the first attempts
    Then 1000 first attempts with a share of 0.1 allow no more than 120 retries
    And 6 gateways with 1200 first attempts in total allow no more than 140 retries

  @planned_stop_cuts_nothing
  Scenario: A generation ends at the moment at which its agent stops
    Then its reader still gets all tokens and the end
