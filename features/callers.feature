Feature: HTTP interface for callers
  The openai client package works with a router when only its base URL and API key are changed.

  Background:
    Given a development deployment "centre"

  Scenario Outline: A streamed chat completion through either router
    When team "caseworkers" streams a chat through router <router>
    Then the response is complete, with 16 words

    Examples:
      | router |
      | 1      |
      | 2      |

  Scenario: A completion that is not streamed
    When team "caseworkers" asks for a completion that is not streamed
    Then the response is complete, with 16 words

  Scenario: The second request with the same prompt reports cached tokens
    When team "caseworkers" streams a chat through router 1
    And team "caseworkers" streams a chat through router 1
    Then the first response has 0 cached tokens
    And the second response has most of its prompt tokens cached

  Scenario: A request to the address that /v1/locate returned
    When a caller in "tbilisi-2" asks for the addresses of routers
    Then the first listed router is in "tbilisi-2"
    And a chat through the first listed router succeeds

  Scenario: The identical prompt of another team has no cached tokens
    When team "caseworkers" streams a chat through router 1
    And team "lawyers" streams a chat through router 1
    Then the second response has 0 cached tokens

  Scenario Outline: An invalid request gets a typed error and runs at no endpoint
    When this request arrives: <request>
    Then the status is <status> and the error is "<kind>"
    And the outcome is "not-run"
    And no endpoint ran a request

    Examples:
      | request                       | status | kind                  |
      | a wrong key                   | 401    | authentication_error  |
      | no key                        | 401    | authentication_error  |
      | another team's model          | 403    | permission_error      |
      | an unknown model              | 403    | permission_error      |
      | an unknown adapter            | 404    | not_found_error       |
      | a broken body                 | 400    | invalid_request_error |
      | a body that is a list         | 400    | invalid_request_error |
      | no messages                   | 400    | invalid_request_error |
      | a deeply nested body          | 400    | invalid_request_error |
      | a lone surrogate              | 400    | invalid_request_error |
      | a negative max_tokens         | 400    | invalid_request_error |
      | a bad deadline header         | 400    | invalid_request_error |
      | a body over the limit         | 413    | request_too_large     |
      | an unknown path               | 404    | not_found_error       |
      | a wrong method                | 405    | method_not_allowed    |
      | an unknown service            | 403    | permission_error      |
      | a filing without a key        | 400    | invalid_request_error |
      | a filing with an unusable key | 400    | invalid_request_error |
      | an unknown workload           | 403    | permission_error      |

  Scenario: A request that an engine rejects does not affect other requests
    When this request arrives: a temperature above the engine's limit
    Then the status is 400 and the error is "invalid_request_error"
    And no endpoint ran a request
    And every engine is available
    And team "lawyers" streams a chat through router 1
    And the response is complete, with 16 words

  Scenario: A caller that sends its body too slowly
    Given routers wait 0.2 seconds for a body
    When a caller sends half of its body and waits
    Then the status is 408 and the error is "request_timeout"
    And no endpoint ran a request

  Scenario: A caller that sends its headers too slowly
    Given routers wait 0.2 seconds for headers
    When a caller sends half of its headers and waits
    Then the connection is closed
    And team "caseworkers" streams a chat through router 1
    And the response is complete, with 16 words

  Scenario: The idempotent request of a caller that disconnects during the stream is cancelled
    Given engines take 0.05 seconds per word
    When a caller of team "caseworkers" disconnects after the first part of 200
    Then the endpoint cancels the request before 200 words
    And no request is counted as in flight

  Scenario: A caller that stops reading is disconnected and its idempotent request is cancelled
    Given engines take 0.00001 seconds per word
    And routers wait 1 second for a caller that does not read
    When a caller of team "caseworkers" asks for 60000 words and reads only the headers
    Then the endpoint cancels the request before 60000 words
    And no request is counted as in flight

  Scenario: Every accepted connection has Nagle's algorithm off
    When a caller keeps a connection open
    Then the router's side of the connection has TCP_NODELAY set
    And the router's connections to endpoints have TCP_NODELAY set

  Scenario: The paths for operators respond
    Then GET "/healthz" returns status 200
    And GET "/readyz" returns status 200
    And GET "/metrics" returns status 200
    And GET "/status" returns status 200
