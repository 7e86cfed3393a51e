Feature: Client of platform services and engines
  A response is what its framing says, and a connection is used again only if both messages on it were
  complete.

  # Guards against the bytes of another response in the body of this one.
  Scenario Outline: Bytes behind a response are not joined to it
    Given a service that sends <bytes> behind each response
    When it is called twice
    Then each call gets the body "ab"
    And the service was called on <connections> connections

    Examples:
      | bytes                   | connections |
      | nothing                 | 1           |
      | another response        | 2           |
      | half a response         | 2           |
      | bytes that are no HTTP  | 2           |

  Scenario: An interim response is followed by the response
    Given a service that sends an interim response first
    When it is called twice
    Then each call gets the body "ab"
    And the service was called on 1 connections

  # Guards against a status that is none being passed on, and against a call that waits for another
  # response after it.
  Scenario Outline: A response with the status "<status>" is none
    Given a service that responds with the status "<status>", and then with 200
    When it is called once
    Then the call fails within 0.4 seconds, as the response is not valid

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  # Guards against a request that is sent in the place of the rest of a body.
  Scenario Outline: A request follows a long one only where that was sent completely
    Given a service that responds before it reads a long request, and then <does>
    When it is called with 8000000 bytes and again with 3 bytes
    Then it got parts of the two requests in their places only

    Examples:
      | does            |
      | reads on        |
      | reads nothing   |
      | closes          |

  # Guards against a response of an engine that is taken together with the next one on its connection.
  Scenario: An engine that sends a response twice
    Given an engine that sends each response twice
    When two jobs are started there one after the other
    Then each job gets its own parts
