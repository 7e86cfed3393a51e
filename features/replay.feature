Feature: Simulated routing under load and faults
  The dispatchers of the router process seeded traffic on a fake clock. Engines and network are
  simulated, so that every run of the same traffic gives the same figures.

  Scenario: Two replays of the same traffic give the same figures
    Given 40 seconds of the traffic of "centre" at 24 per second
    Then two replays under "reuse-and-load" give the same figures

  Scenario Outline: Performance objectives hold on both deployments under all faults
    Given the traffic of "<deployment>" at <rate> per second
    When it is replayed under all policies
    Then every request was answered, shed or failed
    And the cache hit rate is at least 0.95 of its upper bound
    And the p99 time to first token is at most half of the best baseline's
    And the retry ratio is at most 0.1 in every phase
    And no request of "reuse-and-load" failed

    Examples:
      | deployment | rate |
      | centre     | 24   |
      | plinth     | 36   |

  Scenario Outline: In no phase is the first token later than under the best baseline
    Given the traffic of "<deployment>" at <rate> per second
    When it is replayed under all policies
    Then in every phase the p99 time to first token is at most the best baseline's

    Examples:
      | deployment | rate |
      | centre     | 24   |
      | plinth     | 36   |

  # Guards against simulated responses that two software versions generated.
  Scenario: Engines of two software versions that crash and change versions mix no response
    Given 40 seconds of the traffic of "centre" at 24 per second
    And engines of software "v1" and "v2" that crash every 5 seconds, some with other software after
    When it is replayed under "reuse-and-load"
    Then every request was answered, shed or failed
    And more than 10 responses were continued and none was mixed from two software versions

  # Guards against a simulated engine that continues a text which its predecessor's software began.
  Scenario: A simulated engine drops the rest of a response that other software began
    Given 40 seconds of the traffic of "centre" at 24 per second
    When an engine of software "v2" gets the rest of a response that software "v1" began
    Then it runs nothing, and the request is sent elsewhere

  Scenario: A large team does not delay a small one
    Guards against a queue without fairness, in which a small team waits behind a large one.

    Given the traffic of "centre" at 24 per second
    When it is replayed under "reuse-and-load"
    Then the p99 time to first token of "training" is at most 1.5 times that of "journalists"

  Scenario: Goodput under overload is not reduced by lost cache affinity
    Under overload, requests that spill to endpoints without their prefix cost recomputation, which
    reduces the goodput further.

    Given 40 seconds of the traffic of "centre" at 60 per second
    When it is replayed under all policies
    Then the goodput of "reuse-and-load" is at least 5 times that of any baseline

  Scenario Outline: The number of replicas of a prefix grows with load and shrinks with hysteresis
    It does not grow when the next endpoint is as busy, as replicas would only add recomputation.

    Given requests with one prefix for <seconds> seconds, which wait <wait> s, or <next> s elsewhere
    Then the prefix has <count> replicas

    Examples:
      | wait | seconds | next | count |
      | 0.01 | 60      | 0.0  | 1     |
      | 0.5  | 3       | 0.0  | 3     |
      | 0.5  | 60      | 0.0  | 5     |
      | 0.5  | 60      | 0.5  | 1     |
