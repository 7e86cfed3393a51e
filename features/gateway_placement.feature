Feature: Where requests go
  Pure decisions; each scenario of load names the pattern that it answers.

  Scenario: Requests with one prefix stay together, and routers agree on the place
    Given 5 model endpoints that hold nothing
    When 40 requests with 8 prefixes are placed by 3 routers without load
    Then each prefix has one endpoint

  Scenario: Load pattern "hot prefix": it spreads over as many endpoints as its load needs
    Given 5 model endpoints that hold nothing
    When 200 requests a second with one prefix of 6000 tokens arrive for 2 seconds
    Then no endpoint gets more than 50 percent of them
    And the first tokens are late for at most 5 percent

  Scenario: Load pattern "cold start after new weights": a prefix is read once, then fetched
    Given 5 model endpoints that hold nothing
    And a cache store
    When 8 requests a second with 4 prefixes of 2500 tokens arrive for 5 seconds
    Then each prefix is read at most 2 times

  Scenario: Load pattern "rollout": endpoints with new weights do not get everything at once
    Given 5 model endpoints that hold nothing
    And endpoint 1 has weights 2, which were named 2 seconds ago
    When 60 requests a second with 60 prefixes of 3000 tokens arrive for 1 second
    Then endpoint 1 gets more than any other, but at most 60 percent

  Scenario: Old weights are not used past the bound
    Given 3 model endpoints that hold nothing
    And endpoint 1 has weights 2, which were named 9.5 seconds ago
    When 60 requests a second with 60 prefixes of 3000 tokens arrive for 1 second
    Then endpoint 1 gets all

  Scenario: Without an endpoint whose weights are allowed nothing is chosen
    Given 3 model endpoints that hold nothing
    And the oldest allowed weights are 2
    Then no endpoint is chosen

  Scenario: Load pattern "slow endpoint": an endpoint five times slower gets less
    Given 4 model endpoints that hold nothing
    And endpoint 2 is 5 times slower than expected
    When 60 requests a second with 60 prefixes of 3000 tokens arrive for 2 seconds
    Then endpoint 2 gets at most 10 percent

  Scenario: An endpoint that loads weights gets nothing
    Given 3 model endpoints that hold nothing
    And endpoint 2 loads weights
    When 60 requests a second with 60 prefixes of 3000 tokens arrive for 1 second
    Then endpoint 2 gets at most 0 percent

  Scenario Outline: Cached parts are shared as far as teams and weights allow
    Then the salts of teams "<first>" and "<second>" with weights <old> and <new> are <same>

    Examples:
      | first | second | old | new | same      |
      |       |        | 1   | 1   | equal     |
      |       |        | 1   | 2   | different |
      | a     |        | 1   | 1   | different |
      | a     | b      | 1   | 1   | different |
      | a     | a      | 1   | 1   | equal     |

  Scenario: The cache of an endpoint is believed to be finite
    Given an endpoint with room for 1000 tokens
    When 30 prefixes of 100 tokens are read there
    Then the last 10 are believed to be held, and the first 20 not

  Scenario: Load pattern "grey endpoint": plain requests leave an endpoint that fails
    Given 3 plain endpoints
    When endpoint 1 fails 4 requests in a row
    Then the next 20 requests go elsewhere
    And 20 seconds later it gets requests again

  Scenario: Load pattern "crowd": plain requests spread over the endpoints by their slots
    Given 3 plain endpoints
    When 18 requests are placed and stay
    Then each endpoint has 5 to 7 of them

  Scenario: Waiting requests are woken by urgency, and none starves
    When requests of rank 5, 0 and 3 wait, and one of rank 9 has waited for 5 seconds
    Then they are woken in the order 9, 0, 3, 5

  Scenario Outline: What is believed of a cache store follows what it says of itself
    Given 3 model endpoints that hold nothing
    And a cache store whose prefixes are known
    When the cache store <does>
    Then requests <name> it as a source, and its prefixes are <state>

    Examples:
      | does              | name        | state     |
      | answers as before | name        | known     |
      | restarts          | name        | forgotten |
      | does not answer   | do not name | forgotten |
      | is back after that | name       | forgotten |

  Scenario: Load pattern "hot prefix at many endpoints": it spreads, though few are looked at
    Given 45 model endpoints that hold nothing
    When 600 requests a second with one prefix of 6000 tokens arrive for 2 seconds
    Then no endpoint gets more than 25 percent of them
    And the first tokens are late for at most 5 percent
    And at most 15 of 45 endpoints are estimated for a request

  Scenario: Load pattern "many prefixes at many endpoints": each is read once or twice
    Given 45 model endpoints that hold nothing
    And a cache store
    When 100 requests a second with 80 prefixes of 2500 tokens arrive for 5 seconds
    Then each prefix is read at most 2 times

  Scenario: Load pattern "more prefixes than one cache store keeps": each prefix has one store
    Given 3 model endpoints that hold nothing
    And cache stores in the data centres "b" and "a"
    When 300 requests with 300 prefixes are placed at endpoints in data centres "a" and "b"
    Then each prefix is saved to, and fetched from, one store wherever its endpoint is
    And each store has at least 100 prefixes

  Scenario Outline: Load pattern "memory is short": what would have others preempted waits
    Given 2 model endpoints that hold nothing
    And running requests take <first> and <second> tokens of 10000 there
    When a request of 3000 tokens that may take up to 8500 tokens is placed
    Then it goes to <where>

    Examples:
      | first | second | where             |
      | 0     | 0      | either endpoint   |
      | 6000  | 5000   | endpoint 2        |
      | 6000  | 6000   | no endpoint yet   |
      | 6000  | 0      | endpoint 2        |

  Scenario: A request that is larger than what is allowed goes to an endpoint that has nothing else
    Given 2 model endpoints that hold nothing
    And running requests take 100 and 0 tokens of 10000 there
    When a request of 9000 tokens that may take up to 8500 tokens is placed
    Then it goes to endpoint 2

  Scenario: Load pattern "memory is short": no copies are made where requests need the room
    Given 3 model endpoints that hold nothing
    And each has 2 of 6 slots taken
    When a request that may not be begun anew is placed at endpoint 1
    Then no copy is made

  Scenario Outline: A copy of a run's memory goes to another endpoint with the same weights
    Given 3 model endpoints that hold nothing
    And endpoint 2 <is>
    When a request that may not be begun anew is placed at endpoint 1
    Then its copy goes to endpoint 3

    Examples:
      | is                        |
      | has weights 2             |
      | has 1 requests            |
      | has failed 3 times        |
      | is in another data centre |
