Feature: The store is restored from an older copy

  # A directory at revision 120 ignored the list of revision 80: a restored store assigns
  # its revisions again, so that the current list was taken for an older one. Later changes
  # arrived by watches, but endpoints that were added or removed before the list was read
  # were neither used nor dropped.
  Scenario Outline: endpoints change <when> the restore, <watching>
    Given 2 gateways in front of 3 desk endpoints, <watching>
    When the store is restored from a copy 30 changes older, without an endpoint
    And an endpoint is added and another one removed <when> it
    Then within 5 s both gateways use the listed endpoints and no other

    Examples:
      | when   | watching                |
      | during | each watching the store |
      | during | one watching the store  |
      | after  | each watching the store |
      | after  | one watching the store  |

  Scenario: an endpoint whose entry was lost is kept briefly, then dropped
    Given 2 gateways in front of 3 desk endpoints, each watching the store
    When the store is restored from a copy 30 changes older, without an endpoint
    Then both gateways use the endpoint for 1 s more, and after 5 s neither does

  Scenario: an endpoint whose entry was lost writes it again
    Given 2 gateways in front of 3 desk endpoints, each watching the store
    When the store is restored without an endpoint, which writes its entry after 0.8 s
    Then neither gateway ever drops it

  Scenario: an endpoint that has left isn't used although it is ready in the copy
    Given 2 gateways in front of 3 desk endpoints, each watching the store
    When the store is restored from a copy in which an endpoint hadn't left yet
    Then neither gateway sends it requests

  # The store drops an entry after three heartbeats without a write.
  Scenario: a removed endpoint isn't used again until it writes its entry
    Given 2 gateways in front of 3 desk endpoints, each watching the store
    When the store is restored from a copy that still lists a removed endpoint
    Then neither gateway sends it requests until its entry has expired
    And it is used again once it writes its entry

  Scenario: the configuration in force isn't replaced by an older one
    Given 2 gateways in front of 3 desk endpoints, each watching the store
    When the store is restored from a copy with the previous configuration
    Then each gateway serves the route of the last configuration, and not the previous one
    And a newer configuration is in force at both within 4 s

  # Regression: the store came back twice within 0.2 s. The watch of drains was opened
  # between the two, at a revision that both copies have, and its answer told the new era
  # only after 12 s, although other watches had told it at once.
  Scenario: a watch stays open across a restore, and others are cut
    Given 2 gateways in front of 3 desk endpoints, each watching the store
    When the store is restored without a drain, and watches of drains stay open
    Then the drain has ended within 5 s

  Scenario: a drained data hall stays drained while operators write it again
    Given 2 gateways in front of 3 desk endpoints, each watching the store
    When the store is restored from a copy without a drain, which is written again
    Then no request was sent to the drained data hall
    And a drain that isn't written again ends after 3 s

  Scenario Outline: invalid eras
    Given 1 gateway before healthy endpoints
    When the store's answers have the era "<era>" after era 3
    Then the gateway continues, and logs the fault once

    Examples:
      | era    |
      |        |
      | -1     |
      | old    |
      | 1e3    |
      | 99999999999999999999 |

  # Python refuses to parse an integer of more than 4,300 digits. The error ended the
  # gateway's loop that follows the store.
  Scenario: an era of more digits than Python parses
    Given 1 gateway before healthy endpoints
    When the store's answers have an era of 5000 digits after era 3
    Then the gateway continues, and logs the fault once

  Scenario: answers from an earlier era
    Given 1 gateway before healthy endpoints
    When the store answers from era 2 after era 3
    Then the gateway keeps its state, and applies the store's current state later

  Scenario: one answer had an era that was far too high
    Then answers of the true era are ignored for 10 s, and then accepted

  Scenario: the order of revisions
    Then revisions are ordered by their eras, and then by their numbers
    And after any sequence of changes and restores a directory has the store's list
