Feature: An endpoint turns a request away and asks for rest

  # One of three endpoints of a plain service turned all calls away for 9 s and asked for
  # 3 s of rest each time. Six gateways sent it 134 calls in 8 s, up to eight of one gateway
  # in one rest, and from the third second on refused callers ("request_refused status 503
  # code endpoints_refused retry_after 0.25") though the two others worked. An endpoint that
  # refuses within 2 ms seems the least loaded, so it was tried first ("attempt_started
  # attempt 1 cost 0.0033", "attempt_ended rejected, not run, status 503"), and each such try
  # took a retry until none was left. A refusal that proves that nothing ran blamed nobody,
  # and its time to come back wasn't read.
  Scenario: one of three asks for it, in virtual time
    Given 6 gateways before 3 endpoints of a plain service
    When for 9 seconds one turns calls away and asks for 3 s of rest
    Then at most 2 calls of a gateway reach it within a rest
    And no call is refused

  Scenario: one of three asks a gateway for it
    Given 1 gateway before sound endpoints
    When an endpoint of the desk turns a call away and asks for 1 s of rest
    Then it gets no call from the gateway within that time, and some after it
    And all calls are served
