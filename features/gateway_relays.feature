Feature: Many routers
  Routers beyond a handful talk through relays, the strongest two of each data centre. What is
  played here is what they tell each other, without a network.

  Scenario: All find each other, and only relays follow the store
    Given 24 routers in 3 data centres, of which 2 in each are strong
    When the routers run for 4 seconds
    Then each router holds all 24 for alive
    And the relays are the strong ones
    When the routers run for 5 seconds
    Then only the relays have followed the store

  Scenario: A configuration reaches everyone through the relays
    Given 24 routers in 3 data centres, of which 2 in each are strong
    When the routers run for 4 seconds
    And configuration 2 is written for the routers
    And the routers run for 0.5 seconds
    Then configuration 2 is in force at all routers

  Scenario Outline: Routers that die are held for dead, whoever they were
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, <who> die
    And the routers run for <seconds> seconds
    Then each router holds just those that live for alive

    Examples:
      | who                              | seconds |
      | 3 weak routers                   | 2.5     |
      | one relay                        | 2.5     |
      | both relays of one data centre   | 4.5     |
      | all relays                       | 4.5     |
      | all routers of one data centre   | 4.5     |
      | half of the routers              | 4.5     |

  Scenario: Both relays of a data centre die, and the others of it stay named all the while
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, both relays of one data centre die
    Then for 4.5 seconds no living router is held for dead by most

  Scenario Outline: A cut heals
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, <who> is cut off from the others for <seconds> seconds
    And the routers run for 3 seconds
    Then each router holds all 24 for alive

    Examples:
      | who               | seconds |
      | a weak router     | 6       |
      | a relay           | 6       |
      | a data centre     | 6       |
      | a data centre     | 30      |

  Scenario: Relays are cut from the store
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When all relays are cut from the store
    And the routers run for 2 seconds
    And configuration 2 is written for the routers
    And the routers run for 1 seconds
    Then configuration 2 is in force at all routers

  Scenario: A router that restarts is served by its peers and does not read the store
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When of the routers, a weak router die
    And the routers run for 3 seconds
    And the router starts again
    And the routers run for 0.5 seconds
    Then the router has the configuration in force
    And the router has not followed the store

  Scenario: Load pattern "many routers": the loads that each believes in are those of all
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When each router has 2 requests at one endpoint
    And the routers run for 1 seconds
    Then each router believes in 48 requests there
    When the weak routers have none there any more
    And the routers run for 1 seconds
    Then each router believes in 12 requests there

  Scenario: Load pattern "hot prefix": who holds a prefix is known to all within a moment
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When a weak router finds out that an endpoint holds a prefix, and has new weights
    And the routers run for 0.3 seconds
    Then all routers know of both

  Scenario: A router that starts hears of weights that the endpoints' entries do not show yet
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    And all know since 10 seconds of weights 2 that an endpoint's entry does not show
    When of the routers, a weak router die
    And the router starts again
    And it reads the endpoint's entry
    And the routers run for 1 seconds
    Then the router knows of weights 2

  Scenario: Callers are told of the strong routers while they suffice, otherwise of all
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    Then callers are told of the 6 strong routers
    When of the routers, 4 of the strong routers die
    And the routers run for 4.5 seconds
    Then callers are told of the 20 that live

  Scenario: Routers of one strength are all named, and callers spread over all of them
    Given 300 routers of one strength that know each other
    Then the directories of all together name all 300

  Scenario: What routers tell each other grows with the data centre, not with the deployment
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When the routers run for 10 seconds
    Then a weak router receives at most 4 KB/s, and none more than 16 KB/s
