Feature: Bytes that are no answer, or not all of one, are never passed on as an answer

  # A part of an answer was passed on as a whole one: the task that still sent the request
  # met the reset, and to the one that read the answer the connection looked closed.
  @own_whole_answer
  Scenario Outline: an endpoint answers a long <kind> request with a <answer>
    Given endpoints whose answers have a <answer>
    When 16 callers send "<kind>" requests of 3500000 bytes
    Then each gets a failure or a stream that is incomplete

    Examples:
      | kind       | answer                           |
      | once       | reset in the upload              |
      | once       | reset in the upload after 0.03 s |
      | once       | reset in the upload after 0.2 s  |
      | repeatable | reset in the upload              |
      | repeatable | reset in the upload after 0.03 s |
      | stream     | reset in the upload              |
      | stream     | reset in the upload after 0.03 s |
      | stream     | reset in the upload after 0.2 s  |

  # Statuses that don't exist were passed on, and a folded line became a part of the header
  # before it.
  @own_whole_answer
  Scenario Outline: an endpoint's answer has <answer>
    Given endpoints whose answers have <answer>
    When callers send a request "once" and for a "stream"
    Then each gets a failure or a stream that is incomplete

    Examples:
      | answer                    |
      | status 000                |
      | status 099                |
      | status 101                |
      | status 600                |
      | status 999                |
      | a blank in a name         |
      | a control byte in a name  |
      | a blank before a colon    |
      | an empty name             |
      | a folded line             |
      | a line folded by a tab    |
      | a head cut in its status  |
      | a head cut in a name      |
      | a head cut before its end |
      | a head without end        |

  # Interim answers were read until the route's timeout, at the cost of all other requests.
  # Bodies had a limit each, and none together.
  Scenario Outline: endpoints answer eight requests at once with <answer>
    Given endpoints whose answers have <answer>
    When 8 callers send "once" requests of 2 bytes, and others call a sound service
    Then each fails within <seconds> s
    And the others get their answers, and at most 32 MB were kept

    Examples:
      | answer                      | seconds |
      | interim answers without end | 1.0     |
      | a body without end          | 2.5     |
      | chunks without end          | 2.5     |

  Scenario: bodies that are read at the same time share their memory
    Then an answer may have half of the memory, several less each, and small ones always fit

  # The client of the product's own interface took parts of answers, folded lines and
  # statuses that don't exist for whole answers, of any size.
  @own_whole_answer
  Scenario Outline: the product's own interface, before an endpoint whose answer has <answer>
    Then a call, a generation and its cancelling fail if the answer has <answer>

    Examples:
      | answer                           |
      | reset in the upload              |
      | reset in the upload after 0.03 s |
      | reset in the upload after 0.2 s  |
      | status 000                       |
      | status 600                       |
      | status 999                       |
      | a control byte in a name         |
      | a folded line                    |
      | a head cut in a name             |
      | a body without end               |
      | chunks without end               |
      | a head without end               |
      | interim answers without end      |
