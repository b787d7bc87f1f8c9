Feature: Connections that go silent for good, each noticed by a time limit of our own

  Scenario: the read of a peer's document
    Given a peer whose first connection goes silent before it answers
    When a gateway reads its document twice
    Then the first read ends after 1.0 s, and the second one gets the document

  Scenario Outline: a <call> of the store
    Given a client of the store, reached over a link
    When its open connection goes silent permanently and it makes a <call>
    Then that raises "<error>" within 2.1 s, and the next call is answered

    Examples:
      | call  | error                |
      | read  | platform_unavailable |
      | write | write_uncertain      |
