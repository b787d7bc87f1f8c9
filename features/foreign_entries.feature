Feature: Entries of endpoints that somebody else wrote

  # An entry with an unknown state was taken for that of an endpoint that is ready.
  Scenario: one field of a sound entry is missing, or another value
    Then an entry names an endpoint only if all its fields are as endpoints write them

  Scenario Outline: a list with <entry> in it
    Given a gateway before endpoints, and <entry> in their list
    When it serves, and the entry is read several times
    Then all requests are served by the others, and the entry is logged once

    Examples:
      | entry                        |
      | an unknown state             |
      | no address                   |
      | a number for the service     |
      | a negative number of slots   |
      | an entry that is a text      |
      | an entry that is nothing     |
      | bytes that are no text       |
      | a name that can't be sent    |
      | an endless number            |
      | a birth that is a fraction   |

  Scenario: an entry becomes unreadable, and readable again
    Given a gateway before sound endpoints
    When the entry of a desk endpoint is overwritten and mended
    Then it gets no request meanwhile, and requests again after it

  Scenario: answers of the store in any form
    Then reading an answer of the store raises only errors with a code
