Feature: A gateway on the platform
  A gateway keeps serving while the store is faulty, gets updates from other gateways, and shuts down
  without aborting requests.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And a gateway

  Scenario Outline: A router that cannot read the store gets a new configuration from a peer
    Given another gateway
    And the store has the fault "<fault>" for the first gateway
    When the operator writes configuration 2 that adds the route "/late/"
    Then the first gateway serves "/late/1" within 2 seconds
    And configuration 2 was received from a peer

    Examples:
      | fault    |
      | busy     |
      | too-many |
      | silent   |
      | garbage  |

  Scenario: A revoked key is rejected by a router that cannot read the store
    Given another gateway
    And the store has the fault "busy" for the first gateway
    When the operator writes configuration 2 without the team "clerks"
    Then the first gateway responds with status 401 within 2 seconds

  Scenario: A router that starts while the store is unavailable gets its state from a peer
    Given the store is unavailable
    When another gateway starts
    Then the second gateway is ready within 2 seconds
    And the second gateway serves "/filing/1" within 2 seconds

  Scenario: A router without a configuration refuses requests and executes none
    Given a platform without a configuration
    When the request "POST /filing/1" is sent
    Then the status is 503, and the request ran at 0 endpoints
    And the gateway is not ready

  Scenario: A request that arrives before the first read of the store waits for it
    Given a platform without a configuration
    When a request arrives, and the operator writes the first configuration 0.3 seconds later
    Then the status is 200 and the response is complete

  Scenario: A feed recovers after the store has discarded its history
    When the store discards its history while the operator writes configuration 2 with "/late/"
    Then the first gateway serves "/late/1" within 2 seconds

  Scenario: A long poll that the store never answers delays changes only until it times out
    Given the store never answers the next long poll
    When the endpoint "app-1" registers the state "draining" in the store
    Then the gateway detects within 3.3 seconds that "app-1" is draining

  # Guards against a stand-in that skips a change: its scenarios then wait for what nobody is told.
  Scenario: A change at the moment at which a long poll times out reaches who follows the table
    Given a long poll of the endpoint table for 0.2 seconds
    When the endpoint "app-3" registers in the instant before the poll times out
    Then the poll or the one after it returns the entry of "app-3"

  Scenario: The directory lists the routers that are ready
    Given another gateway
    Then the directory of each gateway lists both routers
    And the TTL of the directory's response is at most 5 seconds

  Scenario: A shutdown completes open requests and withdraws the router from the directory
    Given another gateway
    And the endpoints execute a request in 1 second
    When the first gateway shuts down while a request is in progress
    Then the request gets a complete response
    And the directory of the second gateway lists only the second router within 1 second
    And the first gateway is not ready

  Scenario: Late in a shutdown, only requests with a deadline before its end are admitted
    Given the first gateway is 3 seconds into a shutdown of 8 seconds
    When a request with 6 seconds to its deadline arrives
    Then the status is 503, and the request ran at 0 endpoints
    When a request with 1 second to its deadline arrives
    Then the status is 200 and the response is complete

  Scenario Outline: Writes to the gateway's own table while the store is faulty
    Given a lease was released in the store
    And the store has the fault "<fault>"
    When a router tries to acquire a lease
    Then the lease is <held>, and <effect>

    Examples:
      | fault       | held     | effect                          |
      | none        | held     | its token is the row's version  |
      | busy        | not held | nothing was written             |
      | too-many    | not held | nothing was written             |
      | garbage     | not held | nothing was written             |
      | answer-lost | not held | the row may have been written   |
      | late-write  | not held | the row may have been written   |

  # Guards against transactions that the store refuses for their number of entries.
  Scenario: The store takes as many writes in one transaction as its client allows
    When as many rows as one transaction may write are written, and then removed
    Then the store has none of them

  Scenario: An idle connection is never given to two requests
    Given 30 idle connections to "app-1"
    When connections are acquired while others are pruned
    Then no connection is both acquired and idle

  Scenario Outline: Invalid settings are rejected
    When the settings have "<field>" as <value>
    Then the settings are rejected with an error that names "<named>" and a remedy

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
    Then the settings are accepted

  Scenario: Log lines that nobody reads are dropped and counted instead of blocking the process
    When 20000 lines are logged to a pipe that nobody reads
    Then logging takes less than 2 seconds and counts dropped lines
