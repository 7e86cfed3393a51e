Feature: Check of a configuration before it is sent
  Errors are shown all at once with their places, then entries that never match, limits that
  contradict each other, and what differs from the document in force.

  Scenario Outline: A document of the <form> has a finding
    Given a sound document of the <form>
    When <change>
    Then the check ends with status <status> and prints "<text>"

    Examples:
      | form     | change                                        | status | text                                    |
      | product  | nothing changes                               | 0      | configuration is valid                  |
      | product  | a team has no key                             | 5      | teams[0].key_digests: the team has no key |
      | product  | a model has no endpoint                       | 5      | no endpoint serves                      |
      | product  | a deadline ends before the objective          | 5      | ends before the objective               |
      | product  | a preset drains all data centres              | 5      | all endpoints are drained               |
      | product  | a weight is negative                          | 1      | teams[0].weight: found -1               |
      | platform | nothing changes                               | 0      | configuration is valid                  |
      | platform | two routes have one prefix                    | 5      | routes[1]: routes[0] has the same host  |
      | platform | a route leads to an unknown service           | 1      | routes[0]: service 'none' is not in     |
      | platform | an unsafe route allows attempts               | 5      | 3 attempts never happen                 |
      | platform | an objective is later than the timeout        | 5      | the objective of 9 s is later           |
      | platform | a share has no weight                         | 5      | has weight 0 and gets no request        |
      | platform | two teams have one key                        | 1      | one of its keys is also in tenants[0]   |
      | platform | a team has no key                             | 5      | as it has no valid key                  |
      | platform | a service has no route                        | 5      | no route leads to                       |
      | platform | the idle timeout is 0                         | 1      | limit of the idle timeout is 0          |
      | platform | a kind is unknown and a timeout is negative   | 1      | routes[1]: timeout_ms is -1             |
      | platform | the document is no JSON                       | 1      | document: the document is not valid JSON |

  Scenario: Errors in several entries are shown at once
    Given a sound document of the platform
    When a kind is unknown and a timeout is negative
    Then the check ends with status 1 and prints "routes[0]: kind 'fast' is unknown"

  Scenario: Differences from the document in force are shown without keys
    Given a sound document of the platform
    When a team gets another key and a route another timeout
    Then the check ends with status 0 and prints "changed: routes[ask].timeout_ms 5000 to 6000"
    And it prints "changed: tenants[clerks].api_keys: 1 added, 1 removed"
    And it does not print "new-key"
