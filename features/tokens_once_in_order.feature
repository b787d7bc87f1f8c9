@tokens_once_in_order
Feature: Every token once, in order, from one generation

  Scenario Outline: A stream of 150 tokens, <fault> <moment>
    Given a running deployment with links that can be cut
    When a stream of 150 tokens is asked for
    And <fault> <moment>
    Then the stream <end>

    Examples:
      | fault                      | moment                 | end                                  |
      | the engine is killed       | before the first token | is whole, in order, from one generation |
      | the engine is killed       | after 20 tokens        | ends at once with engine_lost and no splice |
      | the agent is killed        | before the first token | is whole, in order, from one generation |
      | the agent is killed        | after 20 tokens        | ends at once with agent_lost and no splice |
      | the agent is replaced      | after 20 tokens        | ends at once with agent_lost and no splice |
      | the link is cut            | after 20 tokens        | is whole, in order, from one generation |
      | the link stalls            | after 20 tokens        | is whole, in order, from one generation |
      | the agent is frozen        | after 20 tokens        | is whole, in order, from one generation |
      | the engine is frozen       | after 20 tokens        | is whole, in order, from one generation |
      | the platform is out        | after 20 tokens        | is whole, in order, from one generation |

  Scenario: A gateway is killed and the caller resumes at another
    Given a running deployment
    When a stream of 150 tokens is asked for
    And gateway-1 is killed after 20 tokens
    And the caller resumes at gateway-2
    Then both parts together are whole, in order, from one generation

  Scenario: A gateway stands still for longer than an agent may be silent
    Given a running deployment
    When a stream of 150 tokens is asked for
    And gateway-1 stands still after 20 tokens
    Then the stream is whole, in order, from one generation
    And gateway-1 has closed no link

  Scenario: Two readers resume the same stream
    Given a running deployment
    When a stream of 200 tokens is asked for
    And the caller drops after 20 tokens
    And two readers resume it at both gateways
    Then the newer reader gets the rest whole and the older is cut off

  Scenario: A slow caller holds up nobody else
    Given a running deployment
    When a stream of 1500 tokens is asked for and read slowly
    And a stream of 100 tokens is asked for
    Then the second stream is whole before the slow caller goes on
    And the slow stream is whole as well

  Scenario: A caller of another account can't read the stream
    Given a running deployment
    When a stream of 150 tokens is asked for
    And another account resumes it after 20 tokens
    Then that resumption is refused with generation_unknown

  Scenario: A stream is resumed at a gateway that had no link to its agent
    Given a running deployment whose gateways link to one engine each
    When a stream of 150 tokens is asked for
    And the caller drops after 20 tokens
    And another gateway without a link to its agent resumes it
    Then both parts together are whole, in order, from one generation
