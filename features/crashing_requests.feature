Feature: A request that crashes whoever runs it

  # Seven engines crashed within 16 s and thirteen within 9 s, each under the same short
  # generation of 882 prompt tokens, and with each crash the reviews that the engine ran
  # broke off. Gateways refused or retried nothing wrongly: seven ids at four gateways had
  # one attempt each ("stream_broken_off cba8d4f6dbb67351 last_event 0 seconds 0.2054" at
  # i-1e186d6654, then 7b4b9f6ebffaf6a1 at i-ad926aebbc, b0598aa54c7da7c1 at i-51120dacf7).
  # Nothing told that these were one request: an id is new with each try of a caller, and
  # what a request had done was forgotten with its answer, here and at the peers.
  Scenario: it comes again and again at any gateway, in virtual time
    Given 6 gateways before 7 engines, 6 generations a second
    When for 90 seconds a request comes each 1.5 s that crashes the engines that run it
    Then at most 3 engines end under it

  Scenario: it comes again under new ids at three gateways
    Given 3 gateways before 9 engines
    When a caller sends a request that crashes engines 9 times, each time elsewhere
    Then at most 3 engines have crashed
    And the last 5 answers say that it has not run

  Scenario: three gateways see a crash each at the same moment
    Given 3 gateways before 9 engines
    When a request that crashes engines is sent to all gateways at once, then 4 times
    Then at most 3 engines have crashed
    And the last 4 answers say that it has not run

  Scenario: a gateway starts after the crashes
    Given 3 gateways before 9 engines
    When a request that crashes engines is sent 4 times, then to a gateway that starts
    Then at most 3 engines have crashed
    And the last 1 answers say that it has not run
