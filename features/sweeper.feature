Feature: Removal of expired responses
  Stored responses expire after a day. They are removed after another day, which allows for clock skew.

  Scenario Outline: Which responses are removed and what a retry gets afterwards
    Given a claim in state <state> with <response>
    When <hours> hours pass and all shards are swept
    Then the stored response is <kept>
    And the claim still exists
    And a retry of the request gets "<retry>"

    Examples:
      | state   | response      | hours | kept    | retry               |
      | done    | an answer     | 1     | kept    | answer              |
      | done    | an answer     | 25    | kept    | AnswerExpiredError  |
      | done    | an answer     | 49    | removed | AnswerExpiredError  |
      | done    | a long answer | 1     | kept    | answer              |
      | done    | a long answer | 49    | removed | AnswerExpiredError  |
      | unknown | no answer     | 49    | removed | OutcomeUnknownError |
      | started | no answer     | 49    | removed | OutcomeUnknownError |

  Scenario: A router whose clock is behind does not load a response that was removed
    Given a claim in state done with a long answer
    When 49 hours pass and all shards are swept
    And the clock of the router is set back by 49 hours
    Then a retry of the request gets "AnswerExpiredError"

  Scenario: All responses of a shard are removed when it has more rows than one scan returns
    Given 1200 claims in state done with a response in one shard
    When 49 hours pass and all shards are swept
    Then 1200 responses were removed

  Scenario: Routers that know each other sweep each shard exactly once
    Given sweepers of 8 routers
    Then each of the 256 shards belongs to exactly one of them

  Scenario Outline: After a failure of the platform the response is removed in the next round
    Given a claim in state done with a long answer
    When 49 hours pass and all shards are swept while the <service> fails
    Then the claim still exists
    When 0 hours pass and all shards are swept
    Then the stored response is removed

    Examples:
      | service       |
      | table service |
      | object store  |
