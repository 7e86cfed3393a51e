Feature: Usage caps of teams over all routers
  A cap of 290,000 units a second with a burst of the same, at 90 routers.

  # The pattern: one team sends seven times its usual for 6 s, and nearly all of it to two routers.
  Scenario Outline: A team near its cap gets what it is owed, and no more, wherever its callers are
    Given 90 routers that <charge>
    When a team sends <usual> of its cap, and 7 times as much for 6 s, with <share> of it at two routers
    Then in no window more is used than the deployment tolerates: <is bounded>
    And less than 2 % of what the team is owed is refused: <is served>

    Examples: Borrowing serves both; the simpler ways fail at one
      | charge                         | usual | share | is bounded | is served |
      | borrow from an owner           | 0.5   | 0.9   | yes        | yes       |
      | borrow from an owner           | 0.5   | 0.02  | yes        | yes       |
      | borrow from an owner           | 0.95  | 0.9   | yes        | yes       |
      | grant an equal share each      | 0.5   | 0.9   | yes        | no        |
      | keep a bucket of the cap each  | 0.5   | 0.02  | no         | yes       |

  Scenario: Small requests do not starve large ones at the cap
    Given 90 routers that borrow from an owner
    When requests of 900 and of 9,000 units of a team arrive at 5 times its cap for 10 s
    Then the admitted fraction of the large ones is at least half of that of the small ones

  Scenario: Refused requests are told when there is room, spread over time
    Given 90 routers that borrow from an owner
    When requests of 900 and of 9,000 units of a team arrive at 5 times its cap for 10 s
    Then no 0.1 s has more than a tenth of the times at which the refused may come again

  Scenario: Grants stay within the cap although messages are lost, late or doubled and owners change
    Then the state machine of usage caps finds no violation

  Scenario Outline: The state machine of usage caps detects faulty ways to grant
    Then the state machine of usage caps finds a violation with <fault>

    Examples:
      | fault                              |
      | a bucket of the cap at each router |
      | new owners whose bucket is full    |

  Scenario Outline: A failure costs no more than the deployment tolerates
    Given 90 routers that borrow from an owner
    When a team sends at 5 times its cap for 20 s, and after 8 s <failure>
    Then in no window more is used than the deployment tolerates: yes
    And from second 12 on, at least <percent> % of the cap is used

    Examples:
      | failure                                          | percent |
      | its owner ends and another begins                | 95      |
      | its owner ends and another begins 1.25 s later   | 95      |
      | two owners serve half of the routers for 0.5 s   | 95      |
      | 3 routers reach no owner                         | 90      |
      | 30 routers are cut off from all others           | 90      |
      | all routers and the owner restart                | 95      |
      | every second message is doubled                  | 95      |
      | every tenth message is lost                      | 85      |

  Scenario: A lowered cap binds at once
    Given 90 routers that borrow from an owner
    When a team sends at 5 times its cap for 20 s, and after 8 s the cap is lowered to a tenth
    Then from second 9 on, no window has more than the lowered cap and what is tolerated beyond it

  Scenario: An owner that was paused begins with an empty bucket
    Given 90 routers that borrow from an owner
    When the owner is paused for 5 s
    Then the owner grants nothing at once, and a tenth of a second of the rate after that time

  Scenario: Units of requests that no endpoint executed are given back
    Given a fleet of 6 routers with a cap of 10000 units a second for the team "clerks"
    When router "a1" charges 5 requests of 1,000 units and none is executed
    Then router "a1" can charge 9 requests of 1,000 units at once

  Scenario: An isolated router grants its own small share only
    Given a fleet of 6 routers with a cap of 10000 units a second for the team "clerks"
    When router "a1" is cut off from all others for 5 s
    Then router "a1" charges at most 8,000 units within 3 s

  Scenario: In a fleet with relays every capped team has one owner, also after that one crashed
    Given a fleet of 24 routers with a cap of 10000 units a second for the team "clerks"
    Then exactly one router keeps the cap, and router "a1" can charge 5 requests of 1,000 units
    When the owner of the cap crashes and 3 s pass
    Then exactly one router keeps the cap, and router "a1" can charge 5 requests of 1,000 units

  Scenario: A request over the cap gets 429, the others are served
    Given a gateway with a cap of 1000 units a second for the team "clerks"
    When the team sends 30 requests of 110 units to it, one after the other
    Then at least 9 are served and at least 9 get 429 with a Retry-After of 0.1 to 10 s
    And the log of a refusal names the cap, its owner and the age of its last answer

  Scenario: Without caps in the configuration there are no messages about them
    Given a fleet of 6 routers without caps
    Then within 5 s no message about usage is sent, and every request is charged nothing

  Scenario Outline: A cap that is no valid one is rejected with the field
    Then a configuration whose team has <fields> is rejected with "<message>"

    Examples:
      | fields                                       | message    |
      | {"rate_per_s": -1}                           | rate_per_s |
      | {"rate_per_s": "9"}                          | rate_per_s |
      | {"rate_per_s": 9, "burst": -1}               | burst      |
      | {"rate_per_s": 9, "unit": "byte"}            | unit       |
      | {"rate_per_s": 9, "uncached_tokens": 1.5}    | uncached_tokens |

  Scenario: Caps are decoded with their unit; a rate of 0 is none
    Then caps are decoded as the platform's pages say
