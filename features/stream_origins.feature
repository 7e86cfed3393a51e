Feature: Origins of streams and versions in service in the store
  A stream goes on only at the software version that began it. Routers that did not see it begin read
  that in the store; while only one version has been in service, nothing needs to be stored. The
  longest life of a stream is 11 seconds here.

  # Guards against a router that takes the version in service for the one that began a stream.
  Scenario Outline: A router knows whether one software version began all streams
    When these things happen at the routers: <events>
    Then the version that began all streams is <version>

    Examples: One router
      | events                                                           | version |
      | start A; add e1 v1; wait 1                                       | v1      |
      | start A; add e1 v1; wait 20; add e2 v2; wait 1                   | unknown |
      | start A; add e1 v1; wait 20; add e2 v2; drop e1; wait 10         | unknown |
      | start A; add e1 v1; wait 20; add e2 v2; drop e1; wait 13         | v2      |
      | start A; add e1 v1; wait 20; add e2 v2; wait 1; drop e2; wait 10 | unknown |
      | start A; add e1 v1; wait 20; add e2 v2; wait 1; drop e2; wait 13 | v1      |
      | start A; add e1 v1; wait 20; replace e1 v2; wait 1               | unknown |

    Examples: A router that restarts
      | events                                                                         | version |
      | start A; add e1 v1; wait 20; stop A; start B; wait 1                           | v1      |
      | start A; add e1 v1; wait 20; stop A; drop e1; add e2 v2; start B; wait 1       | unknown |
      | start A; add e1 v1; wait 20; stop A; drop e1; add e2 v2; start B; wait 13      | v2      |
      | start A; add e1 v1; wait 20; add e2 v2; drop e1; wait 1; stop A; start B; wait 1 | unknown |
      | start A; add e1 v1; wait 20; stop A; fail; start B; wait 1                     | unknown |
      | start A; add e1 v1; wait 20; stop A; fail; start B; wait 1; heal; wait 2       | v1      |

    Examples: A router that was not in contact
      | events                                                                        | version |
      | start A; add e1 v1; wait 20; cut A; wait 4                                    | unknown |
      | start A; add e1 v1; wait 20; fail; pause A 4; wait 1                          | unknown |
      | start A; add e1 v1; wait 20; fail; pause A 4; wait 1; heal; wait 2            | v1      |
      | start A; start B; add e1 v1; wait 20; cut A; add e2 v2; wait 4; drop e2; heal A; wait 1 | unknown |

    Examples: A store that was restored from an older copy
      | events                                                                              | version |
      | start A; add e1 v1; wait 20; copy; add e2 v2; wait 1; stop A; drop e2; restore; start B; wait 1 | unknown |
      | start A; add e1 v1; wait 20; copy; add e2 v2; wait 1; stop A; drop e2; restore; start B; wait 13 | v1 |
      | start A; add e1 v1; wait 20; copy; add e2 v2; wait 1; restore; wait 1; drop e2; wait 1; stop A; start B; wait 1 | unknown |
      | start A; add e1 v1; wait 20; restore; wait 1; stop A; start B; wait 1               | v1 |

  # Guards against calls to the store on days with one version, and against origins that are missing
  # when a second version appears.
  Scenario: Origins are stored while more than one version may have begun streams
    When these things happen at the routers: start A; add e1 v1; wait 20; begin r1; wait 1
    Then the store has the origins of no streams
    When these things happen: add e2 v2; wait 1; begin r2; wait 0.5
    Then the store has the origins of the streams r1 and r2
    When these things happen: drop e2; wait 30; begin r3; wait 1
    Then the store has the origins of no streams

  # Guards against callers who wait for what their stream does not depend on, behind new requests, at
  # a router that has just started.
  Scenario: A stream whose origin is stored goes on before the router has read the versions in service
    When these things happen at the routers: start A; add e1 v1; add e2 v2; wait 5; begin r1; wait 1; start B
    Then a caller that resumes the stream r1 goes on at v1 without waiting

  # Guards against streams that cannot go on because a write of too many origins is refused for ever.
  Scenario: Origins of streams that begin at once are stored in as many writes as it takes
    When these things happen at the routers: start A; add e1 v1; add e2 v2; wait 5; flood 35; wait 3
    Then the store has the origins of 35 streams
    When these things happen: drop e2; wait 30
    Then the store has the origins of no streams

  # Guards against streams that cannot go on after the store has lost what was written to it.
  Scenario: Origins that a restore of the store has lost are written again
    When these things happen at the routers: start A; add e1 v1; add e2 v2; wait 5; copy; begin r1; wait 1; restore; wait 1
    Then the store has the origins of the streams r1

  # Guards against rows that stay for good when their router is lost.
  Scenario: Rows of a router that has ended are removed by another one
    When these things happen at the routers: start A; start B; add e1 v1; add e2 v2; wait 5; begin r1; wait 1; stop A; wait 400
    Then the store has the origins of no streams

  # Guards against a task that repeats a write for ever whose response was lost.
  Scenario: A write that took effect although its response was lost counts
    When these things happen at the routers: start A; add e1 v1; add e2 v2; wait 5; lose; begin r1; begin r2; wait 5
    Then the store has the origins of the streams r1 and r2
    And 3 seconds later the routers have made no more transactions

  # Guards against a router that stops or guesses when another writer leaves an odd row.
  Scenario Outline: A malformed row is skipped
    When these things happen at the routers: start A; add e1 v1; wait 20; stop A; write <row>; start B; wait 1
    Then the version that began all streams is <version>
    And the origin of the stream odd is not known

    Examples:
      | row                | version |
      | software/lm ff     | unknown |
      | software/app 8000  | v1      |
      | stream/odd 84      | v1      |

  # Guards against streams that break before their origin is stored, as it waits for those before.
  Scenario: Origins of streams that begin soon after each other are stored at once
    When these things happen at the routers: start A; add e1 v1; add e2 v2; crowd 194; wait 5; slow 0.01; begin r1; wait 0.25; begin r2; wait 0.25; begin r3; wait 0.25; begin r4; wait 0.25
    Then the store has the origins of the streams r1 and r2 and r3 and r4

  # Guards against new origins that wait because the removal of old ones has used up the writes.
  Scenario: Old origins are removed in the writes of new ones
    When these things happen at the routers: start A; add e1 v1; add e2 v2; wait 5
    Then a router with 60 new streams in 60 seconds makes at most 62 transactions

  # Guards against routers that together exceed the writes that the store takes.
  Scenario: Writes of many routers are limited while the store is slow
    When these things happen at the routers: start A; add e1 v1; add e2 v2; crowd 194; wait 5; slow 0.4
    Then a router with 100 new streams in 10 seconds makes at most 9 transactions
