Feature: Soak test of real gateway processes under injected faults
  `python -m features.soak` injects random, overlapping faults and checks invariants. Further
  scenarios show that the checker detects a violation of each of its invariants.

  Scenario: A short run with a fixed seed violates no invariant
    When the soak runs seed 1 with 8 seconds of faults
    Then no invariant is violated

  # Guards against streams of two software versions, and against refusals of callers that return.
  Scenario Outline: A short run with releases violates no invariant
    When the soak runs seed 2 with only <faults> for 8 seconds
    Then no invariant is violated

    Examples:
      | faults                          |
      | release                         |
      | release and reinstall and power |
      | out of step                     |

  Scenario: Seeds that once violated an invariant violate none any more
    Then no seed of features/soak_seeds.txt violates an invariant

  Scenario: A SIGHUP during the start of a gateway does not terminate it
    Guards against the default action of SIGHUP, which terminates a process without a handler.

    When a gateway gets SIGHUP repeatedly, from when it ignores the signal until it has started
    Then the gateway is running

  Scenario Outline: The soak detects gateways that <what>
    Guards against a checker that passes whatever the gateways do: real processes have the fault.

    When the soak runs seed 1 with <faults> and gateways that <what>, until "<invariant>" is violated
    Then violations of "<invariant>" only are reported

    Examples:
      | faults                | what                                                | invariant |
      | series                | close connections unanswered beside a configuration | LOST      |
      | reload                | close connections unanswered after SIGHUP           | LOST      |
      | terminate             | cut off accepted requests when they stop            | LOST      |
      | configure and restore | take the configuration of a restored store          | CONFIG    |
      | leave                 | send requests to endpoints that leave               | DRAIN     |
      | shed                  | send requests to endpoints that ask for a pause     | BUDGET    |
      | silence               | give up streams of silent endpoints                 | LOST      |
      | release               | continue streams at any software version            | ORDER     |
      | odd                   | refuse streams that callers take up                 | LOST      |

  # Guards against a stream that the soak itself mixes: an endpoint that serves while it is restarted,
  # with other software from one event to the next, or an entry that no process has written.
  Scenario Outline: An endpoint of the soak restarts with other software while another fault <what>
    Given the endpoints of a soak without gateways
    When an endpoint is reinstalled <seconds> seconds after the start of a fault "<fault>" there
    Then its process accepted nothing and wrote no entry between its end and its next start
    And each of its processes wrote its entry

    Examples:
      | fault   | seconds | what                             |
      | delay   | 0.02    | delays its traffic               |
      | crash   | 0.02    | crashes it                       |
      | restore | 0.02    | restores the store               |
      | leave   | 1.95    | lets it leave                    |
      | leave   | 0.02    | has just let it leave            |
      | replace | 0.4     | is about to let it drain         |
      | replace | 0.02    | has started an endpoint          |

  # Guards against a run that ends with an error of the soak's own.
  Scenario: An endpoint of the soak ends while a process that is being started has its socket
    Given the endpoints of a soak without gateways
    When an endpoint ends, and a copy of its socket is closed 0.3 seconds later
    Then it refuses connections, and accepts them once it has started again

  Scenario Outline: Callers of the soak see whether a request was read before its connection ended
    When a server closes a connection <when>
    Then the caller finds that the request was <outcome>

    Examples:
      | when                       | outcome  |
      | after reading the request  | read     |
      | without reading it         | not read |
      | before the request is sent | not read |

  Scenario: A valid history violates no invariant
    Given a history of valid requests
    Then the checker finds nothing

  Scenario Outline: The checker detects the effect of a missing mechanism
    Guards against a checker that passes whatever the gateways do.

    Given a history of valid requests
    When <what>
    Then the checker finds a violation of "<invariant>"

    Examples:
      | what                                                                                       | invariant |
      | a filing is executed at a second endpoint                                                  | TWICE     |
      | a filing that was executed is answered 503                                                 | REFUSED   |
      | a response belongs to another request                                                      | MIXED     |
      | a stream lacks an event in the middle                                                      | ORDER     |
      | a stream without its last event is marked complete                                         | ORDER     |
      | 3 responses hold events of two software versions                                           | ORDER     |
      | 3 streams go on at another software version when they are taken up                         | ORDER     |
      | 1 stream goes on with an event that its caller has when it is taken up                     | ORDER     |
      | 1 stream goes on without an event when it is taken up                                      | ORDER     |
      | 12 streams are refused when they are taken up, while 2 endpoints of their version serve    | LOST      |
      | a request is executed that no caller sent                                                  | UNASKED   |
      | a request is executed under another team                                                   | UNASKED   |
      | a request is executed with the caller's key                                                | UNASKED   |
      | a valid request is answered 404                                                            | DENIED    |
      | a new route is answered 404 after its propagation time                                     | CONFIG    |
      | a route is answered 404 after it was served, in the same lifetime                          | CONFIG    |
      | a response is lost although only a planned restart happened                                | LOST      |
      | a request gets no response while only the store is unavailable                             | LOST      |
      | a request gets no response beside a configuration change                                   | LOST      |
      | a request on a busy connection is cut off at once without a stop                           | LOST      |
      | a request is sent after the close of its connection was announced, and was read            | LOST      |
      | a request gets no response beside an odd entry                                             | LOST      |
      | a stream is broken off while its endpoint is silent                                        | LOST      |
      | a stream that may be repeated breaks off as its endpoint crashes on a prompt part          | LOST      |
      | a stream breaks off 2 s after a stall of the machine                                       | LOST      |
      | a request reaches an endpoint that has been draining for too long                          | DRAIN     |
      | an endpoint has announced that it leaves, and gets a request beside an outage of the store | DRAIN     |
      | retries exceed the retry budget                                                            | BUDGET    |
      | an endpoint asks for a pause of 5 s, and 3 requests reach it beside an outage of the store | BUDGET    |
      | a prompt part crashes endpoints long after it has crashed five                             | BUDGET    |
      | a load order has a lower fencing token than the one before                                 | ONE       |
      | two routers send load orders with one fencing token                                        | ONE       |

  Scenario Outline: The checker accepts effects that a fault or a race explains
    Given a history of valid requests
    When <what>
    Then the checker finds nothing

    Examples:
      | what                                                                                     |
      | a response is lost during a kill                                                         |
      | a route is answered 404 after it was served, at another router                           |
      | a route is answered 404 after it was served, after a restart                             |
      | a request is sent while its idle connection is being closed                              |
      | a request is sent after the close of its connection was announced, and was not read      |
      | a request is sent while its router stops accepting                                       |
      | a stream breaks off as its endpoint crashes on a prompt part                             |
      | a stream continues from its KV backup at a second endpoint                               |
      | a stream ends as its caller's connection breaks                                          |
      | 2 responses hold events of two software versions                                         |
      | 2 streams go on at another software version when they are taken up                       |
      | 12 streams go on at their software version when they are taken up                        |
      | 11 streams are refused when they are taken up, while 2 endpoints of their version serve  |
      | 12 streams are refused when they are taken up, while 1 endpoints of their version serve  |
      | a request reaches a draining endpoint through a paused router                            |
      | a load order arrives right after its sender was resumed                                  |
      | an endpoint asks for a pause of 5 s, and 2 requests reach it from its router             |
      | an endpoint asks for a pause of 1 s, and 3 requests reach it after its end               |
      | an endpoint asks for a pause of 5 s, and 3 requests reach it from another router         |
      | an endpoint asks for a pause of 5 s, and 3 requests reach it as the next incarnation     |
      | an endpoint asks for a pause of 5 s, and 3 requests reach it after a cut                 |
      | an endpoint has announced that it leaves, and gets a request soon                        |
      | an endpoint has announced that it leaves, and gets a request from another router         |
      | an endpoint has announced that it leaves, and gets a request as the next incarnation     |
      | an endpoint has announced that it leaves, and gets a request after a restart             |
      | an endpoint has announced that it leaves, and gets a request that was misdirected        |
      | an endpoint has announced that it leaves, and gets a request though it was not passed on |
