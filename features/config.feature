Feature: Configuration document
  All errors of a document are reported together, each with its path and a remedy.

  Scenario Outline: The example documents are valid
    Given the example "<name>"
    Then the document is accepted with <endpoints> model endpoints and <teams> teams

    Examples:
      | name   | endpoints | teams |
      | centre | 5         | 8     |
      | plinth | 9         | 8     |

  Scenario Outline: A document with one error
    Given example "centre" with "<old>" replaced by "<new>"
    Then the only error is reported at "<path>"

    Examples:
      | old                           | new                          | path                         |
      | weight = 4.0                  | weight = -1.0                | teams[0].weight              |
      | weight = 4.0                  | weight = "4"                 | teams[0].weight              |
      | weight = 4.0                  | wieght = 4.0                 | teams[0]                     |
      | preset = "ordinary"           | preset = "holiday"           | preset                       |
      | name = "peak"                 | name = "busy"                | presets                      |
      | kind = "service"              | kind = "servant"             | endpoints[5].kind            |
      | address = "127.0.0.1:7101"    | address = "127.0.0.1"        | endpoints[0].address         |
      | address = "127.0.0.1:7101"    | address = "127.0.0.1:7102"   | endpoints[1].address         |
      | slots = 16                    | slots = 0                    | endpoints[0].slots           |
      | weights_version = "2026-11"   | weights_version = ""         | models[0].weights_version    |
      | role = "viewer"               | role = "visitor"             | operators[2].role            |
      | drained_endpoints = []        | drained_endpoints = ["none"] | operations.drained_endpoints |
      | availability = 0.9999         | availability = 99.99         | workloads[4].objective.availability |
      | name = "lawyers"              | name = "caseworkers"         | teams[1].name                |
      | [deployment]                  | [deployment                  | document                     |

  Scenario: A document with several errors
    Given example "centre" with "weight = 4.0" replaced by "weight = 0.0"
    And also with "slots = 16" replaced by "slots = -1"
    And also with "role = "viewer"" replaced by "role = "none""
    Then 3 errors are reported, each with a remedy

  Scenario: A document with several values of the wrong type
    Given example "centre" with "weight = 4.0" replaced by "weight = true"
    And also with "slots = 16" replaced by "slots = 1.5"
    Then 2 errors are reported, each with a remedy

  Scenario: The strictest matching workload applies when the caller does not name one
    Given the example "centre"
    Then a model request of "intake" without a workload is non-idempotent
    And a model request of "lawyers" without a workload is idempotent
    And a service request "POST" "/unknown" is non-idempotent
    And a service request "GET" "/filings/1" is idempotent
