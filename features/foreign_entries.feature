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
      | a list of 1500 levels              |
      | an object of 90000 levels          |
      | control characters in a text       |
      | a port of 5000 digits              |

  Scenario: an entry becomes invalid, and valid again
    Given a gateway before healthy endpoints
    When the entry of a desk endpoint is overwritten and repaired
    Then it gets no requests in between, and requests again afterwards

  Scenario: arbitrary answers of the store
    Then decoding an answer of the store raises only errors with a code

  # One entry that a decoder refuses hid all changes from a gateway that ran.
  Scenario Outline: <entry> while a gateway runs
    Given a gateway before healthy endpoints
    When <entry> is written, and then an endpoint comes
    Then the endpoint that came serves requests

    Examples:
      | entry                        |
      | a list of 1500 levels        |
      | control characters in a text |

  # The name of the last entry on a page tells where the next page starts.
  Scenario Outline: <entry> as the last entry on a page of the list
    Given 60 listed endpoints, of which entry 50 has <entry>
    When a gateway starts and serves requests
    Then it knows the 59 other endpoints

    Examples:
      | entry                        |
      | a list of 1500 levels        |
      | control characters in a text |
      | bytes that aren't UTF-8      |

  # One bad object ended the processes of the product's own interface that list objects.
  Scenario Outline: the product's own store has an object with <content>
    Then its list, its watch and its list of boxes hold all other objects beside <content>

    Examples:
      | content                   |
      | a spec that is a string   |
      | no value                  |
      | a value that isn't base64 |
      | write ids that aren't     |
      | a list of 1500 levels     |
      | a kind that is unknown    |
      | a name that can't be sent |

  # The name stopped all reports to peers, and the following of drains.
  Scenario: a drained data hall whose name can't be sent to other gateways
    Given 2 gateways before healthy endpoints
    When a drain of a data hall with a lone surrogate in its name is written
    Then both gateways go on reporting to each other
