Feature: Guarantees to callers under injected faults
  Callers retry their requests while faults are injected. A checker counts the executions at the
  stand-in endpoints and checks every response.

  Scenario Outline: Random pairs of faults violate no guarantee
    Given a fault run with seed <seed>
    When it sends 300 requests under all faults
    Then it reports no violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: The checker reports a violation when a mechanism is disabled
    Guards against a checker that passes whatever the router does.

    Given a fault run with seed 3 that draws only "<faults>"
    And <mechanism> is disabled
    When it sends 250 requests under these faults
    Then it reports the violation "<violation>"

    Examples:
      | mechanism           | faults                | violation         |
      | the claim           | service crash after   | ran 2 times       |
      | the sequence check  | parts lost            | answer not whole  |
      | the id match        | answers crossed       | crossed answer    |
      | the proof of not-run | service crash after  | false not-run     |
      | the software check  | engine release        | answer not whole  |
