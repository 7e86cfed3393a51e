Feature: Error budget burn report
  Burn rates are computed as in the Site Reliability Workbook, from the merged metrics of all routers.

  Scenario Outline: Burn rate and budget
    Given a target of <target> and hourly samples with <errors> errors in 1000 for <hours> hours
    Then the burn rate is <rate>
    And the budget left is <left>

    Examples:
      | target | errors | hours | rate | left  |
      | 0.999  | 0      | 72    | 0.0  | 1.0   |
      | 0.999  | 1      | 72    | 1.0  | 0.9   |
      | 0.999  | 10     | 72    | 10.0 | 0.0   |
      | 0.99   | 20     | 360   | 2.0  | 0.0   |

  Scenario Outline: An alert fires when both windows exceed its burn rate
    Given a target of 0.999 and samples every 5 minutes
    When the error rate is <before> in 1000 for <hours> hours and then <after> in 1000 for 1 hours
    Then the firing rules are "<rules>"

    Examples:
      | before | hours | after | rules              |
      | 0      | 10    | 0     | none               |
      | 0      | 100   | 20    | page 1 h           |
      | 20     | 10    | 0     | ticket 72 h        |
      | 8      | 10    | 8     | page 6 h, ticket 72 h |
      | 2      | 80    | 2     | ticket 72 h        |

  Scenario: Histograms of routers are added, percentiles are not averaged
    Given a router with 100 fast first tokens and another with 300 slow ones
    Then the merged objective counts 100 good events of 400

  Scenario: Report of a running deployment
    Given a development deployment "centre"
    When team "caseworkers" streams a chat through router 1
    And team "lawyers" streams a chat through router 2
    And the burn report is generated
    Then the command exits with 0 and prints "availability"
    And the HTML page contains the workload "classify" but no key or prompt
