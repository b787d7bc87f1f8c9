Feature: The store comes back from an older copy

  # A directory at revision 120 that got the list of revision 80 went on with its own: a
  # store that comes back from a copy gives its revisions out again, and the present list
  # was taken for an old one. What changed later was heard of by watches; what had changed
  # before the list was read was neither used nor dropped.
  Scenario Outline: endpoints change <when> the return, <watching>
    Given 2 gateways before 3 endpoints of the desk, <watching>
    When the store comes back from a copy of 30 changes before, without an endpoint
    And an endpoint comes and another one goes for good <when> it
    Then within 5 s both gateways use those that are listed and no other

    Examples:
      | when      | watching                 |
      | just with | each by itself           |
      | just with | and one of them watches  |
      | after     | each by itself           |
      | after     | and one of them watches  |

  Scenario: an endpoint whose entry was lost is kept, and dropped if it isn't back
    Given 2 gateways before 3 endpoints of the desk, each by itself
    When the store comes back from a copy of 30 changes before, without an endpoint
    Then the endpoint is used for 1 s more at both gateways, and after 5 s by none

  Scenario: an endpoint whose entry was lost writes it again
    Given 2 gateways before 3 endpoints of the desk, each by itself
    When the store comes back without an endpoint, and that is back after 0.8 s
    Then it is never taken for gone

  Scenario: what has left stays so, though the copy says that it is ready
    Given 2 gateways before 3 endpoints of the desk, each by itself
    When the store comes back from a copy in which an endpoint hadn't left yet
    Then neither gateway sends it anything

  # Its entry lapses in the store after three of its heartbeats.
  Scenario: what had gone isn't used again while nobody writes its entry
    Given 2 gateways before 3 endpoints of the desk, each by itself
    When the store comes back from a copy that still lists an endpoint that had gone
    Then neither gateway sends it anything while its entry may lapse
    And it is used again when it writes its entry

  Scenario: the configuration in force doesn't go back
    Given 2 gateways before 3 endpoints of the desk, each by itself
    When the store comes back from a copy with the configuration before
    Then each gateway serves the route that came with the last one, and no old one
    And a newer one is in force at both within 4 s

  Scenario: a drained data hall stays drained while operators write it again
    Given 2 gateways before 3 endpoints of the desk, each by itself
    When the store comes back from a copy without a drain, and that is written again
    Then nothing was sent to the drained hall
    And a drain that isn't written again ends after 3 s

  Scenario Outline: eras that can't be
    Given 1 gateway before sound endpoints
    When the store's answers tell "<era>" after era 3
    Then the gateway goes on, and says once what was wrong

    Examples:
      | era    |
      |        |
      | -1     |
      | old    |
      | 1e3    |
      | 99999999999999999999 |

  # Python refuses to read a number of more than 4,300 digits: the error ended the
  # gateway's following of the store.
  Scenario: an era of more digits than a number may have
    Given 1 gateway before sound endpoints
    When the store's answers tell an era of 5000 digits after era 3
    Then the gateway goes on, and says once what was wrong

  Scenario: answers of an earlier era
    Given 1 gateway before sound endpoints
    When the store answers from era 2 after era 3
    Then the gateway keeps what it knows, and takes up the store's present state later

  Scenario: one answer told an era that was far too high
    Then answers of the true era are passed over for 10 s, and taken then

  Scenario: two revisions
    Then the order of revisions is that of their eras, and then of their numbers
    And any sequence of changes and returns leaves a directory at the store's list
