Feature: Many routers act as one
  Routers over real websockets; faults of routers and of the platform.

  Scenario: A configuration change comes into force at every router
    Given a development deployment "centre" with 4 routers
    When preset "peak" is put in force at the table service
    Then every router has version 2 and preset "peak" in force

  Scenario: A configuration change spreads between routers while the platform is down
    Given a development deployment "centre" with 4 routers
    When preset "peak" is accepted and only router 1 learns of it before the platform goes down
    Then every router has version 2 and preset "peak" in force

  Scenario: A router to whose configuration a delta does not apply gets the whole one
    Given a development deployment "centre" with 2 routers
    And router 2 has other content for version 1
    When preset "peak" is accepted and only router 1 learns of it before the platform goes down
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
    Then locate names 2 routers
    When router 3 is replaced
    Then locate names 3 routers

  Scenario: A stopping router refuses new callers and completes its streams
    Given a development deployment "centre" with 3 routers
    And engines take 0.02 seconds per word
    When a stream of 40 words runs through router 3 and router 3 is stopped
    Then the stream is one whole answer of 40 words
    And router 3 left 0 requests unfinished
    And locate names 2 routers

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
    And team "training" may send 6 requests a second
    When team "training" sends 20 requests a second for 5 seconds through all routers
    Then at most 60 of them were answered
    And at least 20 of them were answered

  Scenario Outline: Of two concurrent changes one is accepted and the other gets a typed conflict
    Given a development deployment "centre" with 2 routers
    When two operators change version 1 at once and <answers>
    Then one change is accepted and the other gets a conflict that names the winner
    And a repeat of the accepted change returns version 2

    Examples:
      | answers                       |
      | all answers arrive            |
      | the winner's answer is lost   |

  Scenario: A closed peer server no longer watches its descriptors
    Given a peer server that accepted a connection and was closed
    When new sockets reuse its descriptor numbers and their peers reset them
    Then each of them gets an error
