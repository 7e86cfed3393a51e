Feature: Real router processes
  Several bronzemux-router processes on loopback, started by the tests.

  Scenario: A change reaches every router, also after one was killed and another was paused
    Given stand-ins of "centre" and 3 router processes
    When operator "nino" runs "preset use peak" at process 1
    Then all processes report version 2 and preset "peak"
    When process 3 is killed
    Then process 1 considers "vm-3" dead
    And a chat request through process 2 returns a complete response
    When process 2 is paused until process 1 considers "vm-2" dead
    And operator "nino" runs "preset use ordinary" at process 1
    And process 2 resumes
    Then all processes except 3 report version 3 and preset "ordinary"

  # Guards against SIGHUP and SIGCONT, which the system sends to a stopped process of an orphaned job.
  Scenario: A paused process stays paused when the shell that started the tests exits
    When a shell starts tests that pause a process, and exits during the pause
    Then the process was still paused, and responded when it resumed

  Scenario: Routers keep serving in a network partition and rejoin after it
    Given stand-ins of "centre" and 3 router processes with interruptible links
    When all links drop traffic
    Then every process considers all others dead
    And a chat request through each process returns a complete response
    When operator "nino" runs "preset use peak" at process 1
    Then all processes report version 2 and preset "peak"
    When all links forward traffic again
    Then every process considers all others alive
    When the platform goes down permanently and process 3 is restarted
    Then all processes report version 2 and preset "peak"

  Scenario: A graceful shutdown finishes running requests and exits with 0
    Given stand-ins of "centre" and 2 router processes
    And engines take 0.05 seconds per word
    When process 1 gets SIGTERM during a stream of 40 words
    Then the stream is complete
    And process 1 exits with 0

  Scenario: A graceful shutdown that exceeds its drain time logs the unfinished requests
    Given stand-ins of "centre" and 2 router processes
    And engines take 0.2 seconds per word
    When process 1 gets SIGTERM during a stream of 200 words
    Then process 1 exits with 1
    And its log contains "left_requests=1"

  Scenario: A second signal ends the process at once and logs the unfinished requests
    Given stand-ins of "centre" and 2 router processes
    And engines take 0.2 seconds per word
    When process 1 gets SIGTERM twice during a stream of 200 words
    Then process 1 exits with 1
    And its log contains "router_cut"
    And its log contains "left_requests=1"

  Scenario: A router started while the platform is down gets the configuration from its peers
    Given stand-ins of "centre" and 2 router processes
    When the platform goes down permanently and a third process starts
    Then all processes report version 1 and preset "ordinary"
    And a chat request through process 3 returns a complete response

  Scenario: Engines accept no stale order of a router that resumes after its rollout lease expired
    Given stand-ins of "centre" and 4 router processes
    And engines take 2 seconds to load weights
    When operator "nino" runs "rollout start statute-7b 2026-12 --yes" at process 1
    And the process that holds the rollout lease of "tbilisi-2" is paused during its first order of version "2026-12"
    Then another process acquires the rollout lease of "tbilisi-2"
    And every engine has version "2026-12" and it is in force
    When the paused process resumes
    Then every engine still has version "2026-12" 3 seconds later
    And no engine accepted an order with a lower fencing token after a higher one
    And at most 2 engines loaded weights at once

  Scenario: A filing is not executed twice when its router is paused during the execution
    Given stand-ins of "centre" and 2 router processes
    And case services of the processes take 1 second
    When process 1 is paused past every lease while a filing runs through it
    Then a retry through process 2 reports the outcome "unknown"
    When the paused process resumes
    Then a retry through process 2 eventually reports the outcome "ran"
    And the number of executed filings is 1
