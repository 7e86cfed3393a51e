Feature: Complete response streams
  An idempotent request gets one complete and ordered response, never a mixture of two, although
  engines, connections or routers fail.

  Background:
    Given a development deployment "centre"

  Scenario Outline: A stream is complete although the engine that runs it fails
    A stream whose connection breaks is resumed at the same engine; a stream whose engine crashes is
    continued at another engine.

    Given the engine that runs a stream will <fault>
    When team "caseworkers" streams a chat through router 1
    Then the response is complete, with 16 words
    And the number of executions is <executions>
    And the counter "<counter>" of router 1 is <count>

    Examples:
      | fault                            | executions | counter         | count |
      | crash after 5 parts              | 2          | continued       | 1     |
      | crash after 15 parts             | 2          | continued       | 1     |
      | go silent after 5 parts          | 1          | resumed         | 1     |
      | lose a part                      | 1          | resumed         | 1     |
      | send a part twice                | 1          | resumed         | 0     |
      | respond under another request id | 1          | dropped_answers | 1     |
      | crash after 5 parts and restart  | 2          | continued       | 1     |
      | go silent, then crash            | 2          | continued       | 1     |
      | lose a part, then go silent      | 1          | resumed         | 2     |

  Scenario: Every engine refuses new requests
    Given every engine refuses new requests
    When this request arrives: a plain chat
    Then the status is 503 and the error is "unavailable_error"
    And the outcome is "not-run"
    And no endpoint ran a request

  # Failure: engines that shed load get the requests that they have asked not to get.
  Scenario: Engines that refuse requests and ask for a pause get none in it
    Given every engine refuses new requests and asks for a pause of "40" seconds
    When plain chats arrive for 1.5 seconds
    Then no engine refused a second request within 40 seconds
    When this request arrives: a chat with a deadline of 0.5 seconds
    Then the status is 503 and the error is "overloaded_error"
    And the caller is told to retry after 30 to 40 seconds
    And no endpoint ran a request

  # Failure: a malformed header field keeps sound engines from serving.
  Scenario Outline: Engines that asked for a malformed pause of "<value>" serve again
    Given every engine refuses new requests and asks for a pause of "<value>" seconds
    When plain chats arrive for 0.2 seconds
    Given every engine works again
    When the caller waits 1 seconds
    And this request arrives: a plain chat
    Then the status is 200

    Examples:
      | value                         |
      | -1                            |
      | ²                             |
      | inf                           |
      | Sat, 05 Dec 2026 02:53:48 GMT |

  Scenario: Every engine has crashed
    Given every engine has crashed
    When this request arrives: a chat with a deadline of 0.5 seconds
    Then the status is 503 and the error is "overloaded_error"
    And the outcome is "not-run"
    And no endpoint ran a request

  Scenario: A stream is resumed through another router after its router crashed
    Given engines take 0.02 seconds per word
    When a caller of team "caseworkers" reads 5 parts through router 1
    And router 1 crashes
    And the caller resumes the stream through router 2 with its resume token
    Then the parts are complete and in order, with 40 words
    And the number of executions is 1

  Scenario Outline: A resume token that is missing, forged or of another team is refused
    Given engines take 0.02 seconds per word
    When a caller of team "caseworkers" reads 5 parts through router 1
    And team "<team>" resumes the stream with a token that is <form>
    Then the status is <status> and the error is "<kind>"

    Examples:
      | team        | form      | status | kind                  |
      | lawyers     | unchanged | 403    | permission_error      |
      | caseworkers | forged    | 400    | invalid_request_error |
      | caseworkers | garbled   | 400    | invalid_request_error |
      | caseworkers | missing   | 400    | invalid_request_error |

  # Guards against requests that share only the beginning of a prompt crashing engine after engine.
  Scenario: Prompts that begin with a text that crashes engines stop reaching engines
    Given engines crash on the text "poison"
    When team "caseworkers" sends 5 prompts that begin with the poison text
    Then at most 3 engines have crashed
    And the error is "request_quarantined"
    And team "caseworkers" streams a chat through router 1
    And the response is complete, with 16 words

  # Guards against a message that is never kept away from engines, as a long chat precedes it.
  Scenario: A text that crashes engines stops reaching them where a long chat precedes it
    Given engines crash on the text "poison"
    When team "caseworkers" continues a chat of 150 messages 2 times with the poison text
    And team "caseworkers" continues a chat of 150 messages 2 times with the poison text
    Then at most 3 engines have crashed
    And the error is "request_quarantined"
    And team "caseworkers" streams a chat through router 1
    And the response is complete, with 16 words

  Scenario: A request that crashes every engine is quarantined and other requests are served
    Given engines crash on the text "poison"
    When team "caseworkers" sends the poison text
    Then at most 2 engines have crashed
    And the error is "request_quarantined"
    When team "caseworkers" sends the poison text
    Then at most 2 engines have crashed
    And the error is "request_quarantined"
    And team "lawyers" streams a chat through router 1
    And the response is complete, with 16 words
