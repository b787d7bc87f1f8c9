Feature: Start of a gateway of the platform

  @planned_stop_cuts_nothing
  Scenario: a caller that connects while the gateway starts is served
    Given a gateway that starts, its port already taken
    When a caller sends a "once" request before it serves
    Then its status is 200 and it ran 1 times

  @not_run_means_not_run
  Scenario Outline: a caller that closed its connection before the gateway served
    Given a gateway that starts, its port already taken
    When <callers> callers send a "<kind>" request before it serves and close
    Then nothing ran and nothing reached an endpoint

    Examples:
      | kind       | callers |
      | once       | 8       |
      | repeatable | 8       |
      | stream     | 8       |

  Scenario: callers wait for the first configuration
    Given a gateway that starts, its port already taken
    And a configuration that comes after the start
    When a caller sends a "once" request before it serves
    Then its status is 200 and it ran 1 times

  Scenario: a gateway that says it is ready takes connections at once
    Given a gateway that starts, its port already taken
    And a configuration that comes after the start
    When it says that it is ready
    Then 8 new connections are served

  Scenario: callers don't wait for a store that gives no configuration
    Given a gateway that starts, its port already taken
    And no configuration, and callers that wait 0.01 s for it
    When a caller sends a "once" request before it serves
    Then its status is 503 and it ran 0 times
    And what the caller got is true

  Scenario Outline: settings that name no port to take: <fault>
    Given a settings file with "<fault>"
    When a process takes the callers' port at its start
    Then no port is taken

    Examples:
      | fault         |
      | no file       |
      | no address    |
      | no number     |
      | a taken port  |
      | bytes, no text |

  @not_run_means_not_run
  Scenario: all gateways stop at once, and refuse what may last long
    Given 2 gateways before sound endpoints
    When both have been stopping for some seconds and a long stream is asked for
    Then it is refused with the time at which one is back
