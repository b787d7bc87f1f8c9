Feature: The platform's store as a gateway follows it

  @accepted_config_in_force
  Scenario: a change that a watch did not deliver before the history went
    Given a gateway before sound endpoints
    When a route is added while watches hear nothing and the history is dropped
    Then the route is served

  @accepted_config_in_force
  Scenario Outline: a change while the store is <fault> for one gateway
    Given 2 gateways before sound endpoints
    When the store is <fault> for the second and a route is added
    Then the route is served by the second

    Examples:
      | fault  |
      | busy   |
      | many   |
      | reset  |
      | silent |

  @accepted_config_in_force
  Scenario: the connections to the store are probed while they wait
    Given a gateway before sound endpoints
    Then each of its connections to the store breaks after 2 s without a sign of life

  @accepted_config_in_force
  Scenario: a change in a fleet so large that reports are rare
    Given 2 gateways before sound endpoints
    When reports come each 10 s and a route is added that the second hears of by peers
    Then the route is served by the second within 4 s

  @accepted_config_in_force
  Scenario: an older configuration comes after a newer one
    Given a gateway before sound endpoints
    When the store goes back to an older configuration
    Then the newer one stays in force

  Scenario: endpoints that change one shortly after the other
    Given a gateway before sound endpoints
    When 4 endpoints change 5 ms apart
    Then the gateway knows all of it, and no call came sooner than 30 ms after a change

  # When a whole fleet starts, no gateway knows yet who else watches: all of 68 watched,
  # and each of 36 endpoints that registered woke them all, in 1300 of 2030 calls of a day.
  Scenario: endpoints that register while a gateway starts
    Given a gateway before sound endpoints
    When 15 endpoints register 60 ms apart as soon as it runs
    Then it knows each that registered
    And it asked for changes of endpoints at most 4 times

  # After a standstill of 1.2 s a call failed in the moment in which its follower was to
  # read all anew: the connection was closed, but kept, and the follower ended with
  # "file descriptor cannot be a negative integer".
  Scenario: a call to the store is cancelled in the moment in which it fails
    When a call's answer breaks off and the call is cancelled at once
    Then the next call is answered over a new connection

  Scenario: a gateway that starts while the store is out
    Given 2 gateways before sound endpoints
    When the store goes out and a third gateway starts
    Then the third gateway serves what its peers know

  Scenario: a gateway that starts alone while the store is out
    Given a gateway that starts while the store is out
    Then it is not ready and answers 503 with a time to come back
    And it serves when the store is back

  Scenario: entries lapse in an outage
    Given a gateway before sound endpoints
    When all entries lapse in an outage and one is not back after it
    Then no request is refused meanwhile
    And 3 seconds later the missing endpoint gets no request

  @leaving_gets_no_new_work
  Scenario Outline: an endpoint that <leaves> gets no new request
    Given a gateway before sound endpoints
    When the first desk endpoint <leaves>
    Then it gets none of 20 later requests

    Examples:
      | leaves                  |
      | says that it leaves     |
      | is gone from the list   |
      | says it leaves, then not |

  @planned_stop_cuts_nothing @leaving_gets_no_new_work
  Scenario: a gateway that leaves
    Given a gateway before sound endpoints
    When the gateway is told to stop while a stream runs
    Then it is not ready at once
    And the stream ends whole and so does a request sent after the stop
    And a stream that may not end in time is refused at once, unrun, to come back now
