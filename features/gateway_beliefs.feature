Feature: What a gateway believes
  Nothing that was newer is ever replaced by something older, whoever shows it, and what is not
  known for sure is not acted on as if it were.

  Scenario Outline: An older state never replaces a newer one
    Given the operator's table at version 20 with configuration 7
    When <source> shows the table at version <row> with configuration <version>
    Then configuration <result> is in force

    Examples:
      | source       | row | version | result |
      | a stale read | 15  | 5       | 7      |
      | a stale read | 15  | 9       | 7      |
      | a peer       | 25  | 5       | 7      |
      | a peer       | 25  | 9       | 9      |
      | a feed       | 21  | 8       | 8      |
      | a feed       | 19  | 8       | 7      |

  Scenario: A malformed configuration leaves the former one in force
    Given the operator's table at version 20 with configuration 7
    When a feed shows bytes that are no configuration at version 21
    Then configuration 7 is in force

  Scenario Outline: An entry that disappears
    Given the endpoint "app-1" is known
    And the followed store <state>
    When its entry is removed
    Then it is <now>, and <later> 1.9 seconds later

    Examples:
      | state                  | now  | later |
      | answers                | gone | gone  |
      | is away                | kept | gone  |
      | is back since a moment | kept | gone  |

  Scenario: An entry that lapsed during an outage and comes back is used all the while
    Given the endpoint "app-1" is known
    And the followed store is away
    When its entry is removed
    And its entry appears again after 1.5 seconds
    Then it is kept, and kept 1.9 seconds later

  Scenario: An endpoint that restarts under its identity has nothing of before
    Given the endpoint "lm-1" is known with weights 3 and 5 requests in flight
    When it registers with a later start and weights 2
    Then it has weights 2, no requests in flight and another lifetime

  Scenario Outline: What two routers tell each other does not keep a third one alive
    Given routers "b" and "c" that "a" has heard
    When "c" falls silent and "b" exchanges lists with "a", <how>
    Then "a" names the routers <named>

    Examples:
      | how                              | named |
      | and hears "c" no longer either   | a,b   |
      | while it hears "c" all the time  | a,b,c |

  Scenario: A router that hears nobody goes on naming those that it knew
    Given routers "b" and "c" that "a" has heard
    When all fall silent
    Then "a" names the routers a,b,c

  Scenario: A router that stops is not named
    Given routers "b" and "c" that "a" has heard
    When "c" tells that it stops
    Then "a" names the routers a,b

  Scenario: The age of a version is the longest that any router knows
    Given version 2 of the weights is known here since 1 second
    When a peer tells that it was named 12 seconds ago
    And version 3 is named
    Then version 2 was named before 10 seconds ago, and version 3 was not

  Scenario Outline: A message that is not of a gateway is rejected
    When the message "<hex>" is decoded
    Then it is rejected with a remedy

    Examples:
      | hex        |
      | 00         |
      | ff         |
      | 8261788100 |
      | 82667374617475738 |
      | 82667374617475730 |
      |            |

  Scenario: Messages survive encoding
    Then a status with every field filled is decoded as it was
    And rows with odd bytes are decoded as they were
    And lists of routers and requests for them are decoded as they were

  Scenario Outline: Shares of the retry budget add up
    Given <routers> routers that share a budget of 0.2 a request and 52 in 10 seconds
    When each of them is asked for 100 retries after <requests> requests
    Then together they grant at most what the budget allows, and at least <share> of it

    Examples: Many routers with few requests each grant less, as each rounds down its part
      | routers | requests | share |
      | 1       | 0        | 0.5   |
      | 6       | 0        | 0.5   |
      | 6       | 100      | 0.5   |
      | 80      | 0        | 0     |
      | 80      | 20       | 0.5   |

  Scenario: Changed bytes of a message never cause anything but its rejection
    Then 2000 messages with changed bytes are decoded or rejected
    And 2000 entries, configurations and settings with changed values are decoded or rejected

  Scenario: A router whose clock was set back is heard again after its restart
    Given routers "b" and "c" that "a" has heard
    When "c" starts again with an earlier start time
    Then "a" names the routers a,b,c
