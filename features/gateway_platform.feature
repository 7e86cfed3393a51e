Feature: A gateway on the platform
  It serves while the store misbehaves, learns from other routers, and stops without cutting
  requests.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And a gateway

  Scenario Outline: The store misbehaves for this router, and another one has news
    Given another gateway
    And the store has the fault "<fault>" for the first gateway
    When the operator writes configuration 2 that adds the route "/late/"
    Then the first gateway serves "/late/1" within 2 seconds
    And configuration 2 came from a peer

    Examples:
      | fault    |
      | busy     |
      | too-many |
      | silent   |
      | garbage  |

  Scenario: A revoked key counts although this router is cut from the store
    Given another gateway
    And the store has the fault "busy" for the first gateway
    When the operator writes configuration 2 without the team "clerks"
    Then the first gateway answers 401 within 2 seconds

  Scenario: A router that starts while the store is away serves from a peer
    Given the store is away
    When another gateway starts
    Then the second gateway is ready within 2 seconds
    And the second gateway serves "/filing/1" within 2 seconds

  Scenario: A router without any configuration promises that nothing ran
    Given a platform without a configuration
    When the request "POST /filing/1" is sent
    Then the status is 503, and the request ran at 0 endpoints
    And the gateway is not ready

  Scenario: A request that comes before the first reading of the store waits for it
    Given a platform without a configuration
    When a request arrives, and the operator writes the first configuration 0.3 seconds later
    Then the status is 200 and the answer is whole

  Scenario: The store forgets its history
    When the store forgets its history while the operator writes configuration 2 with "/late/"
    Then the first gateway serves "/late/1" within 2 seconds

  Scenario: A call that the store never answers hides nothing for longer than the store is unstable
    Given the store never answers the call that is made next
    When the endpoint "app-1" reports "draining" to the store
    Then the gateway knows within 3.3 seconds that "app-1" leaves

  Scenario: The directory names the routers that are ready
    Given another gateway
    Then the directory of each gateway names both routers
    And the directory answers within its lifetime of at most 5 seconds

  Scenario: A stop answers what is held, refuses what would outlast it, and is seen by the others
    Given another gateway
    And the endpoints take 1 second
    When a request is under way and the first gateway is stopped
    Then the request gets a whole answer
    And the directory of the second gateway names only the second router within 1 second
    And the first gateway is not ready

  Scenario: Late in a stop, only what ends in time is taken
    Given the first gateway has been stopping for 3 seconds of 8
    When a request with 6 seconds to its deadline arrives
    Then the status is 503, and the request ran at 0 endpoints
    When a request with 1 second to its deadline arrives
    Then the status is 200 and the answer is whole

  Scenario Outline: Writes of the gateway's own table under faults
    Given the store has the fault "<fault>"
    When the lease is taken
    Then the lease is <held>, and <remark>

    Examples:
      | fault       | held     | remark                          |
      | none        | held     | its token is the row's version  |
      | busy        | not held | nothing was written             |
      | too-many    | not held | nothing was written             |
      | garbage     | not held | nothing was written             |
      | answer-lost | not held | the row may have been written   |
      | late-write  | not held | the row may have been written   |

  Scenario: Kept connections are not given to two requests at once
    Given 30 kept connections to "app-1"
    When connections are taken while others are pruned
    Then no connection is both taken and kept

  Scenario Outline: Settings that cannot be used
    When the settings have "<field>" as <value>
    Then they are rejected with the field "<named>" and a remedy

    Examples:
      | field    | value                    | named     |
      | listen   | null                     | listen    |
      | listen   | {"front": "10.0.0.1"}    | address   |
      | platform | {}                       | address   |
      | zone     | 3                        | zone      |
      | limits   | {"memory_mb": "much"}    | memory_mb |
      | bounds   | {"grace_s": -1}          | grace_s   |

  Scenario: Settings with unknown fields are accepted
    When the settings have "something_new" as {"a": 1}
    Then they are accepted

  Scenario: Log lines that nobody reads are dropped and counted, and nothing waits
    When 20000 lines are logged to a pipe that nobody reads
    Then it took less than 2 seconds, and lines were counted as dropped
