Feature: Routing under load and faults, replayed
  Seeded traffic through the dispatchers on a fake clock; the same figures on every run.

  Scenario: Two replays of the same traffic give the same figures
    Given 40 seconds of the traffic of "centre" at 24 a second
    Then two replays under "reuse-and-load" give the same figures

  Scenario Outline: The stated aims on both deployments, with all faults
    Given the traffic of "<deployment>" at <rate> a second
    When it is replayed under all policies
    Then every request was answered, shed or failed
    And the hit rate is at least 0.95 of the bound
    And the p99 of the first token is at most half of the best baseline's
    And retries are at most 0.1 of the requests in every phase
    And no request of "reuse-and-load" failed

    Examples:
      | deployment | rate |
      | centre     | 24   |
      | plinth     | 36   |

  Scenario Outline: In no phase is the first token later than under the best baseline
    Given the traffic of "<deployment>" at <rate> a second
    When it is replayed under all policies
    Then in every phase the p99 of the first token is at most the best baseline's

    Examples:
      | deployment | rate |
      | centre     | 24   |
      | plinth     | 36   |

  Scenario: Small teams do not wait for a large one
    Given the traffic of "centre" at 24 a second
    When it is replayed under "reuse-and-load"
    Then the p99 of "training" is at most 1.5 times that of "journalists"

  Scenario: Overload is not made worse by lost affinity
    Given 40 seconds of the traffic of "centre" at 60 a second
    When it is replayed under all policies
    Then "reuse-and-load" answers at least 5 times as many in time as any baseline

  Scenario Outline: A replica count grows with load and shrinks with hysteresis
    Given a prefix whose requests wait <wait> seconds for <seconds> seconds, the next endpoint <next>
    Then it has <count> replicas

    Examples:
      | wait | seconds | next | count |
      | 0.01 | 60      | 0.0  | 1     |
      | 0.5  | 3       | 0.0  | 3     |
      | 0.5  | 60      | 0.0  | 5     |
      | 0.5  | 60      | 0.5  | 1     |
