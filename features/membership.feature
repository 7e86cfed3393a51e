Feature: Membership of routers
  A machine without I/O, proved on a fake clock with a fake network.

  Scenario Outline: All members learn of each other
    Given <count> members in each of <data centres> data centres
    When <seconds> seconds pass
    Then every member knows every other as "alive"

    Examples:
      | count | data centres | seconds |
      | 1     | 2            | 10      |
      | 2     | 3            | 20      |
      | 8     | 5            | 60      |

  Scenario Outline: Faults of a member
    Given 3 members in each of 3 data centres that know each other
    When member "dc1-1" is <fault>
    And <seconds> seconds pass
    Then member "dc1-1" is known as "<state>"
    And no other member is known as "dead"

    Examples:
      | fault                                  | seconds | state |
      | killed                                 | 12      | dead  |
      | paused                                 | 12      | dead  |
      | paused for 2 seconds                   | 12      | alive |
      | paused for 15 seconds                  | 30      | alive |
      | killed and restarted with a later clock   | 20   | alive |
      | killed and restarted with an older clock  | 20   | alive |
      | killed for a while and then restarted  | 30      | alive |

  Scenario: A partition between data centres heals
    Given 3 members in each of 3 data centres that know each other
    When data centre "dc2" is cut off for 30 seconds
    Then members of "dc1" know member "dc2-0" as "dead"
    When the partition heals
    And 30 seconds pass
    Then every member knows every other as "alive"

  Scenario: Lost messages alone kill nobody
    Given 4 members in each of 2 data centres that know each other
    When 10 in 100 messages are lost
    And 120 seconds pass
    Then no member is known as "dead"

  Scenario: A relay that dies is replaced by the same member everywhere
    Given 4 members in each of 3 data centres that know each other
    When the first relay of "dc1" is killed
    And 15 seconds pass
    Then all members agree on the relays of "dc1"
    And none of them is the killed one

  Scenario Outline: News is everywhere in time
    Given <count> members in each of <data centres> data centres that know each other
    When member "dc0-0" has <news>
    And <seconds> seconds pass
    Then every member has <news>

    Examples:
      | count | data centres | news                         | seconds |
      | 2     | 3            | configuration version 5      | 4       |
      | 10    | 5            | configuration version 5      | 4       |
      | 2     | 3            | a condemned fingerprint      | 4       |
      | 10    | 5            | a condemned fingerprint      | 6       |
      | 2     | 3            | notice that it is draining   | 4       |

  Scenario: Many members of a data centre that die at once are known everywhere
    Given 40 members in each of 5 data centres that know each other
    When 24 members of data centre "dc0" die at once
    And 20 seconds pass
    Then every other member holds them for dead

  Scenario Outline: Messages between routers that cannot be read are refused with a typed error
    Then a router's message that is <form> is refused

    Examples:
      | form                    |
      | empty                   |
      | not CBOR                |
      | of another version      |
      | of an unknown kind      |
      | short of a field        |
      | with a wrong type       |
      | sealed with another key |

  Scenario: Every kind of message survives encoding
    Then each kind of message decodes to what was encoded

  Scenario: A configuration difference leads from one head to the other
    Then differences of 200 seeded edits lead to the edited heads
    And a difference that does not fit is refused

  Scenario Outline: Shares of a team's limit follow demand and stay below the limit
    Given <routers> routers with demands <demands>
    When each reports to the home of team "a" for 5 seconds
    Then the shares follow the demands and their sum is at most 1

    Examples:
      | routers | demands     |
      | 2       | 10 10       |
      | 3       | 30 1 1      |
      | 6       | 0 0 5 5 0 50 |

  Scenario: Shares after routers are lost and the home is new
    Given 4 routers with demands 10 10 10 10
    When each reports to the home of team "a" for 5 seconds
    And routers 3 and 4 fall silent for 4 seconds
    Then the shares of the others grow to at least 0.45
    When the home is replaced by one that knows nothing
    Then the sum of all shares stays below 1.8
    And the sum is at most 1 after 3 seconds
