@own_whole_answer
Feature: Every caller gets the whole answer to its own request

  Scenario: Many callers at once, answers late and crossed
    Given a running deployment
    When 60 callers send calls that take between 0 and 400 ms and generations
    Then every caller has its own whole answer

  Scenario: A gateway is killed and its successor numbers its requests anew
    Given a running deployment
    When 10 slow calls are under way at gateway-1 and it is killed and started anew
    And 10 other calls are sent to it
    Then every later caller has its own whole answer
