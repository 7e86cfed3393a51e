Feature: Every request to the product's interface gets an answer
  Whatever fails inside the router, the caller gets an answer with a true outcome, or a stream that
  ends without its end marker.

  Background:
    Given a development deployment "centre"

  # Guards against a caller that waits for ever after an unexpected error in a background execution.
  Scenario Outline: An unexpected error ends in an answer and settles the claim
    Given <operation> fails unexpectedly
    When <request> is sent through router 1
    Then the status is 502 and the error is "outcome_unknown"
    And the outcome is "unknown"
    And the claim of its key is not "started"

    Examples:
      | operation             | request                            |
      | starting a job        | a chat that must not run twice     |
      | storing a response    | a chat that must not run twice     |
      | storing a response    | a filing                           |
      | reading a response    | a filing                           |

  Scenario: An unexpected error in a chat that may be repeated ends in an answer
    Given starting a job fails unexpectedly
    When a plain chat is sent through router 1
    Then the status is 500 and the error is "internal_error"
    And the outcome is "unknown"

  # Guards against a write that nobody answers after the task that batches writes has failed.
  Scenario: Claims that wait behind a write that fails unexpectedly are written
    Given a task that commits claims, whose next write fails unexpectedly
    When three writes of one row and one of another arrive together
    Then each write gets a result or an error

  # Guards against a request that is closed unread because a timer expired while the process was paused.
  Scenario: A request that arrived during a pause is read although the idle timeout has expired
    Given routers wait 0.3 seconds for a request
    When a request on a kept connection arrives during a pause of 1 second
    Then the status is 200

  # Guards against a request that is cut off because the time for its headers passed during a pause.
  Scenario Outline: A request whose last part arrived during a pause is served
    Given routers wait 0.3 seconds for headers
    When the last <part> of a request arrives during a pause of 1 second
    Then the status is 200

    Examples:
      | part                         |
      | half of the request line     |
      | half of the headers          |
      | line end of the headers      |

  Scenario: Requests that are sent at once are answered one after the other
    Given routers wait 0.3 seconds for a request
    When a caller sends three requests to router 1 at once
    Then it gets three answers, and the connection is closed when it stays idle

  Scenario: A caller that closes its sending side gets the answer
    When a caller sends a plain chat and closes its sending side
    Then the status is 200

  # Guards against a caller that waits until after its deadline when the task that assigns endpoints fails.
  Scenario Outline: The dispatcher fails <moment>
    Given the dispatcher fails <moment>
    When router 1 gets a plain chat with 3 seconds to its deadline
    Then the status is 503 and the error is "unavailable_error"
    And the outcome is "not-run"
    And it was answered within 0.5 seconds

    Examples:
      | moment                               |
      | as it admits a request               |
      | as it chooses an endpoint            |
      | as it assigns an endpoint            |
      | while a request waits in its queue   |

  # Guards against a request that is refused only a second after its deadline while the task restarts.
  Scenario: A request whose deadline passes while the dispatcher restarts is refused soon after
    Given the dispatcher takes 5 seconds to restart
    When router 1 gets a plain chat with 0.5 seconds to its deadline
    Then the status is 503 and the error is "overloaded_error"
    And the outcome is "not-run"
    And it was answered within 1.2 seconds
