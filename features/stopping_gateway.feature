Feature: A gateway that was told to stop, and the connections that its callers keep

  # Regression: the process logged that it cut nothing off.
  Scenario: a process that ends during a stream doesn't log that it cuts it off
    Given a gateway process before engines that make an event every 0.2 s
    When it is stopped while a stream of 60 events runs
    Then its log names the stream, and counts it as cut off
