Feature: Imports from the KV cache store
  Engines export shared prefixes and import them where that is faster than computing them.

  Scenario: Pieces that a dead engine exported are not offered
    Given a store with 8 pieces of a prompt exported by "worker-1/0"
    Then 8 pieces are offered from "worker-1/0"
    When "worker-1/0" is found dead
    Then 0 pieces are offered
    When a late response reports that "worker-1/0" exported 8 pieces
    Then 0 pieces are offered
    When "worker-1/0", which was only unreachable, reports again
    And "worker-1/0" exports 8 pieces
    Then 8 pieces are offered from "worker-1/0"
    When "worker-1/0" is found dead
    And "worker-1/1" exports 6 pieces
    Then 6 pieces are offered from "worker-1/1"

  Scenario: A prompt with cache keys of another team or weights version is offered no pieces
    Given a store with 8 pieces of a prompt exported by "worker-1/0"
    Then a prompt with other cache keys is offered 0 pieces

  Scenario: The imports of all routers together stay within the rate of the store
    Given 6 routers that know a prefix of 24 pieces at a store of 100000 tokens per second
    When all of them import it as often as allowed for 10 seconds
    Then at most 100000 tokens per second and one burst were imported

  Scenario Outline: The export of a prefix is requested after enough requests, and not again at once
    Given a store to which prefixes are exported after <after> requests
    When <requests> requests with one document and different cases were seen
    Then the next request asks for the export of <pieces> pieces
    And the request after it asks for the export of 0 pieces

    Examples:
      | after | requests | pieces |
      | 1     | 0        | 28     |
      | 2     | 0        | 0      |
      | 2     | 2        | 24     |
      | 3     | 1        | 0      |

  Scenario Outline: An endpoint imports only what is faster to import than to compute
    Given an endpoint that computes <rate> tokens per second and holds <held> of 8 pieces
    When 8 pieces may be imported at 100000 tokens per second
    Then it is expected to import <pieces> pieces, less the fraction assumed to be cached at their home

    Examples:
      | rate   | held | pieces |
      | 10000  | 0    | 8      |
      | 10000  | 5    | 3      |
      | 10000  | 8    | 0      |
      | 200000 | 0    | 0      |

  Scenario: A prefix stays cached at an engine that imported it when the engine that computed it crashes
    Given a development deployment whose engines compute slower than they import
    When prompts with one document are answered until the document is exported
    And the engine that exported it is drained
    And a prompt with this document is answered with imported tokens
    And the engine that exported it crashes
    Then the next prompt with this document is answered with cached tokens
    And no engine imported pieces that the crashed engine exported

  Scenario: Pieces that a crashed engine exported are not imported, though the store still holds them
    Given a development deployment whose engines compute slower than they import
    When prompts with one document are answered until the document is exported
    And the engine that exported it crashes
    Then the next prompt with this document is answered without cached tokens
    And no engine imported pieces that the crashed engine exported

  Scenario: Pieces that the store lost are computed again
    Given a development deployment whose engines compute slower than they import
    When prompts with one document are answered until the document is exported
    And the engine that exported it is drained
    And the store loses all pieces
    And the caches of all engines are cleared
    Then the next prompt with this document is answered without cached tokens
