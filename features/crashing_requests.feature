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

  Scenario: a repeatable call may be sent to many endpoints
    Given 1 gateway before 6 endpoints of the desk, up to 5 for each call
    When a caller sends a call that crashes them
    Then at most 2 endpoints have crashed
    And the call is answered 502 without a time to come back

  Scenario: other requests of the same caller while one is held
    Given 3 gateways before 9 engines
    When a request that crashes engines is held, and then others are sent
    Then the held one is refused within 0.2 s with 429 and the time of the next probe
    And those with another body or another path are served

  Scenario: an engine goes from the list and starts anew, and refuses no connection
    Then a request that had just begun there is suspected, and a long one isn't

  Scenario Outline: <news> reach gateways late, twice, in any order or not at all
    Then with <news> all gateways that hear of everything agree

    Examples:
      | news                |
      | crashes             |
      | crashes and excuses |

  Scenario: many endpoints fail, and no request is at fault
    Then no request is held when a whole hall crashes while its callers come again
    And no request is held when a third of the engines is killed twice
    And no stream is held that three engines lost after it had run for 2 s there

  # An endpoint with all the connections that it bears closes each further one at once.
  Scenario: endpoints close new connections, since they have too many
    Given 1 gateway before 6 endpoints of the desk, up to 2 for each call
    When a caller sends a call 3 times while they close new connections, and once later
    Then the last one is served
  # One answer cut short excused a request, and ten engines more crashed under it.
  Scenario Outline: an answer that no caller gets excuses a request
    Given 6 endpoints of <service> behind 1 gateway
    When <service> answers a crashing request with "<answer>" once, and it comes 5 times more
    Then at most 2 endpoints have crashed

    Examples:
      | service   | answer   |
      | the model | unframed |
      | the desk  | no seal  |
      | the desk  | encoded  |

  # Nobody was suspected of 11 crashes of 12, and the request was never held.
  Scenario Outline: the port of an endpoint that crashes <does> connections for a moment
    Given 6 endpoints of the model behind 1 gateway
    When its endpoints' ports <do> connections for 0.15 s after a crash, and a request crashes them
    Then at most 2 endpoints have crashed

    Examples:
      | does   | do    |
      | closes | close |
      | takes  | take  |

  Scenario: many ask for the same, and another request crashes the engines
    Then what has run well in the last 30 s is not held, whoever hears of the crashes first

  Scenario: engines have been mended
    Then a held request is let through after 30 s, once in the whole fleet, and excused

  Scenario: engines crash under a flood of different requests
    Then of 5000 suspected requests 2048 are remembered, and those that are held

  Scenario: whatever peers send
    Then notes of crashes are read or refused with their code

  # The product's own interface retried at one engine after the other.
  Scenario: generations of the product's own interface
    When an order is sent under which each engine of 6 is lost
    Then 2 engines were lost, and the caller is told engine_lost
    And the next order of that content is refused at once with quarantined, unrun

  # The last refusal was taken for a new one as long as there were retries: one order spent
  # all 50 without being sent anywhere.
  Scenario: an order that every engine has refused spends no more retries
    When an order is sent that each engine of 6 refuses
    Then 6 retries were spent at most, and the caller is told queue_full
