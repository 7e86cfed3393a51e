Feature: Endpoints that cannot be reached, or that fail although they report that they are healthy
  After one failed connection, no router sends the endpoint requests until a probe connects to it.

  Scenario: An endpoint that refuses connections gets no requests until a probe reaches it
    Given an endpoint that refuses connections for 2 seconds
    When a connection of a request fails
    Then it gets no request, and is probed at most 6 times in 2 seconds
    And it gets requests again within 3 seconds

  Scenario: Several connections that fail at once are announced only once
    Given an endpoint that refuses connections for 2 seconds
    When 5 connections of requests fail
    Then the listeners are notified once, and 5 failures are counted

  Scenario: After a lost packet an endpoint gets requests again once a probe reaches it
    Given an endpoint that refuses connections for 0 seconds
    When a connection of a request fails
    Then it gets requests again within 0.1 seconds

  Scenario Outline: Load pattern "dark endpoints": attempts there do not wait for their deadline
    Given an endpoint that does not answer connections for 10 seconds
    And an attempt in progress there, which <receives>
    When a connection of a request fails
    And 0.5 seconds pass for the probes
    Then the attempt is <first>
    When 1.5 seconds pass for the probes
    Then the attempt is <later>

    Examples:
      | receives                              | first       | later       |
      | has received nothing for 1 second     | aborted     | aborted     |
      | has received nothing for 0.1 seconds  | in progress | aborted     |
      | continues to receive events           | in progress | in progress |

  Scenario: The probes of a removed endpoint end
    Given an endpoint that refuses connections for 60 seconds
    When a connection of a request fails
    And its entry is removed from the table
    Then the probes end

  Scenario: Load pattern "false health": failures at one router keep the requests of the others away
    Given 3 plain endpoints
    When another router reports 4 failures at endpoint 1
    Then the next 20 requests go to other endpoints

  Scenario: Failures and suspected endpoints are announced to all of many routers
    Given 24 routers in 3 data centres, of which 2 in each have high capacity
    And the routers run for 4 seconds
    When a low-capacity router has 3 failures at an endpoint, and cannot connect to it
    And the routers run for 1 seconds
    Then all routers count at least 2 failures there, and probe it
