Feature: Documents in chunks

  Scenario: splitting and joining
    Then any document is the same after it was split and joined
    And after an entry was added or removed all chunks but a few are the same

  Scenario: chunks from several peers
    Then a document assembled from any peers, with lost replies, is one that a peer had
    And each reply is bounded in size, and each but the last has new chunks

  Scenario: a chunk that was not requested
    When a peer replies with a chunk whose digest it doesn't list
    Then the document isn't complete and the next request is the same

  Scenario: invalid messages
    Then decoding a request or a reply raises only errors with a code
    And a reply that decompresses to more than 16 MB is refused
