Feature: Replicated state and membership of a gateway
  Older state never replaces newer state, whatever its source. Uncertain information is not treated
  as certain: an entry removed around a store outage may reappear, and a router that another one
  lists may be dead.

  Scenario Outline: An older state never replaces a newer one
    Given the operator's table at version 20 with configuration 7
    When <source> delivers the table at version <row> with configuration <version>
    Then configuration <result> is in force

    Examples:
      | source       | row | version | result |
      | a stale read | 15  | 5       | 7      |
      | a stale read | 15  | 9       | 7      |
      | a peer       | 25  | 5       | 7      |
      | a peer       | 25  | 9       | 9      |
      | a feed       | 21  | 8       | 8      |
      | a feed       | 19  | 8       | 7      |

  Scenario: A malformed configuration is rejected and the previous one stays in force
    Given the operator's table at version 20 with configuration 7
    When a feed delivers bytes that are not a configuration at version 21
    Then configuration 7 is in force

  Scenario Outline: An endpoint whose entry is removed around a store outage is kept for a while
    Given the endpoint "app-1" is known
    And the followed store <state>
    When its entry is removed
    Then it is <now>, and <later> 1.9 seconds later

    Examples:
      | state                  | now  | later |
      | answers                | gone | gone  |
      | is unavailable         | kept | gone  |
      | has just recovered     | kept | gone  |

  Scenario: An endpoint whose entry expires during a store outage and reappears stays in use
    Given the endpoint "app-1" is known
    And the followed store is unavailable
    When its entry is removed
    And its entry appears again after 1.5 seconds
    Then it is kept, and kept 1.9 seconds later

  Scenario: An endpoint that restarts under the same identity keeps no earlier state
    Given the endpoint "lm-1" is known with weights 3 and 5 requests in flight
    When it registers with a later start and weights 2
    Then it has weights 2, no requests in flight and another incarnation

  Scenario Outline: Rosters that two routers exchange do not keep a dead third one alive
    Given routers "b" and "c" from which "a" has received messages
    When "c" stops sending and "b" exchanges rosters with "a", <how>
    Then "a" advertises the routers <named>

    Examples:
      | how                                    | named |
      | without messages from "c" either       | a,b   |
      | while "b" still gets messages from "c" | a,b,c |

  Scenario: A router that receives no messages keeps advertising the known routers
    Given routers "b" and "c" from which "a" has received messages
    When all stop sending
    Then "a" advertises the routers a,b,c

  Scenario: A router that shuts down is not advertised
    Given routers "b" and "c" from which "a" has received messages
    When "c" announces that it is shutting down
    Then "a" advertises the routers a,b

  Scenario: The age of a weights version is the greatest that any router reports
    Given version 2 of the weights has been known here for 1 second
    When a peer reports that it was requested 12 seconds ago
    And version 3 is requested
    Then version 2 was requested more than 10 seconds ago, and version 3 was not

  Scenario Outline: Bytes that are not a gateway message are rejected
    When the message "<hex>" is decoded
    Then it is rejected with a remedy

    Examples:
      | hex               |
      | 00                |
      | ff                |
      | 8261788100        |
      | 82667374617475738 |
      | 82667374617475730 |
      |                   |

  Scenario: Messages are unchanged after encoding and decoding
    Then a status with every field set decodes to an equal status
    And rows with arbitrary bytes decode to equal rows
    And rosters and requests for rosters and rows decode to equal messages

  Scenario Outline: The routers' shares of the retry budget stay within the budget
    Given <routers> routers that share a budget of 0.2 retries per request plus 52 in 10 seconds
    When each of them attempts 100 retries after <requests> requests
    Then together they grant at most what the budget allows, and at least <share> of it

    Examples: Many routers with few requests grant less in total, as each rounds its share down
      | routers | requests | share |
      | 1       | 0        | 0.5   |
      | 6       | 0        | 0.5   |
      | 6       | 100      | 0.5   |
      | 80      | 0        | 0     |
      | 80      | 20       | 0.5   |

  Scenario: Corrupted messages and documents are decoded or rejected, and cause no other error
    Then 2000 messages with changed bytes are decoded or rejected
    And 2000 entries, configurations and settings with changed values are decoded or rejected

  Scenario: A router that restarts after its clock was set back is considered alive again
    Given routers "b" and "c" from which "a" has received messages
    When "c" restarts with an earlier start time
    Then "a" advertises the routers a,b,c
