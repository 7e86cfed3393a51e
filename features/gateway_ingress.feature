Feature: Every request that was read gets an answer
  A request that the gateway has read whole is answered or refused, or its response visibly breaks off,
  whatever fails meanwhile. A refusal as not run is true.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    And the log is recorded

  # Guards against a connection that is closed without an answer when an error has no clause of its own.
  Scenario Outline: An unexpected error ends in an answer and a log line
    Given <operation> fails with <error>
    When the request "POST <path>" is sent
    Then the status is <status>, and the request ran at <ran> endpoints
    And the log has an event "request_failed" with the id of the request

    Examples: Nothing was sent to an endpoint
      | operation                | error         | path      | status | ran |
      | decoding the request     | ValueError    | /filing/1 | 503    | 0   |
      | admission                | KeyError      | /filing/1 | 503    | 0   |
      | admission                | OSError       | /filing/1 | 503    | 0   |
      | choosing an endpoint     | OverflowError | /filing/1 | 503    | 0   |
      | encoding the request     | ValueError    | /filing/1 | 503    | 0   |
      | encoding the request     | OSError       | /draft/1  | 503    | 0   |

    Examples: The request may have run
      | operation                | error         | path      | status | ran |
      | decoding the response    | ValueError    | /filing/1 | 502    | 1   |
      | decoding the response    | OSError       | /filing/1 | 502    | 1   |
      | decoding the response    | BronzemuxError | /filing/1 | 502    | 1   |
      | recording the first event | ValueError   | /draft/1  | 502    | 1   |

  # Guards against a response that looks complete, or is followed by a refusal, after such an error.
  Scenario Outline: An unexpected error after a response has begun breaks it off
    Given keeping the endpoint's connection fails with <error>
    When the request "POST /classify/1" is sent
    Then the caller got the events 1 to 6 in order and a response that is not complete
    And the log has an event "request_failed" with the id of the request

    Examples:
      | error      |
      | ValueError |
      | OSError    |

  # Guards against a connection closed without an answer when the deadline passes during a refusal.
  Scenario: The deadline passes while a refusal is being sent
    Given choosing an endpoint fails with RefusedError
    And encoding a refusal takes 0.4 seconds
    When the request "POST /filing/1" is sent with the fields
      | name        | value |
      | Deadline-Ms | 200   |
    Then the status is 503, and the request ran at 0 endpoints

  # Guards against an unanswered request, and load below zero, when a caller sends absurd token counts.
  Scenario Outline: Token counts that are no plain numbers are passed on but not used for routing
    Given an endpoint's KV memory and queue are watched for values below zero
    When the request "POST /draft/1" is sent with the token counts "<counts>" and the parts "<parts>"
    Then the status is 200 and the response is complete
    And the endpoint got the token counts "<counts>"
    And neither was below zero

    Examples:
      | counts         | parts      |
      | 9*400,5        | aa:5       |
      | 9*16,5         | aa:5       |
      | 5,9*400        | aa:5       |
      | 5,5            | aa:9*400   |
      | -900,5         | aa:5       |
      | 5,-900         | aa:5       |
      | 5,5            | aa:-900    |
      | 1_0,5          | aa:5       |
      | ²,5            | aa:5       |

  # Guards against a request that is closed unread because a timer expired while the process was paused.
  Scenario Outline: A request that arrived during a pause is read although its timer has expired
    Given a configuration with an idle timeout of 0.3 seconds and a head timeout of 0.3 seconds
    When the last <part> of a request on a kept connection arrives during a pause of 1 second
    Then the status is 200 and the response is complete

    Examples:
      | part                    |
      | whole request           |
      | half of the head        |
      | half of the body        |
      | half of a chunked body  |

  # Guards against a request that crosses the close of its connection after the idle timeout was raised.
  Scenario: A connection that waits stays open for an idle timeout that was raised meanwhile
    Given a configuration with an idle timeout of 0.4 seconds and a head timeout of 0.3 seconds
    When the idle timeout is raised to 3 seconds while a connection is idle for 0.8 seconds
    Then the next request on the connection gets 200

  Scenario: A connection that stays idle is closed, and one that sends slowly gets an answer
    Given a configuration with an idle timeout of 0.2 seconds and a head timeout of 0.3 seconds
    Then a connection without a request is closed within 1 second
    And a connection with half a request gets 408 within 1 second

  # Guards against a caller that closes only its sending side and reads, and gets no answer.
  Scenario Outline: A caller that closes its sending side gets a refusal that is true
    Given a request <progress>
    When the request "POST <path>" is sent, and its caller closes its sending side
    Then the status is <status> and the response is complete
    And the request ran at <ran> endpoints, and no more than that later

    Examples:
      | progress                  | path      | status | ran |
      | waits for an endpoint     | /filing/1 | 503    | 0   |
      | waits for an endpoint     | /status/1 | 503    | 0   |
      | runs at an endpoint       | /filing/1 | 502    | 1   |
      | runs at an endpoint       | /status/1 | 502    | 1   |

  # Guards against the next request on a connection that is taken for the caller's departure.
  Scenario: Bytes of a next request are no departure
    Given a request runs at an endpoint
    When a next request and a half arrive on the connection while the first is served
    Then it gets three complete responses, each to its own request

  # Guards against an error that reaches a later request on the connection than the one it was for.
  Scenario: An interruption that comes after the end of its request is dropped
    When a request is interrupted in the iteration of the event loop in which it ends
    Then its greenlet goes on without an error

  # Guards against a request that is lost because what it holds is gone from a newer configuration.
  Scenario Outline: A configuration that drops <dropped> leaves no request unanswered
    Given a request <progress>
    When configuration 2 drops <dropped> of the request "POST <path>" in progress
    And it may then be served
    Then the status is <status> and the response is complete

    Examples:
      | dropped     | progress              | path      | status |
      | the route   | waits for an endpoint | /filing/1 | 200    |
      | the service | waits for an endpoint | /filing/1 | 200    |
      | the service | waits for an endpoint | /draft/1  | 200    |
      | the team    | waits for an endpoint | /filing/1 | 200    |
      | the route   | runs at an endpoint   | /draft/1  | 200    |
      | the service | runs at an endpoint   | /filing/1 | 200    |
      | the service | runs at an endpoint   | /draft/1  | 200    |
      | the team    | runs at an endpoint   | /draft/1  | 200    |

  # Guards against a request that leaves a queue or a failed connection without an answer.
  Scenario Outline: A request that cannot be sent is refused as not run
    Given <obstacle>
    When the request "POST /filing/1" is sent with the fields
      | name        | value |
      | Deadline-Ms | 300   |
    Then the status is 503, and the request ran at 0 endpoints

    Examples:
      | obstacle                                   |
      | a request waits for an endpoint            |
      | the queue of requests is full              |
      | no file descriptor is left for connections |
      | the gateway has not read the store         |

  # Guards against a response that is thrown away because the deadline passed during a pause.
  Scenario Outline: A response that arrived during a pause is sent although the deadline has passed
    Given a request runs at an endpoint
    When the request "POST <path>" with 0.5 seconds to its deadline is sent, and a pause of 1 second begins
    Then the status is 200 and the response is complete

    Examples:
      | path      |
      | /filing/1 |
      | /status/1 |

  Scenario: A request that is not answered by its deadline gets 504 then
    Given the endpoints do not answer
    When the request "POST /filing/1" with 0.5 seconds to its deadline is sent, and a pause of 1 second begins
    Then the status is 504, and the request ran at 1 endpoints

  # Guards against requests that depend on a task which fails and is restarted.
  Scenario Outline: All supervised tasks fail while a request <progress>
    Given a request <progress>
    When all supervised tasks fail during the request "POST <path>"
    And it may then be served
    Then the status is 200 and the response is complete

    Examples:
      | progress              | path      |
      | waits for an endpoint | /filing/1 |
      | runs at an endpoint   | /filing/1 |
      | runs at an endpoint   | /draft/1  |

  # Guards against a request that ends before its deadline, as timers count from the start of the
  # event loop's iteration.
  Scenario: A timer that starts late in an iteration of the event loop does not expire early
    When a greenlet is busy for 10 ms and then waits for a timer of 20 ms
    Then the timer does not expire before its time
