Feature: New weights
  One holder of a lease orders; orders are repeatable, and the oldest weights go first.

  Scenario: All endpoints are brought to the newest weights, a part at a time
    Given a rollout of version 4 over 5 endpoints with weights 3
    When the orderer runs until all have the weights
    Then at most 2 endpoints loaded at a time
    And every order names the holder, its token and the orders accepted before
    And every endpoint was ordered once

  Scenario Outline: Load pattern "rollout under load": fewer load while the others are busy or away
    Given a rollout of version 4 over 10 endpoints with weights 3
    And <what>
    When the orderer runs until all that can be reached have the weights
    Then at most <most> endpoints loaded at a time

    Examples:
      | what                                  | most |
      | each endpoint has 1 requests          | 4    |
      | each endpoint has 3 requests          | 3    |
      | 3 of the endpoints are out of reach   | 3    |

  Scenario: A version that is named meanwhile replaces the one before
    Given a rollout of version 4 over 5 endpoints with weights 3
    When version 5 is named while the first endpoints load
    And the orderer runs until all have the weights
    Then at most 2 endpoints were ordered to load version 4

  Scenario: The oldest weights go first
    Given a rollout of version 4 over 5 endpoints with weights 3
    And endpoint 4 has weights 1
    When the orderer runs for one step
    Then endpoint 4 was ordered first

  Scenario Outline: An order whose answer is lost
    Given a rollout of version 4 over 1 endpoints with weights 3
    And the endpoint <does>
    When the orderer runs until all have the weights
    Then the endpoint loaded the weights once

    Examples:
      | does                                  |
      | accepts orders and loses the answer   |
      | carries orders out late               |
      | is busy with an order of another one  |

  Scenario: Without the lease nothing is ordered
    Given a rollout of version 4 over 2 endpoints with weights 3
    And another router holds the lease
    When the orderer runs for 30 steps
    Then nothing was ordered

  Scenario: A holder that was paused past its lease orders nothing more
    Given a rollout of version 4 over 5 endpoints with weights 3
    When the orderer runs for one step
    And it is paused for 4 seconds and another router takes the lease over
    And the orderer runs for 10 steps
    Then nothing was ordered after the pause

  Scenario: A holder that stops gives the lease back, and the next one need not wait
    Given a rollout of version 4 over 2 endpoints with weights 3
    When the orderer runs until all have the weights
    And it stops
    Then another router can take the lease at once, with a higher token

  Scenario: A process that has just started gives no orders for the length of a lease
    Given a rollout of version 4 over 2 endpoints with weights 3 by a process that has just started
    When the orderer runs for 30 steps
    Then nothing was ordered

  Scenario: A restarted endpoint with older weights is ordered again
    Given a rollout of version 4 over 2 endpoints with weights 3
    When the orderer runs until all have the weights
    And endpoint 1 starts again with weights 3
    And the orderer runs until all have the weights
    Then endpoint 1 was ordered in its new lifetime, with no order before

  Scenario Outline: An endpoint is drained for a bounded time
    Given a rollout of version 4 over 1 endpoints with weights 3
    And <count> requests run at endpoint 1 for <seconds> seconds
    When the orderer runs until all have the weights
    Then endpoint 1 was ordered in mode "<mode>" between <first> and <last> seconds after the start
    And endpoint 1 got no new request meanwhile

    Examples:
      | count | seconds | mode     | first | last |
      | 0     | 0       | queue    | 0     | 0.4  |
      | 2     | 0.4     | queue    | 0.4   | 0.7  |
      | 2     | 5       | hot_swap | 0.8   | 1.2  |
