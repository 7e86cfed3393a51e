Feature: A table service that comes back restored from an older copy
  A restored service has lost the rows written since the copy, and gives out their versions again.

  # Guards against versions of a restored table that are taken for older ones.
  Scenario Outline: Versions of a later era are greater than all earlier ones
    Then number <number> of era <era> is greater than number <lower> of era <earlier>

    Examples:
      | number        | era     | lower         | earlier |
      | 1             | 1       | 1099511627775 | 0       |
      | 0             | 2       | 7             | 1       |
      | 1099511627775 | 8388607 | 1099511627774 | 8388607 |

  Scenario Outline: An era or a number out of range is rejected
    Then number <number> of era <era> is rejected

    Examples:
      | number        | era     |
      | 1099511627776 | 0       |
      | -1            | 0       |
      | 1             | 8388608 |
      | 1             | -1      |

  Scenario: A restored table has lost later rows and gives out their versions in a new era
    Given a table whose row was written 3 times, copied after the first time
    When the table is restored from the copy
    Then the row has its first value, and a version greater than any before
    And a write that expects a version from before the restore conflicts

  # Guards against a second holder of a lease whose row a restore took back to an older state.
  Scenario Outline: A contender waits as long as the holder believes, whatever row the restore shows
    Given two contenders for a lease of 9 seconds
    And a copy of their table in which there is <row>
    When contender 1 acquires the lease
    And contender 1 is paused
    And their table is restored from the copy
    Then contender 2 holds the lease 8 seconds later: no
    And contender 2 holds the lease 3 seconds later: yes
    And the fencing token of contender 2 is higher

    Examples:
      | row                                           |
      | no row                                        |
      | no row, as contender 2 saw long ago           |
      | a row that contender 2 released               |
      | a row of contender 2                          |
      | a row of a third contender                    |
      | a row of a third contender, seen for a while  |

  # Guards against a lease that its holder loses to a restore, and orders that stop for its duration.
  Scenario Outline: A holder whose row is lost writes it again at once, with a higher token
    Given two contenders for a lease of 9 seconds
    And a copy of their table in which there is <row>
    When contender 1 acquires the lease
    And their table is restored from the copy
    Then contender 1 keeps the lease for 30 seconds, first with a higher token
    And contender 1 and contender 2 never hold it at the same time

    Examples:
      | row                             |
      | no row                          |
      | a row that contender 2 released |
      | a row of contender 2            |
      | a row of a third contender      |

  # Guards against a wait that is counted from a read which began before the restore.
  Scenario: A restore during a contender's read does not shorten its wait
    Given two contenders for a lease of 9 seconds
    And a copy of their table in which there is no row
    When contender 1 acquires the lease and the table is restored while contender 2 reads for 6 seconds
    And contender 1 is paused
    Then contender 2 holds the lease 8 seconds later: no
    And contender 2 holds the lease 3 seconds later: yes

  # Guards against a lease that is free to others although its release was lost with the restore.
  Scenario: A release that the restored table does not know takes nobody's lease
    Given two contenders for a lease of 9 seconds
    And a copy of their table in which there is a row of contender 2
    When contender 1 acquires the lease
    And their table is restored from the copy
    And contender 1 releases the lease of the era before
    Then contender 2 holds the lease 8 seconds later: no
    And contender 2 holds the lease 3 seconds later: yes

  # Guards against a malformed row that ends the task which reads it.
  Scenario Outline: A malformed row of a lease is a logged error of the platform
    Given two contenders for a lease of 9 seconds
    And the lease's row holds <bytes>
    Then contender 1 cannot acquire it, and the log names the row

    Examples:
      | bytes        |
      | ff           |
      | 18           |
      | 83616101f6   |
      | 8101         |
      | 820161       |
      | 8261616161   |
      | 826161f5     |
      | 05           |
      | 62c328       |
      | a0           |

  # Guards against a router that new routers no longer find in the store after a restore.
  Scenario Outline: A router registers again in a restored store, and only then
    Given a router whose row is in the table, and a copy <copied>
    When the table is restored from the copy
    Then the router's row is back after a tick
    And further ticks write nothing

    Examples:
      | copied                               |
      | from before it registered            |
      | with its row from an earlier process |
      | from after it registered             |

  # Guards against routers that are gone and come back with the restore as if they served.
  Scenario: Rows of removed routers that a restore brings back are known as not ready, and forgotten
    Given a router whose row is in the table, and a copy with the row of a router that left
    When the table is restored from the copy
    Then the router that left is known as not ready, and forgotten when it stays silent

  # Guards against a part that crashes endpoints again after a restore and a restart of all routers.
  Scenario Outline: Verdicts that a restore has lost are written again
    Given a router that <follows> the store, with an own verdict, one of another router and one that ended
    When the table is restored from a copy without them
    Then these verdicts are in the table again: <verdicts>

    Examples:
      | follows          | verdicts       |
      | follows          | own and other  |
      | does not follow  | own            |

  # Guards against a verdict that ends too soon because a restore brought back an earlier, shorter one.
  Scenario: A verdict replaces a shorter one that a restore has brought back
    Given a router that follows the store, with an own verdict, one of another router and one that ended
    When the table is restored from a copy with a shorter own verdict
    Then a router that starts learns both verdicts in force, with their ends

  # Guards against a client that takes versions of a restored service for those of before.
  Scenario: A client learns the era from responses, and its stale writes change nothing
    Given a table service over HTTP whose row was written 3 times, copied after the first time
    When the table service is restored from the copy
    Then a write that expects the last version is ambiguous or conflicts, and so do later ones
    And the client reads the first value with a version greater than any before

  # Guards against an insertion that counts as done although the client did not know of a restore.
  Scenario: An insertion whose response shows a later era is ambiguous
    Given a table service over HTTP whose row was written 3 times, copied after the first time
    When the table service is restored from the copy
    Then an insertion of another row is ambiguous, and its repeat conflicts

  Scenario Outline: A malformed era is an error of the platform
    Given a table service over HTTP whose row was written 3 times, copied after the first time
    When the service sends the era "<era>"
    Then reads and writes of the client fail with an error of the platform

    Examples:
      | era                    |
      | -1                     |
      | x                      |
      | ²                      |
      | 9999999                |
      | 99999999999999999999   |

  # Guards against a repeat that runs because a restore has lost the claim of its first run.
  Scenario Outline: A filing whose claim a restore has lost does not run again
    Given a development deployment "centre" with 3 routers
    And a copy of the platform's table
    When team "caseworkers" submits a filing with key "k1"
    Then the status is 200
    When the platform's table is restored from the copy
    And team "caseworkers" submits a filing with key "k1" through router <router> for 4 seconds
    Then the outcome is "<outcome>"
    And the number of executed filings is 1
    And team "caseworkers" gets 200 for key "k1" through router 2 within 20 seconds
    And the number of executed filings is 1
    And a filing with a new key runs within 20 seconds

    Examples:
      | router | outcome |
      | 1      | ran     |
      | 2      | ran     |

  # Guards against a configuration that a restore takes back, and changes to it that come into force nowhere.
  Scenario: A router writes a configuration again that a restore has lost, and later changes continue above it
    Given a router with configuration 3 in force, and a copy of the table with configuration 1
    When the table is restored from the copy
    And the router polls the configuration
    Then configuration 3 is the newest in the table
    And a change of version 1 fails with a conflict that names version 3
    And a change of version 3 is accepted as version 4
