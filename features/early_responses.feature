Feature: Responses that begin before the request was sent
  An endpoint may respond before it has read a long body. It gets the rest of that body or the end of
  the connection, never another request in its place.

  Background:
    Given a gateway whose endpoints respond to long requests before they read the body

  # Guards against a request that is sent in the place of the rest of a body, whatever ends the response.
  Scenario Outline: The bytes after an early response that is <form> are those of its request, if the endpoint <then>
    When a long request to "<path>" gets <form>, and the endpoint <then>
    Then the caller gets a complete response with status <result>
    And another team's request to "<path>" is answered in time
    And the endpoint got parts of the callers' requests in their places only

    Examples: Endpoints that read on later
      | path        | form                          | then           | result |
      | /classify/1 | a stream with chunks          | reads on later | 200    |
      | /classify/1 | a stream ended by its channel | reads on later | 200    |
      | /status/1   | a body with length            | reads on later | 200    |
      | /status/1   | a body with chunks            | reads on later | 200    |
      | /status/1   | a body ended by its channel   | reads on later | 200    |
      | /status/1   | a body after an interim head  | reads on later | 200    |
      | /classify/1 | a stream after an interim head | reads on later | 200    |
      | /status/1   | a redirect                    | reads on later | 307    |
      | /status/1   | an error                      | reads on later | 500    |
      | /status/1   | a refusal                     | reads on later | 503    |
      | /status/1   | a misdirected status          | reads on later | 503    |

    Examples: Endpoints that do not
      | path        | form                 | then                  | result |
      | /classify/1 | a stream with chunks | closes the connection | 200    |
      | /classify/1 | a stream with chunks | reads nothing         | 200    |
      | /status/1   | a body with length   | closes the connection | 200    |
      | /status/1   | a body with length   | reads nothing         | 200    |
      | /status/1   | an error             | closes the connection | 500    |
      | /status/1   | an error             | reads nothing         | 500    |

  # Guards against a stream that stalls as its endpoint waits for a part of the body.
  Scenario Outline: The rest of a body is sent beside reading the response
    When a long request to "<path>" gets <form>, and the endpoint reads on before it completes the response
    Then the caller gets a complete response with status 200
    And the endpoint got the whole body on one connection

    Examples:
      | path        | form                           |
      | /classify/1 | a stream with chunks           |
      | /classify/1 | a stream after an interim head |
      | /status/1   | a body with length             |
      | /status/1   | a body with chunks             |
      | /status/1   | a body after an interim head   |

  # Guards against a body without length that looks complete after a reset, as sending noticed it first.
  Scenario: A response without length that is reset while the body is sent is not complete
    When a long request to "/status/1" gets a body ended by its channel, and the endpoint resets the connection
    Then the caller gets a complete response with status 502

  # Guards against a part of a response that looks complete, as the process that sent it ended while the
  # request was still being written: its end of the connection closes in order, and is reset only by the
  # next bytes that reach it.
  Scenario Outline: A response without length is not complete if its endpoint ends before it has the request: <then>
    When a request of <size> bytes to "<path>" gets <form>, and the endpoint <then>
    Then the caller gets no complete response with status 200

    Examples:
      | path        | form                          | size     | then                       |
      | /status/1   | a body ended by its channel   | 12000100 | closes the connection      |
      | /status/1   | a body ended by its channel   | 400000   | closes the connection      |
      | /filing/1   | a body ended by its channel   | 400000   | closes the connection      |
      | /classify/1 | a stream ended by its channel | 400000   | closes the connection      |
      | /draft/1    | a stream ended by its channel | 400000   | closes the connection      |
      | /status/1   | a body ended by its channel   | 12000100 | reads some bytes and ends  |
      | /filing/1   | a body ended by its channel   | 12000100 | reads some bytes and ends  |
      | /classify/1 | a stream ended by its channel | 12000100 | reads some bytes and ends  |
      | /draft/1    | a stream ended by its channel | 12000100 | reads some bytes and ends  |
      | /draft/1    | a stream ended by its channel | 3000000  | resets the connection      |
      | /filing/1   | a body ended by its channel   | 60000    | resets the connection      |

  # Guards against a complete response that is taken for a broken one, as the request is read later.
  Scenario Outline: A response without length is complete if its endpoint still reads the request
    When a request of <size> bytes to "<path>" gets <form>, and the endpoint <then>
    Then the caller gets a complete response with status 200

    Examples:
      | path        | form                          | size     | then                |
      | /status/1   | a body ended by its channel   | 400000   | reads on later      |
      | /classify/1 | a stream ended by its channel | 3000000  | reads on later      |
      | /filing/1   | a body ended by its channel   | 12000100 | reads on at once    |
      | /draft/1    | a stream ended by its channel | 3000000  | reads nothing       |

  # Guards against a long request that is kept in memory by its idle connection.
  Scenario: A connection that has sent a long request keeps nothing of it
    When a request of 300000 bytes was sent on a connection
    Then the connection refers to no part of it

  # Guards against a part of a body whose caller left being taken for a whole one.
  Scenario Outline: A request whose caller leaves before its end reaches no endpoint
    When callers send a request with <framing>, and leave after each byte
    Then no endpoint got any request

    Examples:
      | framing |
      | length  |
      | chunks  |
