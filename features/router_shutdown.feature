Feature: A planned stop of a router
  Whatever is sent to a router during its stop gets an answer before its process exits.

  Background:
    Given a development deployment "centre" whose routers drain for 2 seconds

  # Guards against requests that are taken during the stop and cut without an answer at its end.
  Scenario Outline: A <kind> at each moment of the stop, with endpoints that take longer
    Given requests take 5 seconds at the endpoints
    When router 1 stops while a <kind> runs, and another arrives every 0.2 seconds
    Then each got an answer, or a stream without its end marker, before the router stopped
    And those that arrived during the stop are refused as not run

    Examples:
      | kind                           |
      | plain chat                     |
      | streamed chat                  |
      | chat that must not run twice   |
      | filing                         |

  Scenario: A request that still waits for an endpoint at the end of the stop is refused as not run
    Given router 1 assigns no endpoint
    When router 1 stops while a plain chat runs, and another arrives every 0.2 seconds
    Then the one that waited is refused as not run before the router stopped

  # Guards against requests that the close of the listening socket, or the exit, cuts off unanswered.
  Scenario Outline: A request <moment>
    When the stop meets a request <moment>
    Then it got a complete answer before the process exited

    Examples:
      | moment                                       |
      | in the backlog of the listening socket       |
      | unread on a kept connection                  |
      | whose body is half read                      |
