Feature: Command line of the operators
  A change is committed by one conditional write and takes effect in every router.

  Background:
    Given a development deployment "centre"

  Scenario: A preset is put in force in every router
    When operator "nino" runs "preset use peak --expect=ordinary"
    Then the command succeeds
    And every router has version 2 and preset "peak" in force

  Scenario Outline: Commands and their exit status
    When operator "<operator>" runs "<command>"
    Then the command exits with <status> and prints "<text>"

    Examples:
      | operator | command                                  | status | text                    |
      | guest    | preset list                              | 0      | * ordinary              |
      | guest    | preset use peak                          | 1      | role 'viewer'           |
      | nobody   | config show                              | 1      | key is not known        |
      | nino     | preset use peak --expect=maintenance     | 3      | found 'ordinary'        |
      | nino     | preset use holiday                       | 1      | 'holiday' is unknown    |
      | nino     | config rollback 7 --yes                  | 1      | no version 7            |
      | nino     | config rollback seven --yes              | 1      | is not a number         |
      | nino     | endpoint drain worker-1                  | 1      | give --yes              |
      | nino     | endpoint drain worker-9 --yes            | 1      | 'worker-9' is unknown   |
      | nino     | config frobnicate                        | 2      | no command              |
      | nino     | status --output=json                     | 0      | "preset": "ordinary"    |
      | nino     | status --output=xml                      | 2      | --output                |
      | nino     | endpoint list                            | 0      | worker-5                |
      | nino     | config check README.md                   | 1      | TOML syntax             |
      | nino     | config check missing.toml                | 1      | missing.toml            |
      | nino     | key digest abc                           | 0      | ba7816bf                |

  Scenario: An endpoint is drained and undrained
    When operator "nino" runs "endpoint drain worker-1 --yes"
    Then no router assigns requests to "worker-1"
    When operator "nino" runs "endpoint undrain worker-1"
    Then every router assigns requests to "worker-1"

  Scenario: After a key rotation the previous key of the team stays valid
    When operator "nino" runs "team rotate-key lawyers --yes --output=json"
    Then requests of team "lawyers" succeed with its old and its new key

  Scenario: History, difference and rollback
    When operator "nino" runs "preset use peak"
    And operator "nino" runs "config diff 1 2"
    Then the command exits with 0 and prints "+preset = "peak""
    When operator "nino" runs "config rollback 1 --yes"
    Then every router has version 3 and preset "ordinary" in force
    When operator "nino" runs "config history"
    Then the command exits with 0 and prints "nino: rollback to version 1"

  Scenario: Direct access to the table service, without a router
    When the command "config history" is run against the table service
    Then the command exits with 0 and prints "first configuration"
    Given the platform will be down
    When the command "config history" is run against the table service
    Then the command exits with 4 and prints "platform"
