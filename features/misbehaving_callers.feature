Feature: Callers that do not behave
  A small crowd of callers sends what a system must expect from clients that it does not control, to
  one gateway process with limits to match. The process lives, stays within its memory, bytes that
  arrived and were not read included, and within its descriptors, and serves an ordinary caller
  beside the crowd and afterwards. A caller of the crowd whose connection is closed comes back.

  Background:
    Given a gateway process with little memory and few descriptors

  Scenario Outline: <count> callers send <manner> to <targets>
    When <count> callers send <manner> to <targets>
    Then an ordinary request is answered beside them
    And an ordinary request is answered after they have left
    And the process lives, and stayed within its memory and descriptors

    Examples: At routes and a path without a route
      | count | manner                                      | targets                       |
      | 48    | bodies short of their end                   | routes                        |
      | 48    | bodies short of their end                   | a path without a route        |
      | 48    | bodies short of their end in small pieces   | routes and a path without one |
      | 48    | chunks of 1 KiB short of the end            | routes and a path without one |
      | 48    | chunks of 1 byte without end                | routes and a path without one |
      | 48    | chunks of 16 KiB without end                | routes and a path without one |
      | 48    | bodies of 1 GiB                             | routes and a path without one |
      | 48    | heads of many short fields                  | routes and a path without one |
      | 48    | prompts of many parts                       | prompts                       |
      | 48    | requests ahead, reading nothing             | routes                        |
      | 48    | requests ahead, reading nothing             | a path without a route        |
      | 48    | heads byte by byte                          | routes and a path without one |
      | 48    | bodies byte by byte                         | routes and a path without one |
      | 48    | requests for long responses, reading slowly | long responses                |
      | 48    | half of a head                              | routes and a path without one |
      | 48    | three quarters of a chunk                   | routes and a path without one |
      | 160   | nothing                                     | routes and a path without one |

    Examples: At the pages of the management
      | count | manner                          | targets                              |
      | 48    | bodies short of their end       | ready, the directory and the metrics |
      | 48    | chunks of 1 byte without end    | ready, the directory and the metrics |
      | 48    | bodies of 1 GiB                 | ready, the directory and the metrics |
      | 48    | heads of many short fields      | ready, the directory and the metrics |
      | 48    | requests ahead, reading nothing | ready, the directory and the metrics |
      | 160   | nothing                         | ready                                |
