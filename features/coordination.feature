Feature: Routers that coordinate closely
  Many routers that each send a few requests know the load of the engines only by status messages. An
  engine takes less time for a request than these take, so that several routers choose the same one.
  Where streams are late after a short pause, few routers serve, and exchange messages more often.

  Scenario Outline: <strong> routers of 2.15 cores and <weak> of <cores> with objectives for pauses of <pause> s
    Given <strong> routers of 2.15 cores and <weak> of <cores> that know each other
    And a configuration with an objective for pauses of <pause> s
    Then callers are directed to <advertised> routers
    And a router that serves callers sends a status message each <interval> s

    Examples:
      | strong | weak | cores | pause | advertised | interval |
      | 8      | 62   | 0.516 | 0.4   | 8          | 0.1      |
      | 8      | 62   | 0.516 | 0.3   | 70         | 0.25     |
      | 8      | 62   | 0.516 | 0     | 70         | 0.25     |
      | 3      | 62   | 0.516 | 0.4   | 65         | 0.1      |
      | 8      | 200  | 0.516 | 0.4   | 208        | 0.1      |
      | 6      | 0    | 1.0   | 0.4   | 6          | 0.1      |

  # Guards against callers that are left to too few routers when some of the strong ones are lost.
  Scenario: All routers serve when too few of the strong ones are left
    Given 8 routers of 2.15 cores and 62 of 0.516 that know each other
    And a configuration with an objective for pauses of 0.4 s
    When 3 of the strong routers are lost
    Then callers are directed to 67 routers

  # Guards against a status message that is missed being taken for a router that is lost.
  Scenario: A router counts as alive as long as with less frequent messages
    Given 8 routers of 2.15 cores and 62 of 0.516 that know each other
    And a configuration with an objective for pauses of 0.4 s
    When no messages arrive for 1.2 s
    Then callers are directed to 8 routers
