Feature: Requests through the gateway
  The response never misleads the caller about whether its request ran, and no request that must not
  be retried runs twice.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway

  Scenario: The endpoint gets the gateway's header fields instead of the caller's
    When the request "POST /filing/7" is sent with the fields
      | name            | value      |
      | Tenant          | lawyers    |
      | Cache-Salt      | theirs     |
      | Kv-From         | 1.2.3.4:5  |
      | Hold            | h          |
      | Pin-Ms          | 4000       |
      | Target-Instance | other      |
      | Expect-Version  | 9          |
      | Request-Urgency | 0          |
      | X-Own           | kept       |
    Then the status is 200 and the response is complete
    And the endpoint received the fields
      | name            | value   |
      | tenant          | clerks  |
      | x-own           | kept    |
      | cache-salt      |         |
      | kv-from         |         |
      | hold            |         |
      | pin-ms          |         |
      | authorization   |         |
      | expect-version  |         |
    And the remaining time was passed on

  Scenario Outline: The status that the caller gets when every endpoint has a fault
    Given all endpoints have the fault "<fault>"
    When the request "POST <path>" is sent
    Then the status is <status>, and the request ran at <ran> endpoints

    Examples: Requests that must not be retried
      | fault          | path      | status | ran |
      | shed           | /filing/1 | 503    | 0   |
      | error          | /filing/1 | 500    | 1   |
      | run-and-reset  | /filing/1 | 502    | 1   |
      | reset          | /filing/1 | 502    | 0   |
      | truncate       | /filing/1 | 502    | 1   |
      | garbage        | /filing/1 | 502    | 1   |
      | crossed        | /filing/1 | 502    | 1   |
      | unsealed       | /filing/1 | 502    | 1   |
      | unframed-reset | /filing/1 | 502    | 1   |
      | unframed       | /filing/1 | 200    | 1   |
      | extra          | /filing/1 | 200    | 1   |
      | hang           | /filing/1 | 504    | 1   |
      | shed           | /draft/1  | 503    | 0   |
      | run-and-reset  | /draft/1  | 502    | 1   |

    Examples: Requests that may be retried
      | fault         | path        | status | ran |
      | shed          | /status/1   | 503    | 0   |
      | error         | /status/1   | 500    | 2   |
      | run-and-reset | /status/1   | 502    | 2   |
      | truncate      | /status/1   | 502    | 2   |
      | crossed       | /status/1   | 502    | 2   |
      | hang          | /status/1   | 504    | 2   |
      | shed          | /classify/1 | 503    | 0   |
      | run-and-reset | /classify/1 | 502    | 2   |

  Scenario Outline: A retry hides one faulty endpoint where it is allowed
    Given the endpoint "app-1" has the fault "<fault>"
    When the request "POST /status/1" is sent 6 times
    Then every status is 200

    Examples:
      | fault         |
      | shed          |
      | error         |
      | run-and-reset |
      | truncate      |
      | unsealed      |
      | garbage       |
      | extra         |
      | reset         |

  Scenario: A stream that breaks off inside an event continues at another endpoint without a gap
    Given all endpoints have the fault "cut-stream"
    When the request "POST /classify/1" is sent
    Then the caller got the events 1 to 4 in order and a response that is not complete

  Scenario: A stream that breaks off once is completed by another endpoint
    Given the endpoint "lm-1" has the fault "cut-stream"
    When requests "POST /classify/1" are sent until "lm-1" has run one
    Then the caller got the events 1 to 6 in order and a response that is complete

  Scenario: A stream that must not be retried does not look complete when it breaks off
    Given all endpoints have the fault "cut-stream"
    When the request "POST /draft/1" is sent
    Then the caller got the events 1 to 2 in order and a response that is not complete

  Scenario Outline: A stream that must not be retried continues from its KV backup
    Given the endpoint "lm-1" has the fault "<fault>"
    When requests "POST /draft/1" are sent until "lm-1" has run one
    Then the caller got the events 1 to 6 in order and a response that is complete
    And both runs had one request id, and the second continued from the first's backup after event 2

    Examples: The endpoint is down, and refuses connections
      | fault         |
      | crash-stream  |
      | freeze-stream |

  Scenario: A stream is not continued elsewhere while its endpoint is reachable, as it may still run
    Given the endpoint "lm-1" has the fault "cut-stream"
    When requests "POST /draft/1" are sent until "lm-1" has run one
    Then the caller got the events 1 to 2 in order and a response that is not complete
    And "lm-2" ran no request that "lm-1" ran

  Scenario: A stream whose KV backup was lost is not started again
    Given the endpoint "lm-1" has the fault "crash-stream"
    And the endpoint "lm-2" has the fault "lose-copies"
    When requests "POST /draft/1" are sent until "lm-1" has run one
    Then the caller got the events 1 to 2 in order and a response that is not complete
    And "lm-2" ran no request that "lm-1" ran

  Scenario: Engines that take no KV backups get none
    Given a configuration whose engines take no backups
    When requests "POST /draft/1" are sent until "lm-1" has run one
    Then the caller got the events 1 to 6 in order and a response that is complete
    And no request named an endpoint for a backup

  Scenario: A request that may be retried needs no KV backup
    When requests "POST /classify/1" are sent until "lm-1" has run one
    Then no request named an endpoint for a backup

  Scenario: A stream resumes after the event that the caller names
    When the request "POST /classify/1" is sent with the fields
      | name          | value |
      | Last-Event-Id | 3     |
    Then the caller got the events 4 to 6 in order and a response that is complete

  Scenario: An endpoint's run is cancelled when the caller disconnects
    Given the model endpoints take 0.1 seconds per event
    When the request "POST /classify/1" is sent, and its caller disconnects after the first event
    Then the endpoint's run is cancelled within 0.5 seconds
    And the gateway has no request in flight

  Scenario Outline: Requests without a matching route or a known key are refused
    When the request "POST <path>" is sent with the fields
      | name   | value   |
      | <name> | <value> |
    Then the status is <status>, and the request ran at 0 endpoints

    Examples:
      | path      | name          | value        | status |
      | /nowhere/ | X             | y            | 404    |
      | /filing/1 | Authorization | Bearer wrong | 401    |
      | /filing/1 | Authorization | Basic abc    | 401    |
      | /filing/1 | Host          | other        | 404    |

  Scenario: A different endpoint at a known address runs no request
    Given the endpoint "app-1" is replaced by "app-9" at its address
    When the request "POST /filing/1" is sent 4 times
    Then every status is 200
    And "app-9" ran nothing

  Scenario: An endpoint that reports that it is draining gets no more requests
    When the endpoint "app-1" reports "draining"
    And the request "POST /filing/1" is sent 8 times
    Then every status is 200
    And "app-1" ran nothing

  Scenario Outline: A malformed entry is skipped
    When an entry "forged" appears with "<field>" as <value>
    And the request "POST /filing/1" is sent 4 times
    Then every status is 200
    And the endpoint "forged" is not known

    Examples:
      | field   | value         |
      | address | "10.0.0.1"    |
      | address | "host:80"     |
      | address | 7             |
      | state   | "unknown"     |
      | state   | null          |
      | slots   | "8"           |
      | slots   | true          |
      | slots   | 0             |
      | service | 5             |
      | models  | {}            |
      | models  | [{"name": 1}] |
      | version | 1             |
      | born    | "yesterday"   |
      | zone    | []            |

  Scenario: Bytes that are not an entry are skipped
    When the bytes "\xff{" appear as an entry
    And the request "POST /filing/1" is sent 4 times
    Then every status is 200

  Scenario: Pipelined requests are answered one after the other
    When a caller sends three requests at once on one connection
    Then it gets three complete responses, each to its own request

  Scenario: A request that crashed three endpoints reaches no fourth, and others do
    When the request with the body "poison" crashes three endpoints of "app", one after the other
    And a healthy endpoint "app-9" of "app" registers
    Then the request with the body "poison" gets 503 and runs nowhere
    And the request with the body "sound" gets 200

  Scenario: A request whose connection broke at healthy endpoints does not count as crashing them
    Given the endpoint "app-1" has the fault "run-and-reset"
    And the endpoint "app-2" has the fault "run-and-reset"
    When the request "POST /filing/1" is sent 8 times
    And all endpoints work again
    And the request "POST /filing/1" is sent
    Then the status is 200 and the response is complete
