Feature: Open connections that go silent permanently while new ones work

  Scenario: pooled connections to an endpoint
    Given a gateway in front of one desk endpoint, reached over a link
    When 6 calls have left pooled connections, and all go silent permanently
    Then at most 1 of 6 later calls fails

  @tokens_once_in_order
  Scenario: the connection of a stream
    Given a gateway in front of two engines, reached over links
    When the connections go silent permanently in the middle of a stream
    Then the stream is complete, each event once and in order

  @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: the store stops answering all gateways, and an engine leaves
    Given a gateway in front of two engines, reached over links
    When the store falls silent and the leaving engine of a stream ends 3.5 s later
    Then the stream is complete, each event once and in order

  @accepted_config_in_force
  Scenario: the connections of one of two gateways to the store
    Given 2 gateways, the second over a link to the store
    When its connections to the store go silent permanently and a route is added
    Then the route is served by the second within 4 s
