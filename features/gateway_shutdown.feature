Feature: A planned stop of a gateway
  Whatever is sent to a gateway during its stop gets an answer before its process exits, and a request
  that cannot end in time is refused as not run, so that its caller tries another router.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And the model endpoints "lm-1" and "lm-2" of "lm"

  # Guards against requests that are passed on late in the grace and cut without an answer at its end.
  Scenario Outline: A <kind> request at each moment of the grace, with an endpoint that takes longer
    Given a gateway with a grace of <grace> seconds
    And the endpoints take <runs> seconds for a request
    When "POST <path>" with <deadline> seconds to its deadline arrives every 0.2 seconds of its stop
    Then each request got an answer, or a visibly broken-off stream, before the process exits
    And those answered 503 ran nowhere, and may be sent to another router at once
    And none that arrived later than <last> seconds after the stop began ran

    Examples: The endpoint takes longer than the grace
      | kind      | path        | grace | runs | deadline | last |
      | unsafe    | /filing/1   | 3     | 9    | 20       | 1.1  |
      | safe      | /status/1   | 3     | 9    | 20       | 1.1  |
      | resumable | /classify/1 | 3     | 9    | 20       | 1.1  |
      | stream    | /draft/1    | 3     | 9    | 20       | 1.1  |

    Examples: The endpoint takes about half of the grace
      | kind      | path        | grace | runs | deadline | last |
      | unsafe    | /filing/1   | 3     | 1.5  | 20       | 1.1  |
      | safe      | /status/1   | 3     | 1.5  | 20       | 1.1  |
      | stream    | /draft/1    | 3     | 1.5  | 20       | 1.1  |

    Examples: The deadline ends with the grace or before
      | kind      | path        | grace | runs | deadline | last |
      | unsafe    | /filing/1   | 3     | 9    | 1        | 1.8  |
      | stream    | /draft/1    | 3     | 9    | 1        | 1.8  |

    Examples: The grace of the deployments
      | kind      | path        | grace | runs | deadline | last |
      | unsafe    | /filing/1   | 8     | 20   | 30       | 3    |

  # Guards against a request that waits in a queue, is passed on late in the grace and cut at its end.
  Scenario: A request that waits for an endpoint is refused when it can no longer end in time
    Given a gateway with a grace of 3 seconds
    And no endpoint can be chosen until 2 seconds after the stop begins
    When "POST /filing/1" with 20 seconds to its deadline arrives every 0.2 seconds of its stop
    Then each request got an answer, or a visibly broken-off stream, before the process exits
    And those answered 503 ran nowhere, and may be sent to another router at once
    And none that arrived later than 0 seconds after the stop began ran

  Scenario: A request that is known to last beyond the grace is refused from the start of the stop
    Given a gateway with a grace of 3 seconds
    And the endpoints are known to take 9 seconds for a request
    When "POST /filing/1" with 20 seconds to its deadline arrives every 0.2 seconds of its stop
    Then each request got an answer, or a visibly broken-off stream, before the process exits
    And those answered 503 ran nowhere, and may be sent to another router at once
    And none that arrived later than 0 seconds after the stop began ran

  Scenario: Requests that can end in time are served during the stop
    Given a gateway with a grace of 3 seconds
    And the endpoints take 0.1 seconds for a request
    When "POST /filing/1" with 0.8 seconds to its deadline arrives every 0.2 seconds of its stop
    Then all that arrived within 1.2 seconds after the stop began got 200

  # Guards against requests that the close of the listening socket, or the exit, cuts off unanswered.
  Scenario Outline: A request <moment>
    Given a gateway with a grace of 3 seconds
    When the stop meets a request <moment>
    Then the request got a complete answer before the process exited

    Examples:
      | moment                                                             |
      | in the backlog of the listening socket as that closes              |
      | unread on a kept connection as the listening socket closes         |
      | whose body is half read as the listening socket closes             |
      | on the connection of a stream that began before the stop           |

  # Guards against a request that is passed on although its connection is closed for the answer.
  Scenario Outline: A request that crosses the close of its idle connection is not passed on
    Given a gateway with a grace of 3 seconds
    When a request arrives between the last look at its idle connection and its close <when>
    Then no endpoint got it, and its connection ended without an answer

    Examples:
      | when                      |
      | in a stop                 |
      | after the idle timeout    |
