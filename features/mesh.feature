Feature: Coordination between routers
  Routers connected by real websockets, under faults of routers and of the platform.

  Scenario: A configuration change comes into force at every router
    Given a development deployment "centre" with 4 routers
    When preset "peak" is put in force at the table service
    Then every router has version 2 and preset "peak" in force

  Scenario: A configuration change spreads between routers while the platform is down
    Given a development deployment "centre" with 4 routers
    When preset "peak" is accepted and only router 1 receives it before the platform goes down
    Then every router has version 2 and preset "peak" in force

  Scenario: A router requests the whole configuration when a delta does not apply to its own
    Given a development deployment "centre" with 2 routers
    And router 2 has other content for version 1
    When preset "peak" is accepted and only router 1 receives it before the platform goes down
    Then every router has version 2 and preset "peak" in force

  Scenario: A restarted router serves at once while the platform is down
    Given a development deployment "centre" with 3 routers
    When preset "peak" is put in force at the table service
    And the platform goes down
    And router 2 is replaced
    Then every router has version 2 and preset "peak" in force
    And team "caseworkers" streams a chat through router 2
    And the response is complete, with 16 words

  Scenario: All routers restart at once
    Given a development deployment "centre" with 8 routers
    When all routers are replaced
    Then every router has version 1 and preset "ordinary" in force
    And team "caseworkers" streams a chat through router 8
    And the response is complete, with 16 words

  Scenario: An older configuration never replaces a newer one
    Given a development deployment "centre" with 2 routers
    When preset "peak" is put in force at the table service
    Then every router has version 2 and preset "peak" in force
    When router 1 is offered version 1 again
    Then every router has version 2 and preset "peak" in force

  Scenario: An invalid document comes into force at no router
    Given a development deployment "centre" with 2 routers
    When an invalid document is written as version 2 without validation
    And 2 real seconds pass
    Then every router has version 1 and preset "ordinary" in force
    When preset "peak" is put in force at the table service after version 2
    Then every router has version 3 and preset "peak" in force

  Scenario: locate omits a crashed router until it is replaced
    Given a development deployment "centre" with 3 routers
    When router 3 crashes
    Then locate lists 2 routers
    When router 3 is replaced
    Then locate lists 3 routers

  Scenario: A router in graceful shutdown refuses new callers and completes its streams
    Given a development deployment "centre" with 3 routers
    And engines take 0.02 seconds per word
    When a stream of 40 words runs through router 3 and router 3 is stopped
    Then the stream is one complete response of 40 words
    And router 3 left 0 requests unfinished
    And locate lists 2 routers

  Scenario: A request that crashes engines is refused by every router
    Given a development deployment "centre" with 3 routers
    And engines crash on the text "poison"
    When team "caseworkers" sends the poison text
    Then every router refuses the poison text of team "caseworkers"
    And at most 2 engines have crashed

  Scenario: A leaving endpoint gets no new work
    Given a development deployment "centre" with 2 routers
    When the VM list says that "worker-1" is leaving
    Then no router assigns requests to "worker-1"

  Scenario: Relays forward changes of the VM list, and other routers rarely read it
    Given a development deployment "centre" with 9 routers
    When all routers know which of them are relays
    And the VM list says that "worker-1" is leaving
    Then no router assigns requests to "worker-1"
    And in 3 seconds routers that are not relays read the VM list at most once

  Scenario: A team's limit holds over all routers
    Given a development deployment "centre" with 3 routers
    And team "training" may send 6 requests per second
    When team "training" sends 20 requests per second for 5 seconds through all routers
    Then at most 60 of them were answered
    And at least 20 of them were answered

  Scenario Outline: Of two concurrent changes one is accepted and the other gets a conflict error
    Given a development deployment "centre" with 2 routers
    When two operators change version 1 at once and <answers>
    Then one change is accepted and the other gets a conflict that names the winner
    And a retry of the accepted change returns version 2

    Examples:
      | answers                       |
      | all answers arrive            |
      | the winner's answer is lost   |

  Scenario: A closed peer server does not watch sockets that reuse its descriptor numbers
    Given a peer server that accepted a connection and was closed
    When new sockets reuse its descriptor numbers and their peers reset them
    Then each of them gets an error
