Feature: Bytes that are no answer, or not all of one, are never passed on as an answer

  # A part of an answer was passed on as a whole one: the task that still sent the request
  # met the reset, and to the one that read the answer the connection looked closed.
  @own_whole_answer
  Scenario Outline: an endpoint answers a long <kind> request with a <answer>
    Given endpoints whose answers have a <answer>
    When 16 callers send "<kind>" requests of 3500000 bytes
    Then each gets a 502 or a stream that is incomplete

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
