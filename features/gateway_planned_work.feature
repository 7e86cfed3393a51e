Feature: Planned work leaves no request unanswered
  Changes of the configuration, SIGHUP, stops and starts of gateways overlap. Each request that was
  read gets a complete answer or refusal; one that crosses the close of its kept connection runs
  nowhere.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And the model endpoints "lm-1" and "lm-2" of "lm"

  # Guards against requests that are lost as what they hold, or the timeouts they rely on, change.
  Scenario Outline: Configurations that <change> arrive while requests run, wait and are read
    Given a gateway
    When callers send requests to it while configurations <change>
    Then each request got a complete answer, or was cut at its deadline
    And requests were answered 200 and <other>

    Examples:
      | change                               | other |
      | lower and raise the idle timeout     | 200   |
      | drop and add routes                  | 404   |
      | drop and add services                | 404   |
      | drop and add teams                   | 401   |
      | lower and raise the limit of bodies  | 413   |

  # Guards against a check that takes a stream cut at its deadline for one that planned work cut.
  Scenario: Streams last beyond the deadlines of their requests
    Given a gateway
    And the endpoints pause for 2 seconds in a stream and send whole events
    When callers send requests to it while configurations drop and add routes
    Then each request got a complete answer, or was cut at its deadline
    And some requests were cut at their deadline

  # Guards against requests that are cut as a stop overlaps the arrival of a configuration.
  Scenario Outline: A gateway stops <delay> seconds after a configuration was written
    Given a gateway with a grace of 3 seconds
    When callers send requests to it while it stops <delay> seconds after a configuration
    Then each request got a complete answer, or was cut at its deadline

    Examples:
      | delay |
      | 0     |
      | 0.002 |
      | 0.005 |
      | 0.02  |
      | 0.2   |

  # Guards against the same in a process that gets signals, and against SIGHUP in between.
  Scenario Outline: A process gets <signals> beside a configuration
    Given a gateway process
    When callers send requests to it while it gets <signals> beside a configuration
    Then each request got a complete answer, was cut at its deadline, or crossed a close and ran nowhere

    Examples:
      | signals                             |
      | SIGTERM after 0.002 seconds         |
      | SIGTERM after 0.02 seconds          |
      | SIGHUP and SIGTERM after 0.01 seconds |
      | SIGHUP after 0.005 seconds          |

  # Guards against requests that a new gateway drops while it gets its state from one that stops.
  Scenario Outline: A gateway starts <delay> seconds after the stop of the only one that knows the state
    Given a gateway with a grace of 3 seconds
    And the store answers nobody from now on
    When callers send requests to a gateway that starts <delay> seconds after the first one stops
    Then each request got a complete answer, or was cut at its deadline

    Examples:
      | delay |
      | 0     |
      | 0.3   |
      | 1     |
