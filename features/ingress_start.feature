Feature: Start of a gateway of the platform

  @planned_stop_cuts_nothing
  Scenario: a caller that connects while the gateway starts is served
    Given a starting gateway whose port is already open
    When a caller sends a "once" request before it serves
    Then its status is 200 and it ran 1 times

  @not_run_means_not_run
  Scenario Outline: a caller that closed its connection before the gateway served
    Given a starting gateway whose port is already open
    When <callers> callers send a "<kind>" request before it serves and close
    Then nothing ran and nothing reached an endpoint

    Examples:
      | kind       | callers |
      | once       | 8       |
      | repeatable | 8       |
      | stream     | 8       |

  Scenario: callers wait for the first configuration
    Given a starting gateway whose port is already open
    And a configuration that is stored after the start
    When a caller sends a "once" request before it serves
    Then its status is 200 and it ran 1 times

  Scenario: a gateway that reports ready accepts connections at once
    Given a starting gateway whose port is already open
    And a configuration that is stored after the start
    When it reports that it is ready
    Then 8 new connections are served

  Scenario: callers wait only briefly for a store without a configuration
    Given a starting gateway whose port is already open
    And no configuration, and callers that wait at most 0.01 s for it
    When a caller sends a "once" request before it serves
    Then its status is 503 and it ran 0 times
    And the headers and the body of the answer match its status

  Scenario Outline: settings without a usable port: <fault>
    Given a settings file with "<fault>"
    When a process opens the callers' port at its start
    Then no port is opened

    Examples:
      | fault                  |
      | no file                |
      | no address             |
      | no port number         |
      | a port in use          |
      | bytes that are no text |

  @not_run_means_not_run
  Scenario: all gateways stop at once and refuse a long stream
    Given 2 gateways before healthy endpoints
    When both have been stopping for some seconds and a caller requests a long stream
    Then it is refused with the time after which a gateway serves again
