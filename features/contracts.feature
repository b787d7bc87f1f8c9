Feature: Contract tests of the ports, with the real adapters and the stand-ins

  Scenario Outline: The platform's store: <case>
    Given the stand-ins
    Then the store adapter fulfils its contract when <case>

    Examples:
      | case                                                    |
      | an object is created, read, changed and deleted         |
      | a write expects an old version                          |
      | several writes expect the same version                  |
      | the answer to a write is lost                           |
      | a lost answer is settled after later writes             |
      | the platform is unavailable                             |
      | a watch returns all changes in order                    |
      | a watch has missed changes                              |
      | reads are stale                                         |
      | the list of boxes is delayed                            |
      | the store has lost the version that a write expects     |
      | the store has reissued the version that a write expects |
      | a watch resumes from a reissued revision                |
      | the store is restored from a copy just before a write   |

  Scenario Outline: The engine: <case>
    Given the stand-ins
    Then the engine adapter fulfils its contract when <case>

    Examples:
      | case                                   |
      | a generation is streamed to its end    |
      | a stream is resumed at an offset       |
      | a generation is cancelled              |
      | a generation is unknown                |
      | the engine stalls                      |
      | the engine has crashed                 |
      | the load is reported                   |
      | cache events are delayed and have gaps |

  Scenario Outline: The plain service: <case>
    Given the stand-ins
    Then the service adapter fulfils its contract when <case>

    Examples:
      | case                              |
      | a call is answered                |
      | the service has crashed           |
      | the service crashes during a call |
