Feature: A store that is restored from an older copy
  The store may lose the rows of its last seconds. Its counter then goes back, and the same numbers
  are given to other rows. The operator and the endpoints write their rows again.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And a gateway

  # Guards against a router that ignores the rows of a restored store, whose numbers are lower.
  Scenario: A configuration that is written after the store was restored comes into force
    Given configurations 2 to 6 were written since the copy of the store
    When the store is restored from the copy
    And the operator writes configuration 7 that adds the route "/late/"
    Then the first gateway serves "/late/1" within 2 seconds

  # Guards against a router that sends requests to an endpoint whose leaving it has not noticed.
  Scenario: An endpoint that begins to drain after the store was restored gets no more requests
    Given configurations 2 to 6 were written since the copy of the store
    And the endpoint "app-3" was added since then
    When the store is restored from the copy
    And the endpoint "app-1" registers the state "draining" in the store
    Then the gateway detects within 1.5 seconds that "app-1" is draining

  # Guards against reads without a pause while the restored store has no history after a version.
  Scenario: A restored store is not read again and again
    Given configurations 2 to 6 were written since the copy of the store
    When the store is restored from the copy
    Then the gateway calls the store at most 20 times in 1 second

  # Guards against entries of a restored store that undo what an endpoint has said since the copy.
  Scenario Outline: An entry that a restored store has lost counts until the endpoint writes again
    Given the entry <known> of an endpoint
    When the store is restored with the entry <copy>
    And afterwards it has the entry <written>
    Then the endpoint is <state>, and <later> 10 seconds later

    Examples:
      | known                    | copy                 | written               | state       | later       |
      | draining, heartbeat 5    | ready, heartbeat 3   | nothing               | draining    | draining    |
      | draining, heartbeat 5    | ready, heartbeat 3   | draining, heartbeat 6 | draining    | draining    |
      | draining, heartbeat 5    | ready, heartbeat 3   | ready, heartbeat 7    | ready       | ready       |
      | draining, heartbeat 5    | ready, heartbeat 3   | removed               | gone        | gone        |
      | ready, heartbeat 5       | ready, heartbeat 3   | nothing               | ready       | ready       |
      | ready, heartbeat 5       | nothing              | nothing               | ready       | gone        |
      | ready, heartbeat 5       | nothing              | ready, heartbeat 6    | ready       | ready       |
      | removed, heartbeat 5     | ready, heartbeat 3   | nothing               | gone        | ready       |
      | removed, heartbeat 5     | ready, heartbeat 3   | removed               | gone        | gone        |
      | removed, heartbeat 5     | ready, heartbeat 3   | ready, heartbeat 6    | ready       | ready       |
      | removed, heartbeat 5     | ready, heartbeat 3   | removed in a snapshot | gone        | gone        |
      | ready, start 9           | ready, start 5       | nothing               | of start 9  | of start 9  |
      | ready, start 9           | ready, start 5       | ready, start 8        | of start 8  | of start 8  |
      | ready, heartbeat 5       | malformed            | nothing               | ready       | ready       |
      | ready, heartbeat 5       | ready, heartbeat 3   | malformed             | gone        | gone        |

  # Guards against the use of an endpoint that has left by a router that can't see that its entry went.
  Scenario: Only a router that follows the store uses the entry of a removed endpoint again
    Given the entry removed, heartbeat 5 of an endpoint
    When the store is restored with the entry ready, heartbeat 3
    And the router does not reach the store
    Then the endpoint is gone, and gone 10 seconds later
    When the router reaches the store again
    Then the endpoint is gone, and ready 7 seconds later

  # Guards against a configuration that goes back, or that stays although it was written anew.
  Scenario Outline: A configuration that a restored store has lost stays in force
    Given configuration <known> of the operator is known
    When the store is restored with configuration <copy>
    And the operator writes configuration <written> afterwards
    Then configuration <result> is in force after the restore

    Examples:
      | known | copy | written           | result            |
      | 7     | 5    | none              | 7                 |
      | 7     | 5    | 6                 | 7                 |
      | 7     | 5    | 7                 | 7                 |
      | 7     | 5    | 7 with more teams | 7 with more teams |
      | 7     | 5    | 8                 | 8                 |
      | 7     | none | 8                 | 8                 |

  # Guards against routers that take the rows of an earlier era for newer ones because of their numbers.
  Scenario Outline: Routers that learn late of a restored store agree with the others
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    And configuration 2 is written for the routers, and the store is copied
    And configuration 7 is written for the routers
    And the routers run for 1 seconds
    When these routers are partitioned from the store: <who>
    And the store is restored <times> times
    And the routers run for <seconds> seconds
    Then configuration 7 is in force at all routers
    When the partition from the store ends, and configuration 8 is written
    And the routers run for 3 seconds
    Then configuration 8 is in force at all routers
    And all routers have the rows of the same era, and know of it when they write their own

    Examples:
      | who                   | times | seconds |
      | nobody                | 1     | 2       |
      | one follower          | 1     | 2       |
      | all followers but one | 2     | 0.2     |
      | all relays            | 2     | 2       |
      | half of the routers   | 1     | 4       |

  # Guards against a router that restarts and serves the older configuration of a restored store.
  Scenario Outline: A router that restarts after the loss gets the lost configuration from the others
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    And the store is copied with configuration <copied>
    And configuration 7 is written for the routers
    And the routers run for 1 seconds
    When the store is restored 1 times
    And configuration <written> is written after the restore
    And the routers run for 1 seconds
    And a follower of the store restarts, and hears from no other router for 2 seconds
    Then it has configuration <first> in force
    When the routers run for 2 seconds
    Then configuration 7 is in force at all routers
    When the routers run for 2 seconds
    Then no router requests rows any more

    Examples:
      | copied | written | first |
      | 2      | none    | 2     |
      | 2      | 6       | 6     |
      | none   | none    | 0     |

  # Guards against a write whose expected number was given out again to other content.
  Scenario Outline: A conditional write does not match a number that was given out again
    Given a row of the gateway's own table that was written since the copy of the store
    When the store is restored, and another row gets the same number
    And <what> before the row is written again
    Then the write <result>

    Examples:
      | what                         | result                                |
      | the router reads the table   | is refused without a call             |
      | the router knows of no change | is reported as ambiguous, not as done |

  # Guards against routers that request the same rows from each other again and again.
  Scenario: Two routers that have kept different rows of a restored store settle
    Given 2 routers in 2 data centres, of which 1 in each have high capacity
    And the routers run for 4 seconds
    And the store is copied with configuration 2
    And configuration 7 is written for the routers
    And the routers run for 1 seconds
    When the store is restored 1 times
    And the routers run for 2 seconds
    And a follower of the store restarts, and hears from no other router for 2 seconds
    And the routers run for 2 seconds
    Then no router requests rows any more

  # Guards against rows of an earlier era that are taken for those of the current one.
  Scenario Outline: A response of the store whose era is missing or malformed is not used
    Given responses of the store had the era 2
    When a response has the era "<era>"
    Then the response is not used

    Examples:
      | era                  |
      |                      |
      | two                  |
      | ²                    |
      | -1                   |
      | 99999999999999999999 |
