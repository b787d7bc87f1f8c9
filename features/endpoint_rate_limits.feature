Feature: An endpoint names the rate that it takes from all gateways together

  # Two of three endpoints named 2.4 and 1.7 requests a second and got 27 and 19 in 4 s.
  Scenario: an endpoint gets more than the rate that it names, in virtual time
    When one of 3 endpoints names its rate for 9 seconds
      | gateways | rate | load |
      | 6        | 2.4  | 23   |
      | 24       | 1.8  | 60   |
      | 68       | 1.8  | 100  |
      | 6        | 0.3  | 23   |
    Then it never gets more from gateways that know of it than it takes
    And no call is refused

  Scenario: an endpoint gets more than the rate that it names
    Given 2 gateways before sound endpoints
    When an endpoint of the desk names 2 requests a second while calls come
    Then it never gets more from gateways that know of it than it takes
    And all calls are served
