Feature: Strict framing of HTTP/1.1
  Messages that two parsers could frame differently are rejected, and a truncated body is never taken
  for a complete one.

  Scenario Outline: A malformed request is rejected
    When a caller sends the bytes "<bytes>"
    Then reading the request fails with "<error>"

    Examples:
      | bytes                                                                                   | error           |
      | GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx               | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n                | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n                   | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx                                   | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\nx                                 | FramingError    |
      | GET / HTTP/1.1\r\nHost : a\r\n\r\n                                                        | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n                                               | FramingError    |
      | GET / HTTP/1.1\nHost: a\n\r\n\r\n                                                         | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n                                                    | FramingError    |
      | GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                                               | FramingError    |
      | GET / HTTP/1.1\r\nX: a\r\n\r\n                                                            | FramingError    |
      | GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n                                                  | FramingError    |
      | GET / HTTP/2.0\r\nHost: a\r\n\r\n                                                         | FramingError    |
      | GET /\r\nHost: a\r\n\r\n                                                                  | FramingError    |
      | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n           | FramingError    |
      | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n           | FramingError    |
      | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nxyz                                  | EndOfStreamError |
      | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n                              | TooLargeError   |

  Scenario: A chunked body is read to its end, and the next request stays unread
    When a caller sends the bytes "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;e=f\r\nc\r\n0\r\nT: v\r\n\r\nGET /"
    Then the body is "abc" and "GET /" stays unread

  Scenario Outline: A response is complete only when its framing says so
    When an endpoint responds "<bytes>" and then <ends>
    Then reading the response gives "<result>"

    Examples:
      | bytes                                                              | ends   | result           |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab                         | stays  | ab               |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab                         | closes | EndOfStreamError |
      | HTTP/1.1 200 OK\r\n\r\nab                                             | closes | ab               |
      | HTTP/1.1 200 OK\r\n\r\nab                                             | resets | EndOfStreamError |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n   | stays  | ab               |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n          | closes | EndOfStreamError |
      | HTTP/1.1 OK\r\n\r\n                                                   | closes | FramingError     |
      | \x00\x01garbage\r\n\r\n                                                | closes | FramingError     |

  Scenario: An early response stops the transfer of a long body
    Given an endpoint that responds before it reads the body
    When a body of 8 MB is sent to it
    Then sending stops when the response arrives

  # Guards against a response that is lost because a timer expired while the process was paused.
  Scenario: Bytes that arrived during a pause count although the timeout has expired
    When bytes arrive during a pause that is longer than the reader's timeout
    Then the reader gets them
    And the reader times out when no more arrive

  # Guards against an attempt that fails because its connection has a high file descriptor.
  Scenario Outline: A long body is sent on a connection with a file descriptor above 1024
    Given an endpoint that <reads>, on a connection with a file descriptor above 1024
    When a body of 8 MB is sent to it
    Then sending <ends>

    Examples:
      | reads                                  | ends                            |
      | reads the body late                    | ends when the body is sent      |
      | responds before it reads the body      | stops when the response arrives |
      | reads nothing                          | times out                       |
      | responds during a pause of the process | stops when the response arrives |
      | reads on during a pause of the process | ends when the body is sent      |
