Feature: Generations that wait for memory

  # The load: long generations arrive at 2.6 times their usual rate for 7 s, beside short
  # ones, while a sixth of the engines leaves every 3.3 s. Whoever checked first started:
  # 104 of 592 long generations were refused twice.
  Scenario: A burst of long generations while engines leave
    Given 15 gateways before 17 engines, and long generations that burst for 7 s
    When they serve for 20 seconds
    Then at most 2 of 100 long generations are refused again after they returned
    And at least 80 of 100 long ones start in time, at first or from their return
    And long and short ones are answered about equally often
    And fewer of those that start are preempted than with checks at random
    And at most 1 of 5 of those that were refused had waited for over 0.5 s

  Scenario: The more urgent, those who return when told, those in time, then the oldest
    Then generations rank by priority, return, time left and arrival, here and at peers

  Scenario: A less urgent generation is passed over for a bounded time
    Then one of priority 2 goes first once half of its patience has passed
    And a late one goes first after twice its target, or before its last call

  Scenario: Two gateways with reports 0.1 s old and memory for one generation
    Then of 100 pairs that wait, both start at once in none

  Scenario: Memory is free and nobody waits
    Then generations start at once, and there is nothing to report
    And one that takes 0.85 of an engine's memory starts at an empty engine

  Scenario Outline: A caller that was told to return in 6 s comes back after <seconds> s
    Then when it comes back after <seconds> s it is <result>

    Examples:
      | seconds | result                            |
      | 1.0     | told the same time again          |
      | 5.8     | started before a newcomer         |
      | 6.5     | started before a newcomer         |
      | 6.5     | kept waiting, if there is no room |

  Scenario: A returning caller's memory
    Then its promise is reported when it is made, and again 1 s before its time
    And newcomers leave it free just before its time, and use it when it has lapsed

  Scenario: Peers' reports are lost, repeated, reordered and old
    Then no generation starts without memory, and no valid promise is forgotten

  Scenario: A gateway fails while generations wait there
    Then its last report holds nobody up for more than 0.8 s

  Scenario: A peer whose view lacks the memory that is free
    Then a generation leaves it to those before it for 0.4 s, and longer while they start

  Scenario: Reports that aren't valid
    Then decoding a waiting report raises only errors with a code
    And a report keeps its content when it is sent, and has at most 4 KB

  Scenario: A forecast of memory
    Then memory for more generations is free later, and never without load or room

  # Callers that had closed their connections were served before those still there.
  Scenario: A caller disconnects while its generation waits
    Given 2 engines
    When a stream waits for memory and its caller disconnects
    Then nothing waits any more, and nothing has run

  Scenario: A gateway is told to stop while a generation waits
    Given 2 engines
    When a stream waits for memory and its gateway is told to stop
    Then the stream is refused within 1 s, and has not run

  Scenario: A gateway learns what waits at another, and drops datagrams it can't decode
    Given 2 engines
    When a stream waits at one of 2 gateways, and the other gets a broken report
    Then the other gateway knows that it waits, until it no longer does
