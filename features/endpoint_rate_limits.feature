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

  Scenario: all gateways together send at most what an endpoint takes
    Then in any 4 s they send at most 4 times the rate, however many they are
    And each of them has a part in it if there are enough requests

  Scenario: gateways start and end while an endpoint is limited
    Then no span of 4 s holds more than is allowed while single gateways come and go

  Scenario Outline: what names a rate and what doesn't
    Then an answer of <status> with the rate "<value>" names <rate>

    Examples:
      | status | value       | rate    |
      | 200    | 2.4         | 2.4     |
      | 503    | 2.4         | 2.4     |
      | 200    | 0           | 0       |
      | 200    | 3 and 2     | 2       |
      | 200    | 3, 2        | 2       |
      | 200    | 3, soon     | 3       |
      | 200    | 1e300       | 1e300   |
      | 200    | -1          | nothing |
      | 200    | inf         | nothing |
      | 200    | nan         | nothing |
      | 200    | 1_0         | nothing |
      | 200    | soon        | nothing |
      | 421    | 2.4         | nothing |

  Scenario: an unreadable rate leaves the last one in force
    Given 1 gateway before sound endpoints
    When an endpoint names 2 requests a second and then "soon"
    Then it is limited to 2 requests a second

  Scenario: what ends a limit
    Then an answer without a rate ends a limit, unless it has crossed one that named it
    And an answer that belongs to no request doesn't end it
    And one incarnation's limit isn't its successor's

  Scenario: a gateway hears of a limit from its peers
    Then the latest answer counts, whichever gateway got it
    And a report without the latest is read, and a faulty one refused with its code

  Scenario: nobody has sent anything to a limited endpoint for a while
    Then one gateway after the other asks whether the limit still holds

  Scenario: an endpoint that takes no requests at all
    Then it gets one each 10 s from all gateways together

  Scenario Outline: all endpoints of <service> are limited
    Given 1 gateway before sound endpoints
    When all endpoints of <service> name 1 request a second, and 6 come at once
    Then some are served and the others refused within 0.2 s as unrun
    And each is told another time to come back

    Examples:
      | service   |
      | the desk  |
      | the model |

  # Callers were told that all endpoints rest, and no time where there is no part in 0.
  Scenario: all endpoints take no requests at all, and a caller is told when to come back
    Given 2 gateways before sound endpoints
    When all endpoints of the desk name 0 requests a second, and a call comes to each gateway
    Then each is refused with endpoints_limited, to come back within 30 s

  Scenario: a call waits for its connection when its endpoint names its rate
    Given 1 gateway before sound endpoints
    When an endpoint turns out to be limited while a call to it connects
    Then the call is served elsewhere

  Scenario: a stream breaks off, and its backup takes no more requests now
    Given 2 engines
    When a caller reads a large stream, its backup has got all it takes, and its engine crashes
    Then the limited engine gets nothing, and the stream ends not whole

  Scenario: an endpoint is limited when backups and moves look for a place
    Then a limited endpoint gets no backup, and no move beyond its rate

  Scenario: why an endpoint was passed over
    Given 1 gateway before sound endpoints
    When an endpoint has got all that it takes, and then a call is served
    Then the log of that call names the endpoint as limited
    And the log tells the limit and this gateway's part of it
