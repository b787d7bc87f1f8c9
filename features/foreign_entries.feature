Feature: Endpoint entries that other programs wrote

  # An entry with an unknown state was treated as that of a ready endpoint.
  Scenario: one field of a valid entry is missing or has another value
    Then an entry is accepted only if all its fields are as endpoints write them

  Scenario Outline: a list with <entry> in it
    Given a gateway in front of endpoints, with <entry> in their list
    When it reads the entry several times and then serves requests
    Then the other endpoints serve all requests, and the entry is logged once

    Examples:
      | entry                              |
      | an unknown state                   |
      | no address                         |
      | a number for the service           |
      | a negative number of slots         |
      | an entry that is a string          |
      | an entry that is null              |
      | bytes that aren't UTF-8            |
      | a name that can't be sent          |
      | a number of 401 digits             |
      | a start time that is a fraction    |

  Scenario: an entry becomes invalid, and valid again
    Given a gateway before healthy endpoints
    When the entry of a desk endpoint is overwritten and repaired
    Then it gets no requests in between, and requests again afterwards

  Scenario: arbitrary answers of the store
    Then decoding an answer of the store raises only errors with a code
