Feature: Streams while endpoints of several software versions serve
  What endpoints of two software versions write does not fit together. A stream goes on only at the
  version that began it, or its caller is told at once that it cannot go on.

  # Guards against one response that is joined from the events of two software versions.
  Scenario Outline: A stream continues at another endpoint of its software version only
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    When 4 callers stream "/classify/" from "lm-1", which <fault> after event 2
    Then each caller got the events 1 to 6 of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" ran nothing

    Examples:
      | fault                       |
      | breaks off inside an event  |
      | sends garbage               |
      | crashes                     |
      | freezes                     |
      | is silent                   |

  # Guards against a stream that goes on at another version, or is held until its deadline, when the
  # last endpoint of its version has failed.
  Scenario Outline: A stream whose version has no endpoint left ends at once
    Given a platform with a configuration
    And the endpoints "lm-1" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    When 4 callers stream "<path>" from "lm-1", which <fault> after event 2
    Then each caller got the first events of software "v1" only and the end within 1 second
    And the endpoints "lm-3 lm-4 lm-5" ran nothing

    Examples:
      | path       | fault                      |
      | /classify/ | breaks off inside an event |
      | /classify/ | sends garbage              |
      | /classify/ | crashes                    |
      | /draft/    | crashes                    |

  # Guards against a KV backup at an endpoint that must not continue the stream.
  Scenario Outline: A stream continues from a KV backup at an endpoint of its software version only
    Given a platform with a configuration
    And the endpoints "lm-8 lm-9" of software "v1"
    And the endpoints "lm-1 lm-2 lm-3" of software "v2"
    And a gateway
    When 4 callers stream "/draft/" from "lm-8", which <fault> after event 2
    Then each caller got the events 1 to 6 of software "v1"
    And the endpoints "lm-1 lm-2 lm-3" ran nothing

    Examples:
      | fault   |
      | crashes |
      | freezes |

  # Guards against a pause of a sound endpoint that moves its stream to another version or ends it.
  Scenario: A stream outlasts a pause of the last endpoint of its version
    Given a platform with a configuration
    And the endpoints "lm-1" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    When 4 callers stream "/classify/" from "lm-1", which pauses after event 2
    Then each caller got the events 1 to 6 of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" ran nothing

  # Guards against a caller that returns and gets the rest of its stream from another version.
  Scenario Outline: A caller that returns goes on at the version that began its stream
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    And another gateway
    When the streams of 6 callers from "lm-1" break after event 2
    And <loss>
    And the callers return at <place> router
    Then each caller got the events 1 to 6 of software "v1"

    Examples:
      | loss                       | place     |
      | no router fails            | the first |
      | no router fails            | another   |
      | the first router is killed | another   |
      | all routers lose power     | the first |
      | all routers lose power     | another   |

  # Guards against a caller that gets the rest of its stream from another version, or waits for
  # nothing, when the last endpoint of its version has left.
  Scenario Outline: A caller that returns is refused at once when its version has no endpoint left
    Given a platform with a configuration
    And the endpoints "lm-1" of software "v1"
    And the endpoints "lm-3 lm-4" of software "v2"
    And a gateway
    And another gateway
    When the streams of 4 callers from "lm-1" break after event 2
    And the endpoint "lm-1" leaves
    And <loss>
    And the callers return at <place> router
    Then each caller is refused with 503 within 1 second, and nothing ran for it

    Examples:
      | loss                       | place     |
      | no router fails            | the first |
      | no router fails            | another   |
      | the first router is killed | another   |
      | all routers lose power     | the first |

  # Guards against a version that is forgotten, or replaced by the one of a later attempt's router.
  Scenario: A caller that returns several times names the attempt that brought its first event
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    And another gateway
    When the streams of 6 callers from "lm-1" break after event 2
    And the callers return at another router, and their streams break after event 3
    And the callers return at the first router, and their streams break after event 4
    And the first router is killed
    And the callers return at another router, and their streams break after event 5
    And the callers return at another router
    Then each caller got the events 1 to 6 of software "v1"

  # Guards against a guess when the router does not know which version began a stream.
  Scenario Outline: A caller whose stream nobody knows is refused at once while two versions serve
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    And another gateway
    When the streams of 4 callers from "lm-1" break after event 2
    And the callers return at <place> router and name <name>
    Then each caller is refused with 503 within 1 second, and nothing ran for it

    Examples:
      | name                    | place     |
      | an unknown attempt      | the first |
      | an unknown attempt      | another   |
      | another team's attempt  | the first |
      | another team's attempt  | another   |
      | a very long text        | the first |
      | odd characters          | the first |
      | a path                  | another   |
      | an empty text           | the first |
      | no attempt              | the first |
      | no attempt              | another   |

  # Guards against refusals although only one version can have begun a stream.
  Scenario Outline: A caller whose stream nobody knows goes on while one version has long served alone
    Given a platform on which streams last at most 1 second
    And the endpoints "lm-1 lm-2" of software "v1"
    And a gateway
    And another gateway
    And the endpoints have served for 8 seconds
    When the streams of 4 callers from "lm-1" break after event 2
    And <loss>
    And the callers return at another router and name <name>
    Then each caller got the events 1 to 6 of software "v1"

    Examples:
      | name                | loss                   |
      | an unknown attempt  | no router fails        |
      | odd characters      | no router fails        |
      | no attempt          | no router fails        |
      | no attempt          | all routers lose power |
      | their first attempt | all routers lose power |

  # Guards against a router that has not heard of a new version yet and takes its old one for the
  # only one that can have begun a stream.
  Scenario Outline: A router that hears nothing does not take its version for the only one
    Given a platform on which streams last at most 1 second
    And the endpoints "lm-1 lm-2" of software "v1"
    And two gateways whose links can be cut
    And the endpoints have served for 8 seconds
    When the links of the second gateway are cut for <seconds> seconds
    And the endpoints "lm-3 lm-4" of "v2" reach the first gateway only
    And the streams of 6 callers from "lm-3" break after event 2
    And the callers return at another router and name <name>
    Then each caller is refused with 503 within 1 second, or goes on at its version

    Examples:
      | seconds | name                |
      | 0       | their first attempt |
      | 0       | no attempt          |
      | 1.5     | their first attempt |
      | 4       | no attempt          |

  # Guards against a router that goes on with a stream at its own version, as nobody has written down
  # yet that another version, which has just joined, began it.
  Scenario Outline: A router out of step during a release does not guess the version of a stream
    Given a platform on which streams last at most 1 second
    And the endpoints "lm-1 lm-2" of software "v1"
    And two gateways whose links can be cut
    And the endpoints have served for 8 seconds
    When the second gateway is cut off from <links>
    And writes of the gateways to the store take <write> seconds
    And <arrival> of "v2", and the streams of 6 callers from "<name>" break at once
    And the callers return at another router at once and name <attempt>
    Then each caller is refused with 503 within 1 second, or goes on at its version

    Examples:
      | links                 | write | arrival                          | name | attempt             |
      | nothing               | 0     | "lm-3 lm-4" join                 | lm-3 | their first attempt |
      | nothing               | 0.4   | "lm-3 lm-4" join                 | lm-3 | no attempt          |
      | the other router      | 0.4   | "lm-3 lm-4" join                 | lm-3 | their first attempt |
      | the other router      | 0.4   | "lm-3 lm-4" join                 | lm-3 | no attempt          |
      | the store             | 0     | "lm-3 lm-4" join                 | lm-3 | their first attempt |
      | the responses of both | 0     | "lm-3 lm-4" join                 | lm-3 | their first attempt |
      | both, as it is paused | 0     | "lm-3 lm-4" join                 | lm-3 | no attempt          |
      | the store's feed      | 0     | "lm-3 lm-4" join                 | lm-3 | their first attempt |
      | the store's feed      | 0.4   | "lm-3 lm-4" join                 | lm-3 | their first attempt |
      | the store's feed      | 0.4   | "lm-3 lm-4" join                 | lm-3 | no attempt          |
      | the store's feed      | 0.4   | "lm-1" comes back                | lm-1 | no attempt          |
      | the store's feed      | 0.4   | "lm-3" joins at "lm-1"'s address | lm-3 | no attempt          |

  # Guards against routers that see only the new version after a power loss and take it for the one
  # that began a stream.
  Scenario Outline: A stream does not go on at the version that is left after a power loss
    Given a platform on which streams last at most 1 second
    And the endpoints "lm-1 lm-2" of software "v1"
    And a gateway
    And another gateway
    And the endpoints have served for 8 seconds
    And <first>
    When the streams of 6 callers from "lm-1" break after event 2
    And the routers are without power while <change>
    And the callers return at <place> router and name <name>
    Then each caller is refused with 503 within 1 second, and nothing ran for it

    Examples:
      | first                       | change                              | place     | name                |
      | "lm-3 lm-4" of "v2" arrive  | "lm-1 lm-2" leave                   | the first | their first attempt |
      | "lm-3 lm-4" of "v2" arrive  | "lm-1 lm-2" leave                   | another   | no attempt          |
      | no other endpoint arrives   | "lm-1 lm-2" leave, "lm-3" arrives   | the first | their first attempt |
      | no other endpoint arrives   | "lm-1 lm-2" leave, "lm-3" arrives   | another   | no attempt          |

  # Guards against a stream that is refused or guessed because the store does not respond.
  Scenario Outline: A router that served a stream needs no store to go on with it
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    And another gateway
    When the streams of 6 callers from "lm-1" break after event 2
    And the store has the fault "<fault>"
    And the callers return at the first router
    Then each caller got the events 1 to 6 of software "v1"

    Examples:
      | fault  |
      | silent |
      | busy   |

  # Guards against a guess, or a caller that is held, while the store does not respond.
  Scenario Outline: A router that cannot ask the store does not guess the version of a stream
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    And another gateway
    When the store has the fault "<begin>"
    And the streams of 6 callers from "lm-1" break after event 2
    And the store has the fault "<fault>"
    And the callers return at another router
    Then each caller is refused with 503 within 0.8 seconds, or goes on at its version
    When the store has the fault "none"
    Then the callers that return at another router within 5 seconds go on at their version

    Examples:
      | begin  | fault  |
      | none   | silent |
      | none   | busy   |
      | silent | silent |
      | busy   | busy   |

  # Guards against records that a restored store has lost for good.
  Scenario Outline: A caller returns after the store was restored from a copy without its stream
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-3 lm-4 lm-5" of software "v2"
    And a gateway
    And another gateway
    And a copy of the store
    When the streams of 6 callers from "lm-1" break after event 2
    And the store is restored, and <seconds> seconds pass
    And <loss>
    And the callers return at <place> router
    Then <result>

    Examples:
      | seconds | loss                   | place     | result                                                                  |
      | 0       | no router fails        | the first | each caller got the events 1 to 6 of software "v1"                      |
      | 0       | no router fails        | another   | each caller is refused with 503 within 1 second, or goes on at its version |
      | 3       | no router fails        | another   | each caller got the events 1 to 6 of software "v1"                      |
      | 0       | all routers lose power | the first | each caller is refused with 503 within 1 second, or goes on at its version |
      | 3       | all routers lose power | the first | each caller is refused with 503 within 1 second, or goes on at its version |

  # Guards against a restored store from which a router that starts learns of one version only.
  Scenario Outline: A stream does not go on at the version that a restored store knows
    Given a platform on which streams last at most 1 second
    And the endpoints "lm-1 lm-2" of software "v1"
    And a gateway
    And another gateway
    And the endpoints have served for 8 seconds
    And a copy of the store
    And "lm-3 lm-4" of "v2" arrive
    When the streams of 6 callers from "lm-3" break after event 2
    And the routers are without power while the store is restored
    And the callers return at the first router and name <name>
    Then each caller is refused with 503 within 1 second, or goes on at its version

    Examples:
      | name                |
      | their first attempt |
      | no attempt          |

  # Guards against a stream that goes on at the version of an entry that was older than its endpoint.
  Scenario Outline: A stream of an endpoint that restarted with other software is not continued
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    And another gateway
    And the endpoint "lm-1" restarts with software "v2", and its entry stays
    When the streams of 6 callers from "lm-1" break after event 2
    And the entry of "lm-1" is written
    And <loss>
    And the callers return at <place> router
    Then each caller is refused with 503 within 1 second, or goes on at its version

    Examples:
      | loss                   | place     |
      | no router fails        | the first |
      | no router fails        | another   |
      | all routers lose power | the first |

  # Guards against one response that goes on at the version of an entry that was older than its
  # endpoint.
  Scenario: A response of an endpoint that restarted with other software is not continued
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And a gateway
    And the endpoint "lm-1" restarts with software "v2", and its entry stays
    When 4 callers stream "/classify/" from "lm-1", whose entry is written before it breaks off
    Then each caller got the events 1 to 2 of software "v2" and the end within 2 seconds

  # Guards against a response that goes on at other software, as its service is no longer configured
  # and the process was therefore not asked when it started.
  Scenario: A response is not continued at an endpoint that restarted when its service was dropped
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And a gateway
    And the endpoint "lm-2" restarts with software "v2", and its entry stays
    When 4 callers stream "/classify/" from "lm-1", whose service is dropped before it breaks off
    Then each caller got the first events of software "v1" only and the end within 3 seconds

  # Guards against a stream that goes on at the version of a process that has ended: its last
  # heartbeat arrives after the crash, before the entry of the next process.
  Scenario Outline: Only heartbeats after a crash show that the entry still holds
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    And the endpoint "lm-1" crashes during a stream
    And the heartbeats <heartbeats> of "lm-1" arrive
    And the endpoint "lm-1" accepts connections again with software "<software>", and its entry stays
    When the streams of 6 callers from "lm-1" break after event 2
    And the callers return at the first router
    Then each caller <outcome>

    Examples:
      | heartbeats | software | outcome                                                      |
      | 2          | v2       | is refused with 503 within 1 second, and nothing ran for it  |
      | 2 3        | v1       | got the events 1 to 6 of software "v1"                       |

  # Guards against a stream that goes on at the version of a process that has ended, which this router
  # knew from connections that were refused.
  Scenario: A refused connection shows that an entry may not hold any more
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    And the endpoint "lm-1" crashes while it runs nothing, and refuses a connection
    And the endpoint "lm-1" accepts connections again with software "v2", and its entry stays
    When the streams of 6 callers from "lm-1" break after event 2
    And the callers return at the first router
    Then each caller is refused with 503 within 1 second, and nothing ran for it

  # Guards against a stream that goes on at a process of other software which started under the
  # identity of an endpoint, when the router met neither the end nor the start and holds the entry of
  # the process before.
  Scenario Outline: A stream does not go on at an endpoint that restarted unnoticed
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    And another gateway
    When the streams of 6 callers from "lm-1" break after event 2
    And the endpoint "lm-1" leaves
    And <loss>
    And the endpoint "lm-2" restarts with software "v2", and its entry stays
    And the callers return at <place> router
    Then each caller is refused with 503 within 1 second, and nothing ran for it

    Examples:
      | loss                   | place     |
      | no router fails        | the first |
      | no router fails        | another   |
      | all routers lose power | the first |

  # Guards against a stream that goes on at the version of a process that has ended: it wrote its
  # first entry, which arrives after its end, so that this router takes the next process for it.
  Scenario: The entry of a process that has ended since does not show which one answers
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    And the endpoint "lm-1" crashes while it runs nothing, and refuses a connection
    And the first entry of the next process of "lm-1", which has ended as well, arrives
    And the endpoint "lm-1" accepts connections again with software "v2", and its entry stays
    When the streams of 6 callers from "lm-2" break after event 2
    And the callers return at the first router, which prefers "lm-1"
    Then each caller is refused with 503 within 1 second, or goes on at its version

  # Guards against refusals that outlast the entry of an endpoint that restarted with its software.
  Scenario: A stream goes on at an endpoint that restarted once its entry has arrived
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    When the streams of 6 callers from "lm-1" break after event 2
    And the endpoint "lm-1" leaves
    And the endpoint "lm-2" restarts with software "v1", and its entry stays
    And the callers return at the first router
    And the entry of "lm-2" is written
    Then the callers that return at the first router within 1 seconds go on at their version

  # Guards against a stream that goes on at the version of an entry that was older than the process
  # which began it, before its entry arrives.
  Scenario: A stream that an endpoint began which restarted unnoticed does not go on elsewhere
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    And the endpoint "lm-1" restarts with software "v2", and its entry stays
    When the streams of 6 callers from "lm-1" break after event 2
    And the callers return at the first router, which prefers "lm-2"
    And the callers return at the first router, which prefers "lm-2"
    Then each caller is refused with 503 within 1 second, and nothing ran for it

  # Guards against one response that goes on at the version of an entry that was older than its
  # endpoint, before its entry arrives.
  Scenario Outline: A response of an endpoint that restarted unnoticed is not continued
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And a gateway
    And the endpoint "lm-1" restarts with software "v2", and its entry stays
    When 4 callers stream "/classify/" from "lm-1", which <fault> after event 2
    Then each caller got the events 1 to 2 of software "v2" and the end within 2 seconds

    Examples:
      | fault                       |
      | breaks off inside an event  |
      | sends garbage               |

  # Guards against a router that takes its entries for up to date while it hears nothing, as other
  # routers may use a version that it does not know.
  Scenario: A router that hears nothing for seconds does not know the only version
    Given a platform on which streams last at most 1 second
    And the endpoints "lm-1 lm-2" of software "v1"
    And a gateway
    And the endpoints have served for 8 seconds
    When the streams of 4 callers from "lm-1" break after event 2
    And the store has the fault "silent"
    And 5.5 seconds pass at the routers
    And the callers return at the first router and name an unknown attempt
    Then each caller is refused with 503 within 1 second, and nothing ran for it

  # Guards against a version that is forgotten too early because the clock of a VM is wrong.
  Scenario Outline: A router whose clock is wrong does not forget a version that began streams
    Given a platform on which streams last at most 1 second
    And the endpoints "lm-1" of software "v1"
    And the endpoints "lm-3 lm-4" of software "v2"
    And a gateway
    And another gateway
    When the streams of 6 callers from "lm-1" break after event 2
    And the endpoint "lm-1" leaves
    And all routers lose power, and their clocks are then <seconds> seconds ahead
    And the callers return at the first router and name <name>
    Then each caller is refused with 503 within 1 second, and nothing ran for it

    Examples:
      | seconds | name                |
      | 60      | their first attempt |
      | 60      | no attempt          |
      | -60     | their first attempt |
      | -60     | no attempt          |

  # Guards against an endpoint that seems to have restarted after the start of a stream because the
  # clock of a VM is wrong.
  Scenario Outline: A router whose clock is wrong does not continue a stream at an older entry's version
    Given a platform with a configuration
    And the endpoints "lm-1 lm-2 lm-3" of software "v1"
    And the endpoints "lm-4" of software "v2"
    And a gateway
    And the clock of the first router is <seconds> seconds ahead
    And the endpoint "lm-1" restarts with software "v2", and its entry stays
    When the streams of 6 callers from "lm-1" break after event 2
    And the entry of "lm-1" is written
    And the callers return at the first router
    Then each caller is refused with 503 within 1 second, or goes on at its version

    Examples:
      | seconds |
      | 0       |
      | -60     |
      | 60      |
