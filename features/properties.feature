Feature: Properties over many generated cases
  Seeds are fixed, so that each run gives the same result.

  Scenario: Different teams, models, adapters or weights versions share no cache key
    Then the key chains of 300 generated pairs of identities share no key

  Scenario: Different teams or idempotency keys have different claim keys
    Then the claim keys of 500 generated pairs differ

  Scenario: A key runs at most once although writes are lost, delayed or rejected
    Then the claim state machine finds no key that ran twice

  # Guards against a repeat that runs because a restore has lost the claim of its first run.
  Scenario: A key runs at most once although the table is restored from an older copy
    Then the state machine of claims on a restored table finds no key that ran twice

  Scenario: The state machine of claims on a restored table detects routers that claim keys too early
    Given routers claim keys right after a restore
    Then the state machine of claims on a restored table finds a key that ran twice

  Scenario: The claim state machine detects a release that compares only versions
    Given ambiguous insertions are released without comparing nonces
    Then the claim state machine finds a key that ran twice

  Scenario: Accepted configurations are not changed, lost or duplicated although writes are lost or delayed
    Then the configuration state machine finds no violation

  Scenario: The configuration state machine detects a retry that returns the change of another operator
    Given conflicts are resolved without comparing change identifiers
    Then the configuration state machine finds a violation

  Scenario: A lease has one holder although contenders pause or restart and writes are lost or delayed
    Then the lease state machine finds no violation

  Scenario: The lease state machine detects a contender that takes over too early
    Then the lease state machine finds a violation by a contender that takes over too early

  Scenario: With paused holders, requests run twice under the lock with a TTL of the Ocean paper, but not under the claim
    Then of 2000 seeded requests at least 20 run twice with the lock and none with the claim

  Scenario Outline: Decoders of untrusted bytes raise only their typed error
    Then 500 generated inputs to <decoder> raise only <error>

    Examples:
      | decoder                | error                 |
      | the wire decoder       | WireError             |
      | the sealed frame       | SignatureError        |
      | the answer part        | EndpointProtocolError |
      | the text of a part     | EndpointProtocolError |
      | the configuration head | HeadError             |
      | the event decoder      | EndpointProtocolError |
      | the state decoder      | EndpointProtocolError |
      | the configuration      | ConfigError           |
      | the traffic file       | ConfigError           |
      | the resume token       | InvalidRequestError   |
      | the request body       | InvalidRequestError   |

  Scenario Outline: A document with odd values is rejected with the typed error, or can be used
    Guards against a value that a decoder accepts and that fails where it is used, logged or sent to
    another router.

    Then 100 generated inputs to <decoder> raise only <error>

    Examples:
      | decoder                      | error                    |
      | an endpoint's entry          | DocumentError            |
      | the operator's configuration | DocumentError            |
      | a weights target             | DocumentError            |
      | the settings file            | DocumentError            |
      | a page of the store          | PlatformUnavailableError |
      | a router's message           | GossipError              |
      | a router's registration      | GossipError              |
      | the VM list                  | PlatformError            |
      | a message in the mesh        | WireError                |
      | the state of an engine       | EndpointProtocolError    |
      | the row of a claim           | ClaimRowError            |
      | rows of the table service    | PlatformError            |
      | a scan of the table service  | PlatformError            |
      | the response to a write      | PlatformError            |

  Scenario: The prefix index agrees with a reference model
    Then 200 generated histories of the prefix index agree with a reference model

  Scenario: The fair queue does not let a small team wait behind a large one
    Then a team with 1 request is served before the second request of a team with 1000

  Scenario: Retries stay within the budget
    Then of 1000 requests at 100 per second at most 103 retries are granted

  # Failure: a malformed header field of an endpoint ends a process, or an announcement is misread.
  Scenario: Announcements that an endpoint leaves are decoded as the protocol says
    Then 500 generated header fields announce that an endpoint leaves only as the protocol says

  # Failure: a malformed header field of an endpoint ends a process, or is taken for a long pause.
  Scenario: Pauses that an endpoint asks for are decoded as the protocol says
    Then 1000 generated header fields ask for a pause only as the protocol says
