Feature: Relays between many routers
  Many routers exchange messages through relays, the two of each data centre with the most CPU
  capacity. The routers with high capacity are the strong ones, the others the weak ones. These
  scenarios simulate the messages between routers without a network.

  Scenario: All routers discover each other, and only relays follow the store
    Given 24 routers in 3 data centres, of which 2 in each are strong
    When the routers run for 4 seconds
    Then each router considers all 24 alive
    And the relays are the strong routers
    When the routers run for 5 seconds
    Then only the relays have followed the store

  Scenario: A configuration reaches all routers through the relays
    Given 24 routers in 3 data centres, of which 2 in each are strong
    When the routers run for 4 seconds
    And configuration 2 is written for the routers
    And the routers run for 0.5 seconds
    Then configuration 2 is in force at all routers

  Scenario Outline: Routers that die are considered dead, whatever their role
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, <who> die
    And the routers run for <seconds> seconds
    Then each router considers exactly the live ones alive

    Examples:
      | who                              | seconds |
      | 3 weak routers                   | 2.5     |
      | one relay                        | 2.5     |
      | both relays of one data centre   | 4.5     |
      | all relays                       | 4.5     |
      | all routers of one data centre   | 4.5     |
      | half of the routers              | 4.5     |

  Scenario: Both relays of a data centre die, and its other routers remain alive to most throughout
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, both relays of one data centre die
    Then for 4.5 seconds no live router is considered dead by most

  Scenario Outline: Membership recovers after a network partition
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, <who> is partitioned from the others for <seconds> seconds
    And the routers run for 3 seconds
    Then each router considers all 24 alive

    Examples:
      | who               | seconds |
      | a weak router     | 6       |
      | a relay           | 6       |
      | a data centre     | 6       |
      | a data centre     | 30      |

  Scenario: All relays are partitioned from the store
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When all relays are partitioned from the store
    And the routers run for 2 seconds
    And configuration 2 is written for the routers
    And the routers run for 1 seconds
    Then configuration 2 is in force at all routers

  Scenario: A restarted router gets the rows from its peers and does not read the store
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, a weak router die
    And the routers run for 3 seconds
    And the router restarts
    And the routers run for 0.5 seconds
    Then the router has the configuration in force
    And the router has not followed the store

  Scenario: Load pattern "many routers": each router counts the load of all
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When each router has 2 requests at one endpoint
    And the routers run for 1 seconds
    Then each router counts 48 requests there
    When the weak routers have no more requests there
    And the routers run for 1 seconds
    Then each router counts 12 requests there

  Scenario: Load pattern "hot prefix": all routers learn within 0.3 seconds who holds a prefix
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When a weak router learns that an endpoint holds a prefix and has new weights
    And the routers run for 0.3 seconds
    Then all routers know both

  Scenario: A restarted router learns weights that the endpoints' entries do not show yet
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    And all routers have known for 10 seconds of weights 2 that an endpoint's entry does not show
    When of the routers, a weak router die
    And the router restarts
    And it reads the endpoint's entry
    And the routers run for 1 seconds
    Then the router knows weights 2

  Scenario: Callers are directed to the strong routers while they suffice, otherwise to all
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    Then callers are directed to the 6 strong routers
    When of the routers, 4 of the strong routers die
    And the routers run for 4.5 seconds
    Then callers are directed to the 20 that are alive

  Scenario: Routers of equal capacity are all advertised, and callers spread over all of them
    Given 300 routers of equal CPU capacity that know each other
    Then the directories of all routers together list all 300

  Scenario: Gossip traffic grows with the data centre, not with the deployment
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When the routers run for 10 seconds
    Then a weak router receives at most 4 KB/s, and none more than 16 KB/s
