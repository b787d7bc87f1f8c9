Feature: Quarantine for parts of prompts that crash engines

  # 18 engines crashed within 30 s, each under another request of one account; the
  # requests had one part of their prompts in common, and no two of them were alike.
  Scenario Outline: a part crashes engines <when>, <place> in one of <share> requests
    Given <gateways> gateways and <engines> engines that a part crashes <when>
    And of <rate> streams a second a share of <share> has the part <place>
    When they are sent for 4 s without the part, and for 16 s with it
    Then at most 5 engines crash, and at most 3 runs with the part follow
    And sound streams are served 0.95 as often as before

    Examples: its place
      | gateways | engines | rate | share | place  | when            |
      | 6        | 9       | 30   | 0.12  | first  | before the head |
      | 6        | 9       | 30   | 0.12  | second | before the head |
      | 6        | 9       | 30   | 0.12  | third  | before the head |

    Examples: how often it comes
      | gateways | engines | rate | share | place | when            |
      | 6        | 9       | 30   | 0.03  | third | before the head |
      | 6        | 9       | 20   | 0.6   | third | before the head |
      | 24       | 16      | 60   | 0.06  | third | before the head |

    Examples: how much of an answer comes
      | gateways | engines | rate | share | place | when            |
      | 6        | 9       | 30   | 0.12  | third | after the head  |
      | 6        | 9       | 30   | 0.12  | third | inside an event |
      | 6        | 9       | 30   | 0.12  | third | after an event  |

  Scenario Outline: a part crashes engines whose streams end with their connection
    Given 6 gateways and 9 engines that a part crashes <when>
    And streams end with their connection
    And of 30 streams a second a share of 0.12 has the part third
    When they are sent for 4 s without the part, and for 16 s with it
    Then at most 5 engines crash, and at most 3 runs with the part follow
    And sound streams are served 0.95 as often as before
    And no stream that its engine broke off looks complete

    Examples:
      | when            |
      | after the head  |
      | inside an event |
      | after an event  |

  # A gateway that had just started sent on what all others had in quarantine.
  Scenario: a gateway starts after a part has crashed engines
    Given 6 gateways and 9 engines that a part crashes before the head
    And of 30 streams a second a share of 0.12 has the part third
    When after 6 s with it a gateway starts, and gets 10 requests with the part as soon as it is ready
    Then at most 5 engines crash, and at most 3 runs with the part follow
    And the last 10 are answered 429 with the time of the next probe

  # The product's own interface held only the same order again.
  Scenario: orders of the product's own interface share a message that crashes engines
    When orders that differ in their last message lose their engines, and others don't
    Then 2 engines were lost, and the next order with that message is refused as not run
    And orders of the same account without that message are served

  # Parts that many requests have, or that stand beside the one at fault, were held for
  # crashes that they did not cause.
  Scenario Outline: <traffic> of prompts in virtual time, <faults>
    When six fleets get "<traffic>" with <faults>
    Then a part crashes at most 5 engines of each fleet, and 3 as a probe
    And at most 0.05 of the sound requests are held

    Examples:
      | traffic                             | faults                        |
      | first part                          | no other faults               |
      | third part, in 0.6                  | no other faults               |
      | always after another                | no other faults               |
      | after several                       | a crash by chance each 1.5 s  |
      | two at once                         | a crash by chance each 1.5 s  |
      | sound before                        | no other faults               |
      | an account that names others' parts | a crash by chance each 1.5 s  |
      | third part                          | 4 engines that crash each 5 s |
      | none                                | 4 engines that crash each 5 s |
      | third part                          | 0.3 of the reports lost       |
      | none                                | all engines that crash at once |

  # The account of such requests was held for 30 s after one more engine had crashed under
  # a sound request of it.
  Scenario: an engine crashes by chance under the account whose requests have the part
    Then only the requests with the part are held, and not all of the account
    And two engines that crash by chance under different requests of an account hold none

  Scenario: a caller names hundreds of parts
    Then of 300 parts 64 are tracked, and a crash under them accuses no others
    And 5000 accused parts take no more records than allowed, and those held stay

  Scenario Outline: the list of a prompt's parts is <what>
    When a stream is requested whose prompt has the parts "<parts>"
    Then it is answered <status>

    Examples:
      | what                | parts                     | status |
      | as agreed           | 5c1e07a2:800,91bd3f06:410 | 200    |
      | empty               |                           | 200    |
      | without counts      | 5c1e07a2,91bd3f06         | 400    |
      | no list             | a part                    | 400    |
      | with a negative one | 5c1e07a2:-3               | 400    |
