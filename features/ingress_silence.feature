Feature: Open connections that go silent for good while new ones work

  Scenario: kept connections to an endpoint
    Given a gateway before one desk endpoint that is reached over a link
    When 6 calls have left kept connections, and all go silent for good
    Then at most 1 of 6 later calls is lost

  @tokens_once_in_order
  Scenario: the connection of a stream
    Given a gateway before two engines that are reached over links
    When the connections go silent for good in the middle of a stream
    Then the stream is whole, each event once and in order

  @tokens_once_in_order @planned_stop_cuts_nothing
  Scenario: the store answers nobody any more, and an engine leaves
    Given a gateway before two engines that are reached over links
    When the store falls silent and the engine of a stream leaves 3.5 s later
    Then the stream is whole, each event once and in order

  @accepted_config_in_force
  Scenario: the connections to the store, at one of two gateways
    Given 2 gateways, the second over a link to the store
    When its connections to the store go silent for good and a route is added
    Then the route is served by the second within 4 s
