Feature: Properties over many generated cases
  Seeds are fixed, so that each run gives the same verdict.

  Scenario: No cache key of two teams, models, adapters or weights versions meets
    Then chains of 300 generated pairs of identities share no key

  Scenario: No claim key of two teams or idempotency keys meets
    Then claim keys of 500 generated pairs differ

  Scenario: A claim lets a key run at most once, whatever writes are lost, delayed or refused
    Then the claim machine finds no key that ran twice

  Scenario: The claim machine finds a release that goes by the version alone
    Given ambiguous insertions are released by version
    Then the claim machine finds a key that ran twice

  Scenario: Accepted configurations never change, vanish or appear twice, whatever writes are lost or delayed
    Then the head machine finds nothing wrong

  Scenario: The head machine finds an operator who is told that another's change was his own
    Given conflicts are settled without the change id
    Then the head machine finds something wrong

  Scenario: A lease has one holder, whatever is paused, restarted, lost or delayed
    Then the lease machine finds nothing wrong

  Scenario: The lease machine finds a contender that takes over too early
    Then the lease machine finds something wrong with an impatient contender

  Scenario: The Ocean paper's lock with TTL runs work twice under paused holders, the claim does not
    Then of 2000 seeded requests the lock doubles at least 20 and the claim none

  Scenario Outline: Bytes from outside never raise anything but a typed error
    Then 500 generated inputs to <decoder> raise nothing but <error>

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

  Scenario: The prefix index agrees with a plain model
    Then 200 generated histories of the index agree with a model

  Scenario: The fair queue keeps small teams from waiting behind a large one
    Then a team with 1 request is served before the second of a team with 1000

  Scenario: Retries stay within the budget
    Then of 1000 requests at 100 a second at most 103 retries are granted
