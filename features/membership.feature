Feature: Membership of routers
  The protocol is a state machine without I/O, tested on a fake clock and a fake network.

  Scenario Outline: All members discover each other
    Given <count> members in each of <data centres> data centres
    When <seconds> seconds pass
    Then every member considers every other "alive"

    Examples:
      | count | data centres | seconds |
      | 1     | 2            | 10      |
      | 2     | 3            | 20      |
      | 8     | 5            | 60      |

  Scenario Outline: A failed member is considered dead, and a recovered one alive
    Given 3 members in each of 3 data centres that know each other
    When member "dc1-1" is <fault>
    And <seconds> seconds pass
    Then member "dc1-1" is considered "<state>"
    And no other member is considered "dead"

    Examples:
      | fault                                  | seconds | state |
      | killed                                 | 12      | dead  |
      | paused                                 | 12      | dead  |
      | paused for 2 seconds                   | 12      | alive |
      | paused for 15 seconds                  | 30      | alive |
      | killed and restarted with a later clock   | 20   | alive |
      | killed and restarted with an older clock  | 20   | alive |
      | killed for a while and then restarted  | 30      | alive |

  Scenario: Members rejoin after a partition between data centres
    Given 3 members in each of 3 data centres that know each other
    When data centre "dc2" is partitioned off for 30 seconds
    Then members of "dc1" consider member "dc2-0" to be "dead"
    When the partition heals
    And 30 seconds pass
    Then every member considers every other "alive"

  Scenario: Message loss alone makes no member dead
    Given 4 members in each of 2 data centres that know each other
    When 10 in 100 messages are lost
    And 120 seconds pass
    Then no member is considered "dead"

  Scenario: All members replace a dead relay by the same member
    Given 4 members in each of 3 data centres that know each other
    When the first relay of "dc1" is killed
    And 15 seconds pass
    Then all members agree on the relays of "dc1"
    And the killed member is not among them

  Scenario Outline: An update reaches every member in time
    Given <count> members in each of <data centres> data centres that know each other
    When member "dc0-0" has <update>
    And <seconds> seconds pass
    Then every member has <update>

    Examples:
      | count | data centres | update                       | seconds |
      | 2     | 3            | configuration version 5      | 4       |
      | 10    | 5            | configuration version 5      | 4       |
      | 2     | 3            | a quarantined fingerprint    | 4       |
      | 10    | 5            | a quarantined fingerprint    | 6       |
      | 2     | 3            | notice that it is draining   | 4       |

  Scenario: All members detect that many members of a data centre fail at the same time
    Given 40 members in each of 5 data centres that know each other
    When 24 members of data centre "dc0" fail at the same time
    And 20 seconds pass
    Then every other member considers them "dead"

  Scenario Outline: Invalid messages between routers are refused with a typed error
    Then a router's message that is <form> is refused

    Examples:
      | form                    |
      | empty                   |
      | not CBOR                |
      | of another version      |
      | of an unknown type      |
      | without its last field  |
      | with a wrong type       |
      | signed with another key |

  Scenario: Every type of message survives encoding and decoding
    Then each type of message decodes to what was encoded

  Scenario: A configuration delta turns one head into another
    Then deltas of 200 seeded edits produce the edited heads
    And a delta for another base is refused

  Scenario Outline: Shares of a team's limit follow demand and stay below the limit
    Given <routers> routers with demands <demands>
    When each reports to the owner of team "a" for 5 seconds
    Then the shares follow the demands and their sum is at most 1

    Examples:
      | routers | demands     |
      | 2       | 10 10       |
      | 3       | 30 1 1      |
      | 6       | 0 0 5 5 0 50 |

  Scenario: Shares adapt after routers stop reporting and after the owner is replaced
    Given 4 routers with demands 10 10 10 10
    When each reports to the owner of team "a" for 5 seconds
    And routers 3 and 4 send no reports for 4 seconds
    Then the shares of the others grow to at least 0.45
    When the owner is replaced by one without reports
    Then the sum of all shares stays below 1.8
    And the sum is at most 1 after 3 seconds
