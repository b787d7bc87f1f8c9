@own_whole_answer
Feature: Every caller gets the complete answer to its own request

  Scenario: Answers to many concurrent callers arrive out of order
    Given a running deployment
    When 60 callers send generations and calls that take 0 to 400 ms
    Then every caller has the complete answer to its request

  Scenario: A gateway is killed and numbers its requests from 1 after a restart
    Given a running deployment
    When 10 slow calls run at gateway-1 and it is killed and restarted
    And 10 other calls are sent to it
    Then every later caller has the complete answer to its request
