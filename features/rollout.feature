Feature: Leases and orders to engines
  One holder gives orders at a time, and a holder that was paused past its lease does no harm.

  Scenario Outline: A lease between two contenders
    Given two contenders for a lease of 9 seconds
    When contender 1 takes the lease
    And <event>
    Then contender 2 holds the lease <second> seconds later: <holds>
    And contender 1 and contender 2 never hold it at the same time

    Examples:
      | event                                       | second | holds |
      | contender 1 renews it every second          | 30     | no    |
      | contender 1 is paused                       | 5      | no    |
      | contender 1 is paused                       | 12     | yes   |
      | contender 1 releases it                     | 1      | yes   |
      | the clocks of both differ by an hour        | 5      | no    |
      | the answer of a renewal is lost             | 5      | no    |
      | the table service is down for 20 seconds    | 31     | yes   |

  Scenario: A new holder has a higher fencing token
    Given two contenders for a lease of 9 seconds
    When contender 1 takes the lease
    And contender 1 is paused
    And contender 2 takes the lease over
    Then the fencing token of contender 2 is higher
    And contender 2 waits for orders of contender 1 to end

  Scenario: A rollout puts a version in force at every engine
    Given a development deployment "centre" with 3 routers
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    Then model "statute-7b" has version "2026-12" in force everywhere
    And at most 2 engines loaded weights at once
    And team "caseworkers" streams a chat through router 1
    And the answer is one whole answer of 16 words

  Scenario: Requests are answered during a rollout, each by one version
    Given a development deployment "centre" with 3 routers
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    And team "caseworkers" streams chats until version "2026-12" is in force
    Then all of them were whole

  Scenario: A paused and stopped rollout goes back to the version in force
    Given a development deployment "centre" with 3 routers
    And engines take 2 seconds to load weights
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    And the first engine has version "2026-12"
    And operator "nino" runs "rollout pause statute-7b"
    And operator "nino" runs "rollout stop statute-7b --yes"
    Then every engine goes back to version "2026-11"

  Scenario: A rollout that an engine cannot follow is halted
    Given a development deployment "centre" with 3 routers
    And engine "worker-2" fails to load weights
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    Then the rollout of "statute-7b" is paused by "rollout"
    And model "statute-7b" still has version "2026-11" in force

  Scenario: An engine that checks fencing tokens refuses an old one
    Given a development deployment "centre"
    When engine "worker-1" gets orders with fencing tokens 5 then 4
    Then the second order is refused as not run

  Scenario: A request never reaches an engine with other weights
    Given a development deployment "centre"
    When every engine but "worker-5" has other weights and a chat is sent
    Then only "worker-5" ran it
