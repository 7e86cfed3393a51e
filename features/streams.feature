Feature: Complete response streams
  An idempotent request gets one complete and ordered response, never a mixture of two, although
  engines, connections or routers fail.

  Background:
    Given a development deployment "centre"

  Scenario Outline: A fault at the engine that runs the stream
    Given the engine that runs a stream will <fault>
    When team "caseworkers" streams a chat through router 1
    Then the response is complete, with 16 words
    And the number of executions is <executions>
    And router 1 counted <counter> <count> times

    Examples:
      | fault                            | executions | counter         | count |
      | crash after 5 parts              | 2          | continued       | 1     |
      | crash after 15 parts             | 2          | continued       | 1     |
      | go silent after 5 parts          | 1          | resumed         | 1     |
      | lose a part                      | 1          | resumed         | 1     |
      | send a part twice                | 1          | resumed         | 0     |
      | answer under another request     | 1          | dropped_answers | 1     |
      | crash and return after 5 parts   | 2          | continued       | 1     |
      | go silent, then crash, in a row  | 2          | continued       | 1     |
      | lose a part, then go silent      | 1          | resumed         | 2     |

  Scenario: Every engine refuses new work
    Given every engine refuses new work
    When this request arrives: a plain chat
    Then the status is 503 and the error is "unavailable_error"
    And the outcome is "not-run"
    And no endpoint ran a request

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
    And <who> resumes the stream with the token <form>
    Then the status is <status> and the error is "<kind>"

    Examples:
      | who         | form      | status | kind                  |
      | lawyers     | unchanged | 403    | permission_error      |
      | caseworkers | forged    | 400    | invalid_request_error |
      | caseworkers | garbled   | 400    | invalid_request_error |
      | caseworkers | missing   | 400    | invalid_request_error |

  Scenario: A request that crashes every engine is quarantined and other requests are served
    Given engines crash on the text "poison"
    When team "caseworkers" sends the poison text
    Then at most 2 engines have crashed
    And the reply's error is "request_quarantined"
    When team "caseworkers" sends the poison text
    Then at most 2 engines have crashed
    And the reply's error is "request_quarantined"
    And team "lawyers" streams a chat through router 1
    And the response is complete, with 16 words
