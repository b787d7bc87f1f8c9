Feature: Following the platform's store

  @accepted_config_in_force
  Scenario: a change that no watch delivered before the history was dropped
    Given a gateway before healthy endpoints
    When a route is added while watches deliver nothing and the history is dropped
    Then the route is served

  @accepted_config_in_force
  Scenario Outline: a change while the store is <fault> for one gateway
    Given 2 gateways before healthy endpoints
    When the store is <fault> for the second and a route is added
    Then the route is served by the second

    Examples:
      | fault  |
      | busy   |
      | many   |
      | reset  |
      | silent |

  @accepted_config_in_force
  Scenario: waiting connections to the store are probed
    Given a gateway before healthy endpoints
    Then each of its connections to the store breaks after 2 s without a sign of life

  @accepted_config_in_force
  Scenario: a change in a fleet so large that reports are rare
    Given 2 gateways before healthy endpoints
    When reports are sent every 10 s and the second learns of an added route from peers
    Then the route is served by the second within 4 s

  @accepted_config_in_force
  Scenario: an older configuration arrives after a newer one
    Given a gateway before healthy endpoints
    When the store returns to an older configuration
    Then the newer one stays in force

  Scenario: endpoints that change in quick succession
    Given a gateway before healthy endpoints
    When 4 endpoints change 5 ms apart
    Then the gateway knows all changes, and no call came sooner than 30 ms after a change

  # Regression: when a whole fleet starts, no gateway knows yet which others watch. All 68
  # gateways watched, and each of 36 endpoints that registered woke them all, which made
  # 1,300 of the 2,030 calls of a day.
  Scenario: endpoints that register while a gateway starts
    Given a gateway before healthy endpoints
    When 15 endpoints register 60 ms apart as soon as it runs
    Then it knows each registered endpoint
    And it requested changes of endpoints at most 4 times

  # Regression: after the process was suspended for 1.2 s, a call failed just when its
  # follower was cancelled to read the whole state again. The connection was closed but
  # kept, and the follower ended with "file descriptor cannot be a negative integer".
  Scenario: a call to the store is cancelled at the moment it fails
    When a call's answer is cut off and the call is cancelled at once
    Then the next call is answered over a new connection

  Scenario: a gateway that starts while the store is down
    Given 2 gateways before healthy endpoints
    When the store goes down and a third gateway starts
    Then the third gateway serves what its peers know

  Scenario: a gateway that starts alone while the store is down
    Given a gateway that starts while the store is down
    Then it is not ready and answers 503 with a Retry-After header
    And it serves once the store has recovered

  Scenario: entries expire in an outage
    Given a gateway before healthy endpoints
    When all entries expire in an outage and one does not return after it
    Then no request is refused during that time
    And 3 seconds later the missing endpoint gets no request

  @leaving_gets_no_new_work
  Scenario Outline: an endpoint that <leaves> gets no new request
    Given a gateway before healthy endpoints
    When the first desk endpoint <leaves>
    Then it gets none of 20 later requests

    Examples:
      | leaves                                          |
      | announces that it leaves                        |
      | is removed from the list                        |
      | announces that it leaves, then that it is ready |

  @planned_stop_cuts_nothing @leaving_gets_no_new_work
  Scenario: a gateway that shuts down
    Given a gateway before healthy endpoints
    When the gateway is told to stop while a stream runs
    Then it immediately reports that it is not ready
    And the stream is completed, and so is a request sent after the stop
    And a stream that may not end in time is refused unrun, for an immediate retry
