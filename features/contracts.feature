Feature: The ports' contracts, against the adapters and the stand-ins

  Scenario Outline: The platform's store, <case>
    Given the stand-ins
    Then the store keeps its contract when <case>

    Examples:
      | case                                         |
      | an object is created, read, changed and deleted |
      | a write names an old version                 |
      | two writes name the same version             |
      | the answer to a write is lost                |
      | the write is settled after later writes      |
      | the platform is out                          |
      | a watch tells all changes in order           |
      | a watch has a gap                            |
      | reads are stale                              |
      | the list of boxes lags                       |
      | it has lost the version that a write names |
      | it has given the version that a write names out again |
      | a watch goes on from a revision given out again |
      | it comes back just before a write |

  Scenario Outline: The engine, <case>
    Given the stand-ins
    Then the engine keeps its contract when <case>

    Examples:
      | case                                        |
      | a generation is streamed to its end         |
      | a stream is resumed at an offset            |
      | a generation is cancelled                   |
      | a generation is unknown                     |
      | the engine stands still                     |
      | the engine is gone                          |
      | the load is reported                        |
      | cache events come late and with gaps        |

  Scenario Outline: The plain service, <case>
    Given the stand-ins
    Then the service keeps its contract when <case>

    Examples:
      | case                       |
      | a call is answered         |
      | the service is gone        |
      | the service dies midway    |
