Feature: Endpoints of one service that differ in speed

  # A third of the engines takes 2.7 times as long for a token as the fastest third. Placed
  # by shares of memory and batch alone, one in seven long streams paused for longer than
  # its route allows, nearly all at the slow third.
  Scenario Outline: long streams pause too long at slow engines, <gateways> gateways
    Given <gateways> gateways before <engines> engines that differ in speed
    When they serve for 20 seconds
    Then 95 of 100 long streams come in time, and 95 of 100 short ones
    And long streams run at the faster engines, and each engine still gets work

    Examples:
      | gateways | engines |
      | 6        | 9       |
      | 27       | 25      |

  # An estimate must be there soon after a new engine's start: each lives for about 20 s.
  Scenario: long streams pause too long at new engines whose speed isn't known
    Given 27 gateways before 25 engines that differ in speed
    And a sixth of the engines is replaced every 3.3 s
    When they serve for 20 seconds, with speeds and without
    Then with speeds at most half as many long streams come late after the first 5 seconds

  Scenario: all gateways choose the fastest engine by views that are a second old
    Given 27 gateways before 25 engines that differ in speed
    And their views are up to a second old on average, and starts aren't told
    When they serve for 20 seconds, with speeds and without
    Then with speeds more streams come in time, and first tokens don't take longer

  Scenario Outline: engines of one speed, slow at times: <slow>, load <load>, seed <seed>
    Given 6 gateways before 9 engines of one speed, slow at times by a factor of <slow>
    And <load> times their usual load, by seed <seed>
    When they serve for 20 seconds, with speeds and without
    Then every generation runs at the same engine at the same time

    Examples:
      | slow | load | seed |
      | 1.0  | 1.0  | 27   |
      | 2.5  | 1.0  | 27   |
      | 2.5  | 1.0  | 28   |
      | 1.0  | 1.5  | 28   |
      | 2.5  | 1.5  | 27   |
      | 2.5  | 1.5  | 28   |

  Scenario Outline: speeds in a fleet that has <situation>
    Given endpoints that take 20, 12 and 8 ms for a token
    When streams of all endpoints have <situation>
    Then the slow endpoint is thought <slow> times as slow as the median, the fast one <fast>

    Examples:
      | situation                       | slow | fast |
      | no disturbance                  | 1.67 | 0.67 |
      | 0.6 s in which they are slow    | 1.67 | 0.67 |
      | prompts between half the tokens | 1.67 | 0.67 |
      | had too few tokens              | 1.0  | 1.0  |

  Scenario: an endpoint is thought slow and gets no work
    Given endpoints that take 20, 12 and 8 ms for a token
    When nothing is observed for 25 seconds
    Then the slow endpoint is thought at most 1.2 times as slow as the median

  Scenario: endpoints that differ as little as their load explains
    Given endpoints that take 15, 12 and 10 ms for a token
    Then all endpoints are thought equal

  # Even engines seemed to differ by a factor of two while some of them read prompts.
  Scenario: an engine that reads prompts between all tokens seems slow
    Given endpoints that take 12, 12 and 12 ms for a token
    When another one takes 12 ms, and 25 ms beside prompts, which it always reads
    Then all endpoints are thought equal, the other one too

  # Two of three engines seemed to differ while one of them was slow for 0.9 s.
  Scenario: an engine that has just started is in a moment of slowness
    Given endpoints that take 12, 12 and 12 ms for a token
    When another one takes 30 ms for its first 0.9 seconds
    Then all endpoints are thought equal, the other one too

  Scenario: a peer reports that every endpoint is slow or fast beyond reason
    Given endpoints that take 12, 12 and 12 ms for a token
    When a peer reports negative, infinite, zero and absurd times for them
    Then all endpoints are thought equal

  Scenario: a peer's wrong report about an endpoint
    Given endpoints that take 20, 12 and 8 ms for a token
    When a peer reports 900 ms for a new endpoint, and two others 12 ms
    Then the new endpoint is thought at most 1.1 times as slow as the median
    And the fast one is still thought 0.67 times as slow

  Scenario: a long and a short generation before uneven engines
    Given a slow engine that is empty, and a fast one in use
    Then a long generation goes to the fast engine, and a short one to the slow one
    And a long one goes to the slow engine when the fast one has no memory
    And also when 10 streams at the slow engine would pause beside its prompt
    And without the mechanism all go to the slow engine

  # The next event seemed to come early after each one that had waited for the caller.
  Scenario Outline: an endpoint seems fast whose caller blocks <seconds> s at each <each>
    Given a caller that blocks <seconds> s at each <each> events of 40 ms
    When its stream of 150 events is relayed
    Then at least <gaps> gaps are recorded for its endpoint, none below 40 ms

    Examples:
      | seconds | each | gaps |
      | 0.0     | 1    | 140  |
      | 0.06    | 2    | 0    |
      | 0.11    | 3    | 0    |
      | 0.15    | 5    | 20   |

  Scenario Outline: no speeds are learned <situation>
    Given a caller that blocks 0 s at each 1 events of 40 ms
    And <change>
    When its stream of 150 events is relayed
    Then no gaps are recorded for its endpoint

    Examples:
      | situation                         | change                    |
      | without the mechanism             | the mechanism is disabled |
      | of an endpoint that has been left | its endpoint has departed |

  Scenario: a new incarnation of an endpoint
    Given endpoints that take 20, 12 and 8 ms for a token
    When the slow endpoint restarts
    Then its new incarnation counts as a median one, and the old one is forgotten

  Scenario: reports of speeds are lost, and a peer starts later
    Given a gateway that shares endpoints of 20, 12 and 8 ms
    When its first 2 datagrams are lost
    Then its 2 peers know all speeds within 1 second
    When another peer starts
    Then its 3 peers know all speeds within 1 second
    And it sends no datagrams within 10 seconds

  Scenario: endpoints of one speed cost no datagrams
    Given a gateway that shares endpoints of 12, 12 and 12 ms
    Then it sends no datagrams within 10 seconds

  Scenario: wrong reports of speeds
    Given a gateway that shares endpoints of 20, 12 and 8 ms
    Then a peer drops reports that are wrong in any way, and counts them by reason

  # A datagram of more endpoints than a peer accepts was dropped whole, again and again.
  Scenario Outline: speeds of <services> services with <endpoints> endpoints each
    Given a gateway that shares <services> services with <endpoints> endpoints each
    Then its 1 peers know endpoints of 20 and 8 ms in all services within 1 second

    Examples:
      | services | endpoints |
      | 2        | 40        |
      | 1        | 100       |

  Scenario: a peer that observes nothing more
    Given a gateway that shares endpoints of 20, 12 and 8 ms
    When it reports an estimate that is 3 seconds old
    Then a peer takes it for 3 seconds old
    When it observes nothing for 6 seconds
    Then it sends no datagrams within 10 seconds, not even to a new peer
    And its gauge tells endpoints of 1.67 and 0.67, and after 40 seconds of 1.0 and 1.0

  # Peers that were silent for minutes still counted as reporters.
  Scenario: peers report on an endpoint that this gateway observes, and then leave
    Given endpoints that take 20, 12 and 8 ms for a token
    When a peer reports 20 ms for the slow endpoint, and leaves for 31 seconds
    Then the slow endpoint is observed here, and has no reporters

  Scenario: an operator lists the speeds that gateways learned
    Then `beliefs --speeds` lists endpoints of 20 and 8 ms from logs of 2 gateways
    And a generation counts as placed unknown only if the slowness wasn't known

  Scenario: speeds of endpoints in the largest fleet
    Then a report of 12 endpoints takes at most 600 bytes
