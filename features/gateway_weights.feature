Feature: Rolling updates of weights
  Only the holder of the lease sends orders to load weights. Repeating an order is safe, and the
  endpoints with the oldest weights are updated first.

  Scenario: All endpoints are updated to the newest weights, a fraction at a time
    Given a rollout of version 4 over 5 endpoints with weights 3
    When the rollout task runs until all endpoints have the weights
    Then at most 2 endpoints loaded at a time
    And every order carries the holder, its fencing token and the number of orders accepted before
    And every endpoint was ordered once

  Scenario Outline: Load pattern "rollout under load": fewer endpoints load if others are busy or unreachable
    Given a rollout of version 4 over 10 endpoints with weights 3
    And <what>
    When the rollout task runs until all reachable endpoints have the weights
    Then at most <most> endpoints loaded at a time

    Examples:
      | what                                  | most |
      | each endpoint has 1 requests          | 4    |
      | each endpoint has 3 requests          | 3    |
      | 3 of the endpoints are unreachable    | 3    |

  Scenario: A version requested during a rollout supersedes the previous one
    Given a rollout of version 4 over 5 endpoints with weights 3
    When version 5 is requested while the first endpoints load
    And the rollout task runs until all endpoints have the weights
    Then at most 2 endpoints were ordered to load version 4

  Scenario: The endpoint with the oldest weights is ordered first
    Given a rollout of version 4 over 5 endpoints with weights 3
    And endpoint 4 has weights 1
    When the rollout task runs for one step
    Then endpoint 4 was ordered first

  Scenario Outline: An order takes effect once despite a lost, late or refused response
    Given a rollout of version 4 over 1 endpoints with weights 3
    And the endpoint <does>
    When the rollout task runs until all endpoints have the weights
    Then the endpoint loaded the weights once

    Examples:
      | does                                    |
      | accepts orders but its response is lost |
      | executes orders late                    |
      | is busy with another router's order     |

  Scenario: A router without the lease sends no orders
    Given a rollout of version 4 over 2 endpoints with weights 3
    And another router holds the lease
    When the rollout task runs for 30 steps
    Then no order was sent

  Scenario: A holder that was paused beyond its lease sends no more orders
    Given a rollout of version 4 over 5 endpoints with weights 3
    When the rollout task runs for one step
    And it is paused for 4 seconds and another router acquires the lease
    And the rollout task runs for 10 steps
    Then no order was sent after the pause

  Scenario: A holder that shuts down releases the lease, so that the next one need not wait
    Given a rollout of version 4 over 2 endpoints with weights 3
    When the rollout task runs until all endpoints have the weights
    And the rollout task stops
    Then another router can acquire the lease at once, with a higher token

  Scenario: A process that has just started sends no orders for the length of a lease
    Given a rollout of version 4 over 2 endpoints with weights 3 by a process that has just started
    When the rollout task runs for 30 steps
    Then no order was sent

  Scenario: A restarted endpoint with older weights is ordered again
    Given a rollout of version 4 over 2 endpoints with weights 3
    When the rollout task runs until all endpoints have the weights
    And endpoint 1 restarts with weights 3
    And the rollout task runs until all endpoints have the weights
    Then endpoint 1 was ordered in its new incarnation, with no orders accepted before

  Scenario Outline: An endpoint is drained for a bounded time
    Given a rollout of version 4 over 1 endpoints with weights 3
    And <count> requests run at endpoint 1 for <seconds> seconds
    When the rollout task runs until all endpoints have the weights
    Then endpoint 1 was ordered in mode "<mode>" between <first> and <last> seconds after the start
    And endpoint 1 got no new request while it was drained

    Examples:
      | count | seconds | mode     | first | last |
      | 0     | 0       | queue    | 0     | 0.4  |
      | 2     | 0.4     | queue    | 0.4   | 0.7  |
      | 2     | 5       | hot_swap | 0.8   | 1.2  |
