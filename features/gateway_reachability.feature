Feature: Endpoints that cannot be reached, or that fail while they say that they are well
  One request finds out; the others are kept away, on all routers, and probes find out when it is back.

  Scenario: An endpoint that refuses connections gets no requests until a probe reaches it
    Given an endpoint that refuses connections for 2 seconds
    When a connection of a request fails
    Then it gets no request, and is probed at most 6 times in 2 seconds
    And it gets requests again within 3 seconds

  Scenario: Several requests that fail at once are one piece of news
    Given an endpoint that refuses connections for 2 seconds
    When 5 connections of requests fail
    Then the others are told once, and 5 failures are counted

  Scenario: A lost packet keeps an endpoint away for no longer than a probe
    Given an endpoint that refuses connections for 0 seconds
    When a connection of a request fails
    Then it gets requests again within 0.1 seconds

  Scenario Outline: Load pattern "dark endpoints": attempts that hear nothing do not wait for their deadline
    Given an endpoint that answers no connections for 10 seconds
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

  Scenario: An endpoint that is gone is not probed for good
    Given an endpoint that refuses connections for 60 seconds
    When a connection of a request fails
    And its entry is removed from the table
    Then the probes end

  Scenario: Load pattern "false health": what one router met keeps the others away
    Given 3 plain endpoints
    When another router tells of 4 failures at endpoint 1
    Then the next 20 requests go elsewhere

  Scenario: Failures and suspicions reach all of many routers
    Given 24 routers in 3 data centres, of which 2 in each are strong
    And the routers run for 4 seconds
    When a weak router meets 3 failures at an endpoint, and cannot connect to it
    And the routers run for 1 seconds
    Then all routers count at least 2 failures there, and probe it
