Feature: Choice of the endpoint for a request
  A scenario that tests a load pattern has the name of the pattern in its title.

  Scenario: Requests with the same prefix go to one endpoint, and routers agree on it
    Given 5 model endpoints with empty caches
    When 40 requests with 8 prefixes are placed by 3 routers without load
    Then each prefix is placed on one endpoint

  Scenario: Load pattern "hot prefix": it spreads over as many endpoints as its load needs
    Given 5 model endpoints with empty caches
    When 200 requests per second with one prefix of 6000 tokens arrive for 2 seconds
    Then no endpoint gets more than 50 percent of them
    And at most 5 percent of the first tokens are late

  Scenario: Load pattern "cold start after new weights": a prefix is prefilled once, then fetched
    Given 5 model endpoints with empty caches
    And a cache store
    When 8 requests per second with 4 prefixes of 2500 tokens arrive for 5 seconds
    Then each prefix is prefilled at most 2 times

  Scenario: Load pattern "rollout": endpoints with new weights do not get all requests at once
    Given 5 model endpoints with empty caches
    And endpoint 1 has weights 2, which the operator requested 2 seconds ago
    When 60 requests per second with 60 prefixes of 3000 tokens arrive for 1 second
    Then endpoint 1 gets more than any other, but at most 60 percent

  # Guards the earlier deployments: what is added for others leaves their choices as they are.
  Scenario: Choices of version 0.2.0 stay as they are
    Then 500 choices on drawn states are those of version 0.2.0

  Scenario: Old weights are not used beyond the time bound
    Given 3 model endpoints with empty caches
    And endpoint 1 has weights 2, which the operator requested 9.5 seconds ago
    When 60 requests per second with 60 prefixes of 3000 tokens arrive for 1 second
    Then endpoint 1 gets all requests

  Scenario: No endpoint is chosen if none has allowed weights
    Given 3 model endpoints with empty caches
    And the oldest allowed weights are 2
    Then no endpoint is chosen

  Scenario: Load pattern "slow endpoint": an endpoint five times slower gets fewer requests
    Given 4 model endpoints with empty caches
    And endpoint 2 is 5 times slower than expected
    When 60 requests per second with 60 prefixes of 3000 tokens arrive for 2 seconds
    Then endpoint 2 gets at most 10 percent

  Scenario: An endpoint that is loading weights gets no requests
    Given 3 model endpoints with empty caches
    And endpoint 2 is loading weights
    When 60 requests per second with 60 prefixes of 3000 tokens arrive for 1 second
    Then endpoint 2 gets at most 0 percent

  Scenario Outline: Cached prefixes are shared for the same weights, but not with isolated teams
    Then the cache salts of teams "<first>" and "<second>" with weights <old> and <new> are <same>

    Examples:
      | first | second | old | new | same      |
      |       |        | 1   | 1   | equal     |
      |       |        | 1   | 2   | different |
      | a     |        | 1   | 1   | different |
      | a     | b      | 1   | 1   | different |
      | a     | a      | 1   | 1   | equal     |

  Scenario: The index evicts the least recently used prefixes beyond an endpoint's cache size
    Given an endpoint that caches up to 1000 tokens
    When 30 prefixes of 100 tokens are prefilled there
    Then the last 10 are assumed to be cached, and the first 20 not

  Scenario: Load pattern "grey endpoint": plain requests avoid an endpoint that fails
    Given 3 plain endpoints
    When endpoint 1 fails 4 requests in a row
    Then the next 20 requests go to other endpoints
    And 20 seconds later it gets requests again

  Scenario: Load pattern "crowd": plain requests spread over the endpoints by their slots
    Given 3 plain endpoints
    When 18 requests are placed and do not end
    Then each endpoint has 5 to 7 of them

  Scenario: Waiting requests are woken by urgency, and none starves
    When requests of urgency 5, 0 and 3 wait, and one of urgency 9 has waited for 5 seconds
    Then they are woken in the order 9, 0, 3, 5

  Scenario Outline: The index follows the reported state of a cache store
    Given 3 model endpoints with empty caches
    And a cache store with a known prefix
    When the cache store <does>
    Then requests <name> it as a source, and its prefixes are <state>

    Examples:
      | does                           | name        | state   |
      | answers as before              | name        | known   |
      | restarts                       | name        | dropped |
      | does not answer                | do not name | dropped |
      | answers again after an outage  | name        | dropped |

  Scenario: Load pattern "hot prefix at many endpoints": it spreads although few are estimated
    Given 45 model endpoints with empty caches
    When 600 requests per second with one prefix of 6000 tokens arrive for 2 seconds
    Then no endpoint gets more than 25 percent of them
    And at most 5 percent of the first tokens are late
    And at most 15 of 45 endpoints are estimated for a request

  Scenario: Load pattern "many prefixes at many endpoints": each is prefilled once or twice
    Given 45 model endpoints with empty caches
    And a cache store
    When 100 requests per second with 80 prefixes of 2500 tokens arrive for 5 seconds
    Then each prefix is prefilled at most 2 times

  Scenario: Load pattern "more prefixes than one cache store keeps": each is saved in one store
    Given 3 model endpoints with empty caches
    And cache stores in the data centres "b" and "a"
    When 300 requests with 300 prefixes are placed at endpoints in data centres "a" and "b"
    Then each prefix is saved to, and fetched from, one store wherever its endpoint is
    And each store has at least 100 prefixes

  Scenario Outline: Load pattern "memory is short": a request waits rather than preempt others
    Given 2 model endpoints with empty caches
    And running requests take <first> and <second> of 10000 memory tokens there
    When a request of 3000 tokens is placed, with a limit of 8500 tokens per endpoint
    Then it goes to <where>

    Examples:
      | first | second | where             |
      | 0     | 0      | either endpoint   |
      | 6000  | 5000   | endpoint 2        |
      | 6000  | 6000   | no endpoint yet   |
      | 6000  | 0      | endpoint 2        |

  Scenario: A request larger than the memory limit goes to an endpoint without other requests
    Given 2 model endpoints with empty caches
    And running requests take 100 and 0 of 10000 memory tokens there
    When a request of 9000 tokens is placed, with a limit of 8500 tokens per endpoint
    Then it goes to endpoint 2

  Scenario: Load pattern "memory is short": no KV backups are made where requests need the memory
    Given 3 model endpoints with empty caches
    And each endpoint has 2 of 6 slots taken
    When a request that must not be retried is placed on endpoint 1
    Then no backup is made

  Scenario Outline: A KV backup goes to another endpoint with the same weights
    Given 3 model endpoints with empty caches
    And endpoint 2 <is>
    When a request that must not be retried is placed on endpoint 1
    Then its backup goes to endpoint 3

    Examples:
      | is                        |
      | has weights 2             |
      | has 1 request in flight   |
      | has failed 3 times        |
      | is in another data centre |

  Scenario: The holders of a prefix are known by its key, whatever was added, evicted and dropped
    Given a router that knows no cached prefixes
    When 2000 random changes are made to the index of 6 holders
    Then the index names exactly the holders of each prefix

  Scenario: Load pattern "many endpoints": a load that was computed before is not used after its time
    Given 1 model endpoints with empty caches
    When a peer reports 5 requests at endpoint 1 at 10 seconds
    Then endpoint 1 has 5 requests at 11.4 seconds
    And endpoint 1 has 0 requests at 11.6 seconds
    When a peer reports 7 requests at endpoint 1 at 12 seconds
    Then endpoint 1 has 7 requests at 12.1 seconds
    When a relay reports 9 requests of all routers at endpoint 1 at 12.2 seconds
    Then endpoint 1 has 9 requests at 12.3 seconds
    When this router has told its relay of 4 of these requests at endpoint 1
    Then endpoint 1 has 5 requests at 12.4 seconds
