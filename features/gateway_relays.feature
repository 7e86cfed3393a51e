Feature: Relays between many routers
  Many routers exchange messages through relays: the two routers of each data centre with the most
  CPU capacity. These scenarios simulate the messages between routers without a network.

  Scenario: All routers discover each other, and three relays in different data centres follow the store
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    When the routers run for 4 seconds
    Then each router considers all 24 alive
    And the relays are the high-capacity routers
    When the routers run for 5 seconds
    Then only 3 relays in different data centres have followed the store

  Scenario: A configuration reaches all routers through the relays
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    When the routers run for 4 seconds
    And configuration 2 is written for the routers
    And the routers run for 0.5 seconds
    Then configuration 2 is in force at all routers

  Scenario Outline: Load pattern "many routers": calls to the store do not grow with the routers
    Given <routers> routers in <places> data centres, of which 2 in each have high capacity
    When the routers run for 4 seconds
    And the routers run for 2 seconds
    Then only 3 relays in different data centres have followed the store

    Examples:
      | routers | places |
      | 195     | 5      |
      | 300     | 5      |

  Scenario Outline: Routers replace the followers of the store that do not reach it
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When these routers are partitioned from the store: <who>
    And the routers run for <seconds> seconds
    And configuration 2 is written for the routers
    And the routers run for 0.7 seconds
    Then configuration 2 is in force at all routers
    And at most <most> routers have followed the store

    Examples:
      | who                      | seconds | most |
      | one follower             | 0.1     | 4    |
      | all followers            | 1.6     | 6    |
      | all followers but one    | 0.1     | 4    |
      | all relays               | 3       | 24   |

  Scenario Outline: Routers replace the followers of the store that crash
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When these routers crash: <who>
    And configuration 2 is written for the routers
    And the routers run for <seconds> seconds
    Then configuration 2 is in force at all routers

    Examples:
      | who           | seconds |
      | one follower  | 0.5     |
      | all followers | 2.0     |
      | all relays    | 3.0     |

  Scenario Outline: Entries that expire in an outage of the store remove no endpoint from any router
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And an endpoint is registered in the store
    And the routers run for 4 seconds
    When the store has an outage of <outage> seconds, in which the entry expires
    And the entry returns 1 second after the outage
    Then no router has removed the endpoint at any moment

    Examples:
      | outage |
      | 0.9    |
      | 4      |

  Scenario Outline: Routers that crash are considered dead, whatever their role
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When these routers crash: <who>
    And the routers run for <seconds> seconds
    Then each router considers exactly the live ones alive

    Examples:
      | who                            | seconds |
      | 3 low-capacity routers         | 2.5     |
      | one relay                      | 2.5     |
      | both relays of one data centre | 4.5     |
      | all relays                     | 4.5     |
      | all routers of one data centre | 4.5     |
      | half of the routers            | 4.5     |

  Scenario: When both relays of a data centre crash, most routers still consider the others alive
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When these routers crash: both relays of one data centre
    Then for 4.5 seconds no live router is considered dead by most of them

  Scenario Outline: Membership recovers after a network partition
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When these routers are partitioned from the others for <seconds> seconds: <who>
    And the routers run for 3 seconds
    Then each router considers all 24 alive

    Examples:
      | who                   | seconds |
      | a low-capacity router | 6       |
      | a relay               | 6       |
      | a data centre         | 6       |
      | a data centre         | 30      |

  Scenario: All relays are partitioned from the store
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When all relays are partitioned from the store
    And the routers run for 2 seconds
    And configuration 2 is written for the routers
    And the routers run for 1 seconds
    Then configuration 2 is in force at all routers

  Scenario: A restarted router gets the rows from its peers and does not read the store
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When these routers crash: a low-capacity router
    And the routers run for 3 seconds
    And the router restarts
    And the routers run for 0.5 seconds
    Then the router has the configuration in force
    And the router has not followed the store

  # Guards against routers that keep an old configuration because a peer that is as old was heard.
  Scenario Outline: <count> restarted routers of a full mesh get a configuration that changes soon after
    Given 15 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When <count> low-capacity routers restart together
    And the routers run for 0.5 seconds
    And configuration 2 is written for the routers
    And the routers run for 1.2 seconds
    Then configuration 2 is in force at all routers

    Examples:
      | count |
      | 1     |
      | 2     |
      | 4     |

  Scenario: Load pattern "many routers": each router counts the load of all
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When each router has 2 requests at one endpoint
    And the routers run for 1 seconds
    Then each router counts 48 requests there
    When the low-capacity routers have no more requests there
    And the routers run for 1 seconds
    Then each router counts 12 requests there

  Scenario: Load pattern "hot prefix": the routers that serve callers know within 0.3 seconds where a prefix is cached
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When a low-capacity router records that an endpoint holds a prefix and has new weights
    And the routers run for 0.3 seconds
    Then the high-capacity routers know both
    When the routers run for 0.3 seconds
    Then all routers know both

  Scenario: Load pattern "hot prefix": a reserve router that serves requests is informed like the others
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When each router has 2 requests at one endpoint
    And the routers run for 1 seconds
    And a low-capacity router records that an endpoint holds a prefix and has new weights
    And the routers run for 0.3 seconds
    Then all routers know both

  Scenario: Messages that only say that a router is alive are rarer for reserve routers
    Given 195 routers in 5 data centres, of which 12 in each have high capacity
    And the routers run for 4 seconds
    When the routers run for 2 seconds
    Then a low-capacity router receives at most 4.5 messages per second

  Scenario: A restarted router gets weights versions that the endpoints' entries do not show yet
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    And all routers have known weights 2 for 10 seconds, which an endpoint's entry does not show
    When these routers crash: a low-capacity router
    And the router restarts
    And it reads the endpoint's entry
    And the routers run for 1 seconds
    Then the router knows weights 2

  Scenario: Callers are directed to the high-capacity routers while these suffice, otherwise to all
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    Then callers are directed to the 6 high-capacity routers
    When these routers crash: 4 of the high-capacity routers
    And the routers run for 4.5 seconds
    Then callers are directed to the 20 that are alive

  Scenario: Routers of equal capacity are all advertised, and callers spread over all of them
    Given 300 routers of equal CPU capacity that know each other
    Then the directories of all routers together list all 300

  Scenario: Gossip traffic grows with the data centre, not with the deployment
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When the routers run for 10 seconds
    Then a low-capacity router receives at most 4 KB/s, and none more than 16 KB/s
