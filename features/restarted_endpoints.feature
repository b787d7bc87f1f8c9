Feature: Endpoints that start again under their names

  @at_most_once
  Scenario: incarnations in any order of news
    Then the newest incarnation ever seen of a name is listed, and no earlier one

  # The streams were waited for until their callers left, since the connections of the
  # earlier incarnation stayed silent behind a cut.
  @tokens_once_in_order
  Scenario: the endpoint of a stream starts anew, and there is a backup
    Given model engines whose entries tell their birth
    When a large stream of 200 events runs and its endpoint starts anew
    Then all events came once and in order, from 1 run
    And it went on at another endpoint within 1.0 s

  @tokens_once_in_order @at_most_once
  Scenario: the endpoint of a stream starts anew, and there is no copy
    Given model engines whose entries tell their birth
    When a small stream of 200 events runs and its endpoint starts anew
    Then what came is in order and visibly not whole, from 1 run
    And its caller saw that within 1.0 s

  @tokens_once_in_order
  Scenario: an engine's report tells first that it has started anew
    Then a silent stream is given up if a later incarnation answers
    And a report of an earlier incarnation changes nothing

  Scenario: what was known of the earlier incarnation
    Given model engines whose entries tell their birth
    When one that leaves and fails starts anew
    Then it gets new work, and nothing of before counts

  Scenario: an old entry comes after the restart
    Given model engines whose entries tell their birth
    When one starts anew and an old entry that it leaves comes late
    Then it gets new work, and nothing of before counts
