Feature: Documents in parts

  Scenario: splitting and joining
    Then any document is the same again after it was split and joined
    And after an entry was added or removed all parts but a few are the same

  Scenario: parts from several peers
    Then a document put together from any peers, with breaks, is one that a peer had
    And each reply but the last is no larger than its bound and brings something new

  Scenario: a part that is not what was asked for
    When a peer answers with a part that its list doesn't name
    Then the document isn't whole and the next request is the same

  Scenario: messages that can't be read
    Then reading a request or a reply raises only errors with a code
    And a reply that unpacks to more than 16 MB is refused
