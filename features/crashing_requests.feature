Feature: Quarantine for requests that crash endpoints

  # Seven engines crashed within 16 s and thirteen within 9 s, each while it ran the same
  # short generation of 882 prompt tokens; each crash also broke off the reviews that the
  # engine ran. Each gateway sent each request once, but the caller retried under a new id
  # each time, and gateways kept no record of crashes by the request's content.
  Scenario: it is sent again and again to any gateway, in virtual time
    Given 6 gateways before 7 engines, 6 generations a second
    When for 90 seconds a request that crashes engines is sent every 1.5 s
    Then it crashes at most 3 engines

  Scenario: it is sent under new ids to three gateways
    Given 3 gateways before 9 engines
    When a caller sends a request that crashes engines 9 times, to gateways in turn
    Then at most 3 engines have crashed
    And the last 5 answers say that it has not run

  Scenario: three gateways observe a crash each at the same time
    Given 3 gateways before 9 engines
    When a request that crashes engines is sent to all gateways at once, then 4 times
    Then at most 3 engines have crashed
    And the last 4 answers say that it has not run

  Scenario: a gateway starts after the crashes
    Given 3 gateways before 9 engines
    When a request that crashes engines is sent 4 times, then to a new gateway
    Then at most 3 engines have crashed
    And the last 1 answers say that it has not run

  Scenario: a repeatable call may be sent to many endpoints
    Given 1 gateway before 6 endpoints of the desk, up to 5 for each call
    When a caller sends a call that crashes them
    Then at most 2 endpoints have crashed
    And the call is answered 502 without a Retry-After header

  Scenario: other requests of the same caller while one is quarantined
    Given 3 gateways before 9 engines
    When a request that crashes engines is quarantined, and then others are sent
    Then it is refused within 0.2 s with 429 and the time of the next probe
    And those with another body or another path are served

  Scenario: an engine's entry is removed, and it restarts without refusing connections
    Then a request that had just begun there is suspected, and a long one isn't

  Scenario: a run that was given up is suspected only if its endpoint then fell silent
    Then a run that was given up 1.2 s before its endpoint's last answer isn't suspected
    And a run that was given up 0.2 s before its endpoint's last answer is suspected

  # A call that had timed out at two endpoints was refused for 30 s after these crashed
  # seconds later, although they had answered other calls in the meantime.
  Scenario: endpoints that gave no answer to a call live on, and crash later
    Given 4 endpoints of the desk behind 1 gateway
    When a call is given up at two endpoints, and each crashes after 1.5 s of other answers
    Then the same call is served by another endpoint

  # The same, where the endpoints had answered nobody in the meantime, but had kept their
  # connections.
  Scenario: endpoints that gave no answer to a call crash later under others
    Given 4 endpoints of the desk behind 1 gateway
    When a call is given up at two endpoints, and each crashes 1.3 s later under other calls
    Then the same call is served by another endpoint

  # A stream was refused for 30 s after two engines crashed that it had been moved away
  # from before, also if they hadn't yet copied its memory and answered the stop.
  Scenario: engines crash after they stopped a run for a move
    Given 4 endpoints of the model behind 1 gateway
    When a stream is moved away from two engines whose events are lost, which then crash
    Then the same stream is served by another endpoint

  # A stream was refused for 30 s after the store had lost the entries of two engines,
  # which served on.
  Scenario: entries of engines are removed while these serve on
    Given 4 endpoints of the model behind 1 gateway
    When a stream has begun at two engines, and the entry of each is removed
    Then the same stream is served by another endpoint

  Scenario Outline: reports of <kinds> are late, repeated, reordered or lost
    Then after reports of <kinds> all gateways that receive everything agree

    Examples:
      | kinds                        |
      | crashes                      |
      | crashes and cleared requests |

  Scenario: many endpoints fail, and no request is the cause
    Then no request is quarantined when a data hall crashes and its callers retry
    And no request is quarantined when a third of the engines is killed twice
    And no stream is quarantined that three engines lost after it had run for 2 s

  # An endpoint at its limit of connections closes each further one immediately.
  Scenario: endpoints close new connections, since they have too many
    Given 1 gateway before 6 endpoints of the desk, up to 2 for each call
    When a caller sends a call 3 times while they close new connections, and once later
    Then the last one is served

  # One truncated answer cleared a request of its crashes, and it crashed ten more engines.
  Scenario Outline: an answer that no caller gets clears a request of crashes
    Given 6 endpoints of <service> behind 1 gateway
    When <service> answers a crashing request with "<answer>" once, and it is sent 5 times more
    Then at most 2 endpoints have crashed

    Examples:
      | service   | answer   |
      | the model | unframed |
      | the desk  | no seal  |
      | the desk  | encoded  |

  # No request was suspected of 11 of 12 crashes, and the request that caused them was never
  # quarantined.
  Scenario Outline: the port of a crashing endpoint <does> connections for a moment
    Given 6 endpoints of the model behind 1 gateway
    When its endpoints' ports <do> connections for 0.15 s after a crash, and a request crashes them
    Then at most 2 endpoints have crashed

    Examples:
      | does   | do    |
      | closes | close |
      | takes  | take  |

  # The removal of its entry ended the check of an endpoint whose port still took
  # connections, so that nothing was suspected of its crash.
  Scenario: the entry of a crashing endpoint is removed while its port takes connections
    Given 6 endpoints of the model behind 1 gateway
    When a request crashes endpoints whose entries go while their ports take connections
    Then at most 2 endpoints have crashed

  Scenario: many callers send one request while another one crashes the engines
    Then a request that completed in the last 30 s is not quarantined by any gateway

  Scenario: engines have been fixed
    Then a quarantined request is probed after 30 s, once in the whole fleet, and cleared

  Scenario: engines crash under a flood of different requests
    Then of 5000 suspected requests 2048 are remembered, and those in quarantine

  Scenario: peers send any datagrams
    Then crash reports are decoded or refused with their code

  # The product's own interface retried a generation on one engine after the other.
  Scenario: generations of the product's own interface
    When an order is sent that loses each of 6 engines
    Then 2 engines were lost, and the caller is told engine_lost
    And the next order of that content is refused at once with quarantined as not run

  # A complete answer's generation that had run for seconds was suspected of its engine's
  # loss, and one that had sent a first token was never suspected.
  Scenario Outline: engines are lost <seconds> s after the first token of a <kind> answer
    When a <kind> answer is ordered twice, and its engines are lost after <seconds> s
    Then the next order of that content is answered <code>

    Examples:
      | kind     | seconds | code        |
      | complete | 2.0     | engine_lost |
      | complete | 0.2     | quarantined |
      | streamed | 2.0     | engine_lost |
      | streamed | 0.2     | quarantined |

  # When no engine was left, the last refusal was handled as a new one as long as there were
  # retries: one order spent all 50 without being sent anywhere.
  Scenario: an order that every engine has refused spends no more retries
    When an order is sent that each engine of 6 refuses
    Then 6 retries were spent at most, and the caller is told queue_full
