Feature: Validation of settings reports every fault

  Scenario: Faults of all kinds are reported together, each with its line
    Given this settings file
      """
      kind: Gateway
      name: gateway-1
      spec:
        data_hall: 7
        listen: nowhere
        peer_listen: 127.0.0.1:1
        platform_url: http://127.0.0.1:2
        retry_share: 3
        colour: red
        caps:
          body_bytes: many
          size: 1
      """
    When it is validated
    Then the findings are
      | line | path                 | code          |
      | 4    | spec.data_hall       | wrong_type    |
      | 5    | spec.listen          | invalid_value |
      | 8    | spec.retry_share     | invalid_value |
      | 9    | spec.colour          | unknown_key   |
      | 11   | spec.caps.body_bytes | wrong_type    |
      | 12   | spec.caps.size       | unknown_key   |

  Scenario Outline: <fault>
    Given the settings text "<text>"
    When it is validated
    Then one finding has line <line>, path <path> and code <code>

    Examples:
      | fault                    | text                                      | line | path | code         |
      | an empty file            |                                           | 1    | $    | empty        |
      | invalid YAML             | a: [                                      | 1    | $    | invalid_yaml |
      | a list as a document     | - a                                       | 1    | $    | wrong_type   |
      | a missing name           | kind: Gateway\nspec: {}                   | 1    | name | missing      |
      | an unknown kind          | kind: Ship\nname: a\nspec: {}             | 1    | kind | unknown_kind |
      | a list as a spec         | kind: Gateway\nname: a\nspec: []          | 3    | spec | wrong_type   |
      | an unknown top-level key | kind: Service\nname: a\nspec: {}\nmore: 1 | 4    | more | unknown_key  |

  Scenario: Five faults give five findings, without duplicates
    Given this settings file
      """
      kind: AccountTemplate
      name: shop
      spec:
        parameters:
          working_hours:
            time_zone: Mars/Olympus
            start: "25:00"
            end: "18:00"
            days: [1, 9]
          requests_per_second: 0
          concurrent_request: 5
      """
    When it is validated
    Then the findings are
      | line | path                                    | code          |
      | 6    | spec.parameters.working_hours.time_zone | invalid_value |
      | 7    | spec.parameters.working_hours.start     | invalid_value |
      | 9    | spec.parameters.working_hours.days      | invalid_value |
      | 10   | spec.parameters.requests_per_second     | invalid_value |
      | 11   | spec.parameters.concurrent_request      | unknown_key   |

  Scenario Outline: An invalid or missing value in <kind>
    Given the settings text "kind: <kind>\nname: a\nspec:\n  <text>"
    When it is validated
    Then some finding has code <code>

    Examples:
      | kind            | text                                                              | code          |
      | Service         | {type: plain, kinds: [a], slots: 0}                               | invalid_value |
      | Service         | {type: plain, kinds: [a], non_repeatable_kinds: [b]}              | invalid_value |
      | Service         | {type: ship, kinds: [a]}                                          | invalid_value |
      | AccountTemplate | {parameters: {working_hours: {time_zone: Mars/X, start: "08:00", end: "09:00"}}} | invalid_value |
      | AccountTemplate | {parameters: {requests_per_second: -1}}                           | invalid_value |
      | ClientAccount   | {key_hashes: []}                                                  | missing       |
      | Gateway         | {data_hall: a, listen: b, peer_listen: "c:1", platform_url: d}    | invalid_value |
      | Agent           | {data_hall: a, service: s, listen: "c:99999", platform_url: d, endpoint_url: e} | invalid_value |

  Scenario: The examples are valid
    Then all example files are valid
