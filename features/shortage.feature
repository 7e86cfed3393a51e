Feature: Order of requests while the engines have too little room
  Requests wait in the router until an engine has room for them by the load of all routers. Those
  that cannot start in time are refused, which is true: they were not sent.

  Scenario Outline: Load pattern "burst of long prompts": the most urgent requests find room
    Given an endpoint of 16 slots and 94000 tokens with <requests> requests of <memory> tokens
    When a request of urgency <urgency> with <tokens> tokens has waited for <waited> of its objectives
    Then the endpoint <answer> room for it

    Examples:
      | requests | memory | urgency | tokens | waited | answer  |
      | 8        | 73600  | 0       | 5000   | 0      | has     |
      | 8        | 82000  | 0       | 5000   | 0      | has     |
      | 8        | 82000  | 2       | 5000   | 0      | has no  |
      | 8        | 82000  | 2       | 5000   | 2      | has     |
      | 8        | 71000  | 9       | 5000   | 0      | has no  |
      | 8        | 71000  | 9       | 5000   | 8      | has     |
      | 8        | 85000  | 0       | 5000   | 9      | has no  |
      | 16       | 40000  | 0       | 5000   | 9      | has no  |
      | 8        | 82000  | 9       | 800    | 0      | has     |
      | 15       | 82000  | 9       | 800    | 0      | has     |
      | 16       | 40000  | 0       | 800    | 9      | has no  |
      | 8        | 89000  | 0       | 800    | 9      | has no  |

  Scenario Outline: Load pattern "long prompts beside short ones": only long ones await a backlog
    Given an endpoint of 16 slots and 94000 tokens with 3 requests of 30000 tokens
    And it has <backlog> prompt tokens to read
    When a request of urgency 0 with <tokens> tokens has waited for 0 of its objectives
    Then the endpoint <answer> room for it

    Examples:
      | backlog | tokens | answer |
      | 10000   | 9000   | has    |
      | 30000   | 9000   | has no |
      | 30000   | 800    | has    |

  Scenario: Load pattern "prompts of all sizes": the largest fits an endpoint without requests
    Given an endpoint of 16 slots and 94000 tokens with 0 requests of 0 tokens
    When a request of urgency 9 with 94000 tokens has waited for 0 of its objectives
    Then the endpoint has room for it

  # Guards against a herd: all routers send to the endpoint that has just become free.
  Scenario Outline: Load pattern "one endpoint becomes free": it gets what it can take
    Given <routers> routers that each get <rate> requests of 9000 tokens a second
    And <open> endpoints that can take <free> tokens each
    When the requests of 100 rounds of reports wait
    Then the first endpoint is offered to <least> to <most> of them in a round

    Examples:
      | routers | rate | open | free   | least | most |
      | 70      | 2    | 1    | 40000  | 3     | 6    |
      | 300     | 2    | 1    | 40000  | 3     | 6    |
      | 70      | 2    | 8    | 40000  | 14    | 22   |
      | 70      | 0.2  | 45   | 40000  | 5     | 6    |
      | 1       | 20   | 1    | 40000  | 8     | 8    |

  Scenario Outline: What cannot start in time is refused, and told when it could
    When <place> requests wait before one that has to start within <left> seconds, one each <interval> s
    Then the decision is <action>, with a retry after <retry> seconds

    Examples:
      | place | left | interval | action           | retry |
      | 3     | 2.0  | 0.1      | WAIT             | 0.0   |
      | 3     | 2.0  | 0.7      | WAIT             | 0.8   |
      | 3     | 2.0  | 0.9      | REFUSE_PREDICTED | 1.6   |
      | 0     | 0.0  | 0.1      | REFUSE_LATE      | 0.1   |

  Scenario Outline: A stream is sent early enough for its caller to await its first event
    Given objectives of <objective> seconds for the first event and <pause> for pauses
    Then a stream with a deadline of <deadline> seconds has to be sent within <within> seconds

    Examples:
      | objective | pause | deadline | within |
      | 0.6       | 0.4   | 15.0     | 2.0    |
      | 0.6       | 0.4   | 2.5      | 1.3    |
      | 1.2       | 0.4   | 15.0     | 2.4    |
      | 0.2       | 0.0   | 15.0     | 1.6    |

  # Guards against refusals by a prediction that nothing supports.
  Scenario: Failure "router that has just started": it refuses nothing by a prediction
    Given a queue that has sent 1 requests, one each 5 s
    When 40 requests wait before one that has to start within 0.5 seconds, by that queue
    Then the decision is WAIT, with a retry after 0.0 seconds

  # Guards against an interval that includes the time in which nobody waited.
  Scenario: Load pattern "waves": a pause between two queues is no slow queue
    Given a queue that has sent 5 requests, one each 0.2 s
    And it runs empty for 60 s, and sends 5 more
    When 1 requests wait before one that has to start within 1 seconds, by that queue
    Then the decision is WAIT, with a retry after 0.0 seconds

  # Guards against a request that is held back, or refused, by reports of routers that are gone.
  Scenario Outline: Failure "stale loads": only fresh reports of other routers take room
    Given an endpoint that another router reported full <age> seconds ago
    Then by its loads it <answer> room for a request of urgency 0

    Examples:
      | age | answer |
      | 0.3 | has no |
      | 1.4 | has no |
      | 1.6 | has    |

  Scenario: Load pattern "urgent requests without end": a waiting request comes first some time
    Given requests of urgency 0 that arrive each 0.25 seconds from second 0 on
    And a request of urgency 2 that arrives at second 0 and waits
    Then the requests that arrive from second 0.7 on come after it

  Scenario Outline: Load pattern "engines without memory": only the new routes wait, and are refused
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    And pauses of <pause> seconds are an objective of the route "draft"
    And other routers keep the memory of all engines full
    When "POST /draft/1" is sent with a deadline of <deadline> seconds
    Then the response is <status>, and the request was executed <count> times

    Examples:
      | pause | deadline | status | count |
      | 0.4   | 1.0      | 503    | 0     |
      | 0.25  | 1.0      | 200    | 1     |

  # Guards against a request that waits although an engine has become free.
  Scenario: A waiting request is sent when another router reports room
    Given a platform with a configuration
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway
    And pauses of 0.4 seconds are an objective of the route "draft"
    And other routers keep the memory of all engines full for 0.5 seconds
    When "POST /draft/1" is sent with a deadline of 2.5 seconds
    Then the response is 200, and the request was executed 1 times
