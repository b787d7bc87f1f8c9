@tokens_once_in_order
Feature: A stream delivers each token once, in order, from one generation

  Scenario Outline: A stream of 150 tokens, <fault> <moment>
    Given a running deployment with links that can be cut
    When a stream of 150 tokens is requested
    And <fault> <moment>
    Then the stream <end>

    Examples:
      | fault                 | moment                 | end                                                                 |
      | the engine is killed  | before the first token | is complete, in order, from one generation                          |
      | the engine is killed  | after 20 tokens        | ends at once with engine_lost, without tokens of another generation |
      | the agent is killed   | before the first token | is complete, in order, from one generation                          |
      | the agent is killed   | after 20 tokens        | ends at once with agent_lost, without tokens of another generation  |
      | the agent is replaced | after 20 tokens        | ends at once with agent_lost, without tokens of another generation  |
      | the link is cut       | after 20 tokens        | is complete, in order, from one generation                          |
      | the link stalls       | after 20 tokens        | is complete, in order, from one generation                          |
      | the agent is frozen   | after 20 tokens        | is complete, in order, from one generation                          |
      | the engine is frozen  | after 20 tokens        | is complete, in order, from one generation                          |
      | the platform is down  | after 20 tokens        | is complete, in order, from one generation                          |

  Scenario: A gateway is killed and the caller resumes at another
    Given a running deployment
    When a stream of 150 tokens is requested
    And gateway-1 is killed after 20 tokens
    And the caller resumes at gateway-2
    Then both parts together are complete, in order, from one generation

  Scenario: A gateway is frozen for longer than the silence timeout of its links
    Given a running deployment
    When a stream of 150 tokens is requested
    And gateway-1 is frozen after 20 tokens
    Then the stream is complete, in order, from one generation
    And gateway-1 has closed no link

  # A pause that ended before the timeout wasn't noticed, and a link to a living agent
  # was closed while the agent's heartbeats were unread.
  Scenario Outline: A gateway stands still and reads the heartbeats of that time late
    When a gateway stands still for <paused> s after a heartbeat, and reads the next <late> s later
    Then its link to the agent stays open

    Examples:
      | paused | late |
      | 2.85   | 0.5  |
      | 2.95   | 0.1  |
      | 3.5    | 0.5  |
      | 20.0   | 0.8  |

  Scenario Outline: An agent falls silent and its gateway <pauses>
    When an agent falls silent and its gateway <pauses>
    Then the link is closed within <seconds> s, which its log line tells

    Examples:
      | pauses                             | seconds |
      | runs                               | 3.5     |
      | stands still once for 2 s          | 6.0     |
      | stands still for 0.2 s each second | 9.0     |

  Scenario: Two readers resume the same stream
    Given a running deployment
    When a stream of 200 tokens is requested
    And the caller disconnects after 20 tokens
    And two readers resume it, one at each gateway
    Then the newer reader gets all remaining tokens and the older is cut off

  Scenario: A slow caller doesn't delay other callers
    Given a running deployment
    When a stream of 1500 tokens is requested and read slowly
    And a stream of 100 tokens is requested
    Then the second stream completes before the slow caller continues
    And the slow stream completes as well

  Scenario: A caller of another account can't read the stream
    Given a running deployment
    When a stream of 150 tokens is requested
    And another account resumes it after 20 tokens
    Then the resumption is refused with generation_unknown

  Scenario: A stream is resumed at a gateway that had no link to its agent
    Given a running deployment whose gateways link to one engine each
    When a stream of 150 tokens is requested
    And the caller disconnects after 20 tokens
    And another gateway without a link to its agent resumes it
    Then both parts together are complete, in order, from one generation
