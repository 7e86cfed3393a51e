Feature: Endpoints that cannot be reached, or that fail although they report to be healthy
  One failed connection keeps the requests of all routers away; probes find out when the endpoint is
  back.

  Scenario: An endpoint that refuses connections gets no requests until a probe reaches it
    Given an endpoint that refuses connections for 2 seconds
    When a connection of a request fails
    Then it gets no request, and is probed at most 6 times in 2 seconds
    And it gets requests again within 3 seconds

  Scenario: Several connections that fail at once are announced once
    Given an endpoint that refuses connections for 2 seconds
    When 5 connections of requests fail
    Then the listeners are notified once, and 5 failures are counted

  Scenario: After a lost packet an endpoint gets requests again once a probe reaches it
    Given an endpoint that refuses connections for 0 seconds
    When a connection of a request fails
    Then it gets requests again within 0.1 seconds

  Scenario Outline: Load pattern "dark endpoints": silent attempts do not wait for their deadline
    Given an endpoint that does not answer connections for 10 seconds
    And an attempt under way there, which <hears>
    When a connection of a request fails
    And 0.5 seconds pass for the probes
    Then the attempt is <at first>
    When 1.5 seconds pass for the probes
    Then the attempt is <state>

    Examples:
      | hears                                  | at first  | state     |
      | hears nothing since a second           | ended     | ended     |
      | hears nothing since a tenth of a second | under way | ended     |
      | goes on hearing events                 | under way | under way |

  Scenario: The probes of a removed endpoint end
    Given an endpoint that refuses connections for 60 seconds
    When a connection of a request fails
    And its entry is removed from the table
    Then the probes end

  Scenario: Load pattern "false health": failures that one router met keep the others away
    Given 3 plain endpoints
    When another router reports 4 failures at endpoint 1
    Then the next 20 requests go to other endpoints

  Scenario: Failures and suspected endpoints reach all of many routers
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When a weak router meets 3 failures at an endpoint, and cannot connect to it
    And the routers run for 1 seconds
    Then all routers count at least 2 failures there, and probe it
