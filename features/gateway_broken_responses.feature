Feature: Responses that break off, or that belong to an earlier request
  An endpoint may stop after any byte, by closing or by resetting the connection, at the first attempt
  or at the second. The caller gets the events or the body of one execution, and a response that looks
  complete only if it is.

  Background:
    Given a gateway with two scripted endpoints

  # Guards against a response that stops in its head or body and reaches the caller as a complete one.
  Scenario Outline: A response that stops after any byte never looks complete
    When a <kind> with <framing> stops after each byte by <end>, at attempt <attempt>
    Then no response looked complete without being so, and no caller got bytes that are no part of it

    Examples:
      | kind   | framing | end   | attempt |
      | body   | length  | close | 1       |
      | body   | length  | reset | 1       |
      | body   | chunks  | close | 1       |
      | body   | close   | reset | 1       |
      | stream | chunks  | close | 1       |
      | stream | chunks  | reset | 1       |
      | stream | close   | close | 1       |
      | stream | close   | reset | 1       |
      | stream | chunks  | close | 2       |
      | stream | close   | reset | 2       |

  # Guards against the text or the head of an error in the middle of a stream that had begun.
  Scenario Outline: After a stream has begun, the next endpoint's <answer> does not reach the caller
    When a stream breaks off after two events, and the next endpoint answers with <answer>
    Then the caller got just the events 1 to 2, and the response is not complete

    Examples:
      | answer                |
      | an error              |
      | an unknown path       |
      | a refusal             |
      | a body without a seal |
      | another request's id  |
      | no events             |
      | the status 000        |
      | the status 1000       |

  # Guards against a stream that ends with its connection before its first event and looks complete.
  Scenario: A stream without length, chunks or events is not complete
    When a stream of 0 events ends with its connection
    Then the caller gets 502

  Scenario: A stream without length or chunks is complete when it ends after an event
    When a stream of 6 events ends with its connection
    Then the caller got just the events 1 to 6, and the response is complete

  # Guards against 'not run, try again' for a request that runs, after a refusal was written twice.
  Scenario Outline: An earlier refusal on a kept connection is no proof that a request did not run
    When a request leaves a kept connection, and the endpoint repeats a refusal <with> on it
    Then the next request there is not answered 503

    Examples:
      | with                            |
      | without an id                   |
      | with the id of the next request |

  # Guards against a body that ends because this process shut its connection down and looks complete.
  Scenario: A response without length is not complete when this process ends its connection
    When a connection is shut down while its reader handles a part of a body without length
    Then the reader gets an error instead of the end of the body

  # Guards against a status that is none reaching the caller, and against a caller that waits until its
  # deadline, as the response is taken for an interim one.
  Scenario Outline: A response with the status "<status>" to "<path>" does not reach the caller
    When an endpoint responds to "<path>" with the status "<status>", and keeps the connection
    Then the caller gets 502 within 1 second

    Examples:
      | status | path        |
      | 000    | /status/1   |
      | 000    | /filing/1   |
      | 000    | /classify/1 |
      | 000    | /draft/1    |
      | 0      | /status/1   |
      | 099    | /status/1   |
      | 600    | /filing/1   |
      | 1      | /status/1   |
      | 1000   | /filing/1   |
      | 1000   | /classify/1 |
      | 1x0    | /draft/1    |

  # Guards against a request that loses its response because a header field of it is no number.
  Scenario Outline: An idle time that is no number is ignored
    When an endpoint responds with the idle time "<value>"
    Then the caller gets 200

    Examples:
      | value  |
      | ²      |
      | ¹5     |
      | 1e5    |
      | -1     |
