Feature: Bytes without end
  Endpoints in trouble may send bytes that are no response until the gateway closes the connection,
  at line rate or a few at a time. Each such connection takes bounded memory and time, the caller
  learns that its request may have run, and other requests are served meanwhile.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway

  Scenario Outline: A request that must not be retried ends in time, and is not called "not run"
    Given all endpoints have the fault "<fault>" with <pause> seconds between the pieces
    When the request "POST /<route>/1" is sent with a deadline of <deadline> seconds
    Then its response has status <status> within <seconds> seconds
    And the connection to the endpoint was closed

    Examples: At line rate
      | fault             | pause | route  | deadline | status | seconds |
      | endless-head      | 0     | filing | 2        | 502    | 1.9     |
      | endless-interim   | 0     | filing | 2        | 502    | 1       |
      | endless-body      | 0     | filing | 2        | 502    | 1.9     |
      | endless-chunks    | 0     | filing | 2        | 502    | 1.9     |
      | endless-extension | 0     | filing | 2        | 502    | 1       |
      | endless-trailer   | 0     | filing | 2        | 502    | 1       |
      | endless-event     | 0     | draft  | 2        | 200    | 1.9     |

    Examples: A few bytes at a time
      | fault             | pause | route  | deadline | status | seconds |
      | endless-head      | 0.1   | filing | 1        | 504    | 1.3     |
      | endless-body      | 0.1   | filing | 1        | 504    | 1.3     |
      | endless-trailer   | 0.1   | filing | 1        | 504    | 1.3     |
      | endless-comments  | 0.1   | draft  | 1        | 200    | 1.3     |

  Scenario: A stream that sends only comments continues at another endpoint
    Given endpoint "lm-1" has the fault "endless-comments" with 0.2 seconds between the pieces
    And endpoint "lm-2" has the fault "endless-comments" with 0.2 seconds between the pieces
    When the request "POST /classify/1" is sent with a deadline of 10 seconds
    And the endpoints recover after 0.5 seconds
    Then the stream is complete within 4 seconds

  Scenario: A slow but sound stream is not cut
    Given requests may take 10 seconds
    And the endpoints send an event every 0.6 seconds, with a comment between two events
    When the request "POST /classify/1" is sent with a deadline of 10 seconds
    Then the stream is complete within 9 seconds
    And it was served by one endpoint

  # Guards against a process that exceeds its memory, as each of many responses stays below its limit.
  Scenario Outline: Load pattern "endless answers": <count> of them at once take bounded memory and do not block others
    Given the VM of the gateway has 136 MB of memory
    And endpoint "app-1" has the fault "<fault>" with <pause> seconds between the pieces
    And endpoint "app-2" has the fault "<fault>" with <pause> seconds between the pieces
    When <count> requests are sent to the endpoints at once
    Then the memory of the process grows by at most 100 MB
    And a request to another service is answered within 2 seconds meanwhile

    Examples:
      | count | fault          | pause |
      | 32    | endless-body   | 0     |
      | 150   | endless-body   | 0     |
      | 150   | endless-chunks | 0     |
      | 150   | endless-head   | 0     |
      | 150   | endless-body   | 0.02  |

  # Guards against a process that exceeds its memory by the response to a call of its own.
  Scenario Outline: An endpoint that responds to a <call> without end is taken for silent
    Given an endpoint that sends <what> without end
    When its <call> is sent
    Then the call fails within 6 seconds, after at most 16 MB

    Examples:
      | call   | what              |
      | report | a body            |
      | report | chunks            |
      | report | a head            |
      | order  | a body            |
      | order  | a head            |
      | events | a body            |
      | state  | a head            |
      | job    | a head            |
      | job    | the body of an error |

  Scenario: A store that sends bytes without end counts as unavailable
    Given a platform service that sends a body without end
    When it is called
    Then the call fails as unavailable after at most 40 MB

  Scenario: A caller that sends its body a byte at a time is refused
    Given callers may be idle for 0.3 seconds
    When a caller sends a body of 100 bytes, one each 0.1 seconds
    Then it gets the status 408 within 2 seconds
