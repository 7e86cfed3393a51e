Feature: All promises under seeded faults
  A checker counts executions at the stand-in endpoints and reads every answer.

  Scenario Outline: Faults singly and in pairs
    Given a fault run with seed <seed>
    When it sends 300 requests under all faults
    Then it finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: The checker finds the fault when a mechanism is switched off
    Given a fault run with seed 3 that draws only "<faults>"
    And <mechanism> is switched off
    When it sends 250 requests under these faults
    Then it finds a violation "<promise>"

    Examples:
      | mechanism           | faults                | promise           |
      | the claim           | service crash after   | ran 2 times       |
      | the sequence check  | parts lost            | answer not whole  |
      | the id match        | answers crossed       | crossed answer    |
      | the proof of not-run | service crash after  | false not-run     |
