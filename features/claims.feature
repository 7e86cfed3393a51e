Feature: Non-idempotent work runs at most once
  Each scenario counts the executions at the stand-in services.

  Background:
    Given a development deployment "centre"

  Scenario Outline: A fault at the service
    Given case services will <fault>
    When team "caseworkers" submits a filing with key "k1"
    Then the status is <status>
    And the outcome is "<outcome>"
    And the number of executed filings is <ran>
    Given case services work again
    When team "caseworkers" submits a filing with key "k1"
    Then the status is <retry status>
    And the outcome is "<retry outcome>"
    And the number of executed filings is <ran in total>

    Examples:
      | fault                   | status | outcome | ran | retry status  | retry outcome  | ran in total |
      | work                    | 200    | ran     | 1   | 200           | ran            | 1            |
      | refuse                  | 503    | not-run | 0   | 200           | ran            | 1            |
      | refuse connections      | 503    | not-run | 0   | 200           | ran            | 1            |
      | crash before running    | 502    | unknown | 0   | 502           | unknown        | 0            |
      | crash after running     | 502    | unknown | 1   | 502           | unknown        | 1            |
      | go silent after running | 502    | unknown | 1   | 502           | unknown        | 1            |
      | answer with an error    | 500    | ran     | 1   | 500           | ran            | 1            |
      | cut while reading       | 502    | unknown | 0   | 502           | unknown        | 0            |
      | cut in the answer       | 502    | unknown | 1   | 502           | unknown        | 1            |
      | answer late             | 502    | unknown | 1   | 502           | unknown        | 1            |
      | answer another request  | 502    | unknown | 1   | 502           | unknown        | 1            |

  # Failure: services that shed load get the requests that they have asked not to get.
  Scenario Outline: Case services that <fault> requests and ask for a pause get none in it
    Given case services <fault> requests and ask for a pause of 40 seconds
    When team "caseworkers" looks up a status 12 times
    Then every status is 503, and no case service received two requests

    Examples:
      | fault  |
      | refuse |
      | shed   |

  Scenario Outline: A late response to a filing is recorded, although its caller got an unknown outcome
    Given routers wait <wait> seconds for late responses
    And late responses are withheld until they are released
    And case services will <fault>
    When team "caseworkers" submits a filing with key "k1"
    Then the status is 502
    And the outcome is "unknown"
    Given case services work again
    When team "caseworkers" submits a filing with key "k1"
    Then the status is 409 and the error is "request_in_progress"
    When the late responses are released
    And the caller waits 4 seconds
    And team "caseworkers" submits a filing with key "k1"
    Then the status is <status>
    And the outcome is "<outcome>"
    And the number of executed filings is 1

    Examples:
      | wait | fault                   | status | outcome |
      | 3    | answer late             | 200    | ran     |
      | 3    | go silent after running | 502    | unknown |

  Scenario Outline: An idempotent request is retried at another service after a failure at any point
    Given the first case service that receives a request will <fault>
    When team "caseworkers" looks up a status
    Then the status is 200
    And the outcome is "ran"
    And the services received <received> requests

    Examples:
      | fault                   | received |
      | work                    | 1        |
      | refuse                  | 2        |
      | cut while reading       | 2        |
      | crash before running    | 2        |
      | crash after running     | 2        |
      | go silent after running | 2        |
      | cut in the answer       | 2        |
      | answer late             | 2        |
      | answer another request  | 2        |

  Scenario Outline: A fault at the table service
    Given the platform will <fault>
    When team "caseworkers" submits a filing with key "k1"
    Then the status is <status>
    And the outcome is "<outcome>"
    And the number of executed filings is <ran>
    Given the platform works again
    When team "caseworkers" submits a filing with key "k1" until it succeeds
    Then the outcome is "ran"
    And the number of executed filings is 1

    Examples:
      | fault                             | status | outcome | ran |
      | be down                           | 503    | not-run | 0   |
      | let open connections go silent    | 200    | ran     | 1   |
      | lose the answer of 1 write        | 200    | ran     | 1   |
      | lose the answer of 2 writes       | 200    | ran     | 1   |
      | lose the answers of all writes    | 503    | not-run | 0   |
      | go down once the filing has begun | 200    | ran     | 1   |

  Scenario: Concurrent requests with one key through all routers
    When team "caseworkers" submits a filing 40 times concurrently with key "k1"
    Then the number of executed filings is 1
    And all successful responses are equal, and the others report that the request is in progress

  Scenario: The caller disconnects while its filing runs
    Given case services take 0.3 seconds
    When a caller of team "caseworkers" disconnects while its filing "k1" runs
    And team "caseworkers" submits a filing with key "k1" until it succeeds
    Then the outcome is "ran"
    And the number of executed filings is 1

  Scenario: The router crashes while the filing runs
    Given case services take 0.3 seconds
    When router 1 crashes while filing "k1" of team "caseworkers" runs
    And team "caseworkers" submits a filing with key "k1" through router 2
    Then the outcome is "unknown"
    And the number of executed filings is 1

  Scenario: The same key with different content is rejected
    When team "caseworkers" submits a filing with key "k1"
    And team "caseworkers" submits different content with key "k1"
    Then the status is 422 and the error is "idempotency_conflict"
    And the outcome is "not-run"
    And the number of executed filings is 1

  Scenario: The same key used by two teams identifies two filings
    When team "caseworkers" submits a filing with key "k1"
    And team "lawyers" submits a filing with key "k1"
    Then the outcome is "ran"
    And the number of executed filings is 2

  Scenario: Only the team that submitted a filing can query its outcome
    When team "caseworkers" submits a filing with key "k1"
    And team "caseworkers" queries the outcome of "k1"
    Then the status is 200
    And the outcome is "ran"
    When team "lawyers" queries the outcome of "k1"
    Then the status is 404 and the error is "not_found_error"

  Scenario: A non-idempotent model request runs once and its stored response is replayed
    When team "intake" sends a model request with key "k1"
    And team "intake" sends a model request with key "k1"
    Then both responses are the same and the second is a replay
    And the number of executions is 1

  Scenario Outline: A non-idempotent model request under a fault of the engine
    Given the engine that runs a stream will <fault>
    When team "intake" sends a model request with key "k1"
    Then the status is <status>
    And the outcome is "<outcome>"
    And the number of executions is 1

    Examples:
      | fault                            | status | outcome |
      | crash after 5 parts              | 502    | unknown |
      | go silent after 5 parts          | 200    | ran     |
      | lose a part                      | 200    | ran     |
      | respond under another request id | 200    | ran     |

  Scenario: Resolving an ambiguous claim write never releases the claim of another request
    Given case services take 1 seconds
    When a request submits a filing with key "k1" and all writes of a second one lose their responses
    And team "caseworkers" submits a filing with key "k1" until it succeeds
    Then the outcome is "ran"
    And the number of executed filings is 1
