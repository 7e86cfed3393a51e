Feature: Endpoints that are silent for a while
  A sound endpoint may send nothing for a second or so and go on. Its response is given up only when
  another endpoint takes over the request at once.

  Background:
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway

  # Guards against a stream that is broken off as its sound endpoint goes on after a pause.
  Scenario Outline: A stream that must not be retried outlasts a pause of its endpoint
    Given the endpoints pause for <seconds> seconds in a stream and send <form>
    When 3 requests "POST /draft/1" are sent at once
    Then each caller got the events 1 to 6 in order and a response that is complete
    And each request was executed once

    Examples:
      | seconds | form                     |
      | 0.9     | events in two parts      |
      | 1.4     | whole events             |
      | 1.4     | events in two parts      |
      | 1.6     | comments during the pause |

  Scenario Outline: The longest pause of a stream is in the log and in the metrics
    Given the log is recorded
    And the endpoints pause for 0.9 seconds in a stream and send <form>
    When 1 requests "POST /draft/1" are sent at once
    Then the log and the metrics have a pause of 0.9 seconds

    Examples:
      | form                      |
      | whole events              |
      | comments during the pause |

  # Guards against a stream that is broken off on a pause although no retry is left for it.
  Scenario Outline: A stream outlasts a pause of its endpoint when it cannot continue at another one
    Given the endpoints pause for 1.5 seconds in a stream and send <form>
    And <obstacle>
    When 5 requests "POST /classify/1" are sent at once
    Then each caller got the events 1 to 6 in order and a response that is complete
    And <count> of the requests were executed twice, and as many retries were taken from the budget

    Examples:
      | form                      | obstacle                      | count |
      | whole events              | no retry is left              | 0     |
      | events in two parts       | no retry is left              | 0     |
      | comments during the pause | no retry is left              | 0     |
      | whole events              | 2 retries are left            | 2     |
      | whole events              | only "lm-1" takes requests    | 0     |
      | events in two parts       | only "lm-1" takes requests    | 0     |

  # Guards against a request that waits at a silent endpoint although one that had refused is free.
  Scenario Outline: A request leaves a silent endpoint for one that failed it before
    Given the endpoints "app-1" and "app-2" of "app"
    And "app-2" is silent, and "app-1" <fault> until 0.15 seconds after the request
    When "POST /status/1" with 3 attempts is sent to "app-1" first
    Then the status is 200, and the request ran at <ran> endpoints

    Examples:
      | fault    | ran |
      | sheds    | 2   |
      | resets   | 3   |

  # Guards against connections that keep requests in memory for as long as they are pooled.
  Scenario: A pooled connection keeps nothing of its last request
    Given the endpoints "app-1" and "app-2" of "app"
    When 3 requests "POST /status/1" are sent at once
    Then no pooled connection refers to a request

  # Guards against a stream that stays at an endpoint that sends nothing, or comments only, for good.
  Scenario Outline: A stream continues at another endpoint when its own does not go on
    Given the endpoint "lm-1" pauses for 30 seconds in a stream and sends <form>
    When requests "POST /classify/1" are sent until "lm-1" has run one
    Then each caller got the events 1 to 6 in order and a response that is complete

    Examples:
      | form                      |
      | whole events              |
      | comments during the pause |
