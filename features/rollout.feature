Feature: Leases and orders to engines
  At most one holder gives orders at a time, also when a holder was paused until its lease expired.

  Scenario Outline: A lease between two contenders
    Given two contenders for a lease of 9 seconds
    When contender 1 acquires the lease
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
    When contender 1 acquires the lease
    And contender 1 is paused
    And contender 2 takes over the lease
    Then the fencing token of contender 2 is higher
    And contender 2 waits for orders of contender 1 to end

  Scenario: A rollout loads a version at every engine and puts it in force
    Given a development deployment "centre" with 3 routers
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    Then model "statute-7b" has version "2026-12" in force everywhere
    And at most 2 engines loaded weights at once
    And team "caseworkers" streams a chat through router 1
    And the response is complete, with 16 words

  Scenario: Requests during a rollout get complete responses, each from one weights version
    Given a development deployment "centre" with 3 routers
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    And team "caseworkers" streams chats until version "2026-12" is in force
    Then all of the responses were complete

  Scenario: A paused and stopped rollout reverts to the version in force
    Given a development deployment "centre" with 3 routers
    And engines take 2 seconds to load weights
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    And the first engine has version "2026-12"
    And operator "nino" runs "rollout pause statute-7b"
    And operator "nino" runs "rollout stop statute-7b --yes"
    Then every engine reverts to version "2026-11"

  Scenario: A rollout is halted when an engine fails to load the weights
    Given a development deployment "centre" with 3 routers
    And engine "worker-2" fails to load weights
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes"
    Then the rollout of "statute-7b" is paused by "rollout"
    And model "statute-7b" still has version "2026-11" in force

  # Guards against a load beyond the limit: an order whose result is no longer wanted is still executed.
  Scenario Outline: An order in progress keeps its load slot when something else is configured
    Given a rollout task for the 5 engines of a data centre
    When <first>
    And the rollout task runs for 1 seconds
    Then 2 engines are executing orders
    When <second>
    And the rollout task runs for 10 seconds
    Then 2 engines are executing orders
    When the engines report what they loaded
    And the rollout task runs for 1 seconds
    Then 2 engines are executing orders
    And the engines get orders until all have version "<version>"
    And at no time were more than 2 orders being executed

    Examples:
      | first                                      | second                                     | version |
      | adapter "plain" is configured in version "1" | a rollout of version "2026-12" is started | 2026-12 |
      | adapter "plain" is configured in version "1" | adapter "plain" is configured in version "2" | 2026-11 |
      | a rollout of version "2026-12" is started  | a rollout of version "2026-13" is started  | 2026-13 |
      | a rollout of version "2026-12" is started  | the rollout is stopped                     | 2026-11 |
      | a rollout of version "2026-12" is started  | the rollout is stopped and adapter "plain" is configured in version "1" | 2026-11 |

  # Guards against a lasting loss of a load slot, and against a halt of the rollout that followed.
  Scenario: An order that is no longer wanted and never reported ends without a halt of the rollout
    Given a rollout task for the 5 engines of a data centre
    When a rollout of version "2026-12" is started
    And the rollout task runs for 1 seconds
    Then 2 engines are executing orders
    When a rollout of version "2026-13" is started
    And the engines lose what they were loading
    And the rollout task runs for 32 seconds
    Then 2 engines are executing orders
    And the rollout is not paused
    And the engines get orders until all have version "2026-13"

  # Guards against the end of a rollout that puts a version in force that no engine has.
  Scenario: The end of a rollout leaves one alone that was started at the same time
    Given a rollout task for the 5 engines of a data centre
    When a rollout of version "2026-12" is started
    And a rollout of version "2026-13" will start just after the task reads the configuration
    And the engines execute orders until all have version "2026-12"
    And the rollout task runs for 1 seconds
    Then version "2026-11" is in force and "2026-13" is being rolled out

  # Guards against a stale order at an engine that checks no fencing tokens.
  Scenario: An order is not sent after a pause between the check of its lease and its sending
    Given a rollout task for the 5 engines of a data centre
    When a rollout of version "2026-12" is started
    And the process is paused for 20 seconds while it connects to the engines
    Then 0 engines are executing orders
    When the rollout task runs for 15 seconds
    Then 2 engines are executing orders
    And the rollout is not paused

  # Guards against a check that precedes the connection, in which most of the time passes.
  Scenario: An order is checked again once its connection is established, before anything is sent
    When an order is checked and rejected at a connection to an engine
    Then the engine was connected and got no order

  Scenario: An engine that checks fencing tokens refuses an old one
    Given a development deployment "centre"
    When engine "worker-1" gets orders with fencing tokens 5 then 4
    Then the second order is refused as not run

  Scenario: A request never reaches an engine with other weights
    Given a development deployment "centre"
    When every engine but "worker-5" has other weights and a chat is sent
    Then only "worker-5" ran it

  Scenario: An adapter and then a new version of it are loaded at every engine of its model
    Given a development deployment "centre" with 3 routers
    When operator "nino" runs "adapter set statute-7b plain 1"
    Then every engine has adapter "plain" in version "1"
    And team "caseworkers" gets a response from "statute-7b:plain"
    When operator "nino" runs "adapter set statute-7b plain 2"
    Then every engine has adapter "plain" in version "2"
    And team "caseworkers" gets a response from "statute-7b:plain"
    And at most 2 engines loaded weights at once

  Scenario: An engine that failed to load an adapter gets the order again, and until then no request for it
    Given a development deployment "centre" with 3 routers
    And engine "worker-2" fails to load weights
    When operator "nino" runs "adapter set statute-7b plain 1"
    Then every engine but "worker-2" has adapter "plain" in version "1"
    And team "caseworkers" gets 20 responses from "statute-7b:plain", none of "worker-2"
    Given engine "worker-2" can load weights again
    Then every engine has adapter "plain" in version "1"

  Scenario: An engine with the role decode gets no prompts
    Given a development deployment "centre" with 3 routers
    When operator "nino" runs "endpoint role worker-1 decode --yes"
    Then engine "worker-1" has the role "decode"
    And team "caseworkers" gets 20 responses from "statute-7b", none of "worker-1"
    When operator "nino" runs "endpoint role worker-1 mixed --yes"
    Then engine "worker-1" has the role "mixed"

  Scenario Outline: Next order for an endpoint
    Given an endpoint with weights "<weights>", adapters "<adapters>" and role "<role>"
    When version "2026-12", adapter "plain" in version "2" and role "prefill" are configured
    Then the next order is "<order>"

    Examples:
      | weights | adapters | role    | order         |
      | 2026-11 | plain@1  | mixed   | weights       |
      | 2026-12 | plain@1  | mixed   | adapter       |
      | 2026-12 | none     | mixed   | adapter       |
      | 2026-12 | unknown  | mixed   | role          |
      | 2026-12 | plain@2  | mixed   | role          |
      | 2026-12 | plain@2  | unknown | nothing       |
      | unknown | plain@2  | prefill | nothing       |
