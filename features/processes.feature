Feature: Real router processes
  Several bronzemux-router processes on loopback, started by the tests.

  Scenario: A change is in force in all, and lost and paused routers do no harm
    Given stand-ins of "centre" and 3 router processes
    When operator "nino" runs "preset use peak" at process 1
    Then all processes report version 2 and preset "peak"
    When process 3 is killed
    Then process 1 holds "vm-3" for dead
    And a chat through process 2 gives a whole answer
    When process 2 is paused until process 1 holds "vm-2" for dead
    And operator "nino" runs "preset use ordinary" at process 1
    And process 2 goes on
    Then all processes but 3 report version 3 and preset "ordinary"

  Scenario: Routers that are cut off from one another serve on, and find one another again
    Given stand-ins of "centre" and 3 router processes behind links
    When all links are cut
    Then every process holds all others for dead
    And a chat through each process gives a whole answer
    When operator "nino" runs "preset use peak" at process 1
    Then all processes report version 2 and preset "peak"
    When all links work again
    Then every process holds all others for alive
    When the platform goes down for good and process 3 is started anew
    Then all processes report version 2 and preset "peak"

  Scenario: A planned stop cuts no request and exits with 0
    Given stand-ins of "centre" and 2 router processes
    And engines take 0.05 seconds a word
    When a stream of 40 words runs through process 1 and it gets SIGTERM
    Then the stream was whole
    And process 1 exits with 0

  Scenario: At the limit a planned stop names what it left
    Given stand-ins of "centre" and 2 router processes
    And engines take 0.2 seconds a word
    When a stream of 200 words runs through process 1 and it gets SIGTERM
    Then process 1 exits with 1
    And its log says "left_requests=1"

  Scenario: A second signal ends at once and names what is left
    Given stand-ins of "centre" and 2 router processes
    And engines take 0.2 seconds a word
    When a stream of 200 words runs through process 1 and it gets SIGTERM twice
    Then process 1 exits with 1
    And its log says "router_cut"
    And its log says "left_requests=1"

  Scenario: A router started while the platform is down is configured by its peers
    Given stand-ins of "centre" and 2 router processes
    When the platform goes down for good and a third process starts
    Then all processes report version 1 and preset "ordinary"
    And a chat through process 3 gives a whole answer

  Scenario: A router that is paused past its lease during a rollout gives no order that harms
    Given stand-ins of "centre" and 4 router processes
    And engines take 2 seconds to load weights
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes" at process 1
    And the process that leads the rollout in "tbilisi-2" is paused during its first order
    Then the lease of "tbilisi-2" goes to another process
    And every engine has version "2026-12" and it is in force
    When the paused process goes on
    Then every engine still has version "2026-12" 3 seconds later
    And no engine took an order with a lower fencing token after a higher one
    And at most 2 engines loaded weights at once

  Scenario: A router that is paused while a filing runs does not let it run again
    Given stand-ins of "centre" and 2 router processes
    And case services of the processes take 1 second
    When a filing runs through process 1, which is paused past every lease
    Then a repeat through process 2 is told that the outcome is "unknown"
    When the paused process goes on
    Then a repeat through process 2 is told that the outcome is "ran" in the end
    And the number of executed filings is 1
