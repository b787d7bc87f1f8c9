Feature: The soak's check that requests are served

  # Callers of a soak come again at once. When all endpoints of a service had announced
  # that they leave, and the store showed no others, right refusals outnumbered all other
  # answers within 3 s, and the check reported a loss of service.
  Scenario Outline: most requests are refused, and <state>
    Given a soak's fleet with two endpoints of the desk
    When <state>, and 8 of 10 requests are refused as no_endpoint
    Then the soak's check finds <found>

    Examples:
      | state                                           | found             |
      | both leave                                      | nothing           |
      | both ask for rest                               | nothing           |
      | one leaves                                      | a loss of service |
      | neither leaves                                  | a loss of service |
      | both leave, and the store hides their successor | nothing           |
      | both leave, and a successor came 2 s ago        | a loss of service |

  Scenario: most requests fail while all endpoints leave
    Given a soak's fleet with two endpoints of the desk
    When both leave, and 8 of 10 requests are refused as endpoints_refused
    Then the soak's check finds a loss of service
