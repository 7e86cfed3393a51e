Feature: Removal of expired responses
  Stored responses expire after a day. They are removed after another day, which allows for clock skew.

  Scenario Outline: Which responses are removed and what a repeat gets afterwards
    Given a claim in state <state> with <response>
    When <hours> hours pass and all shards are swept
    Then the stored response is <kept>
    And the claim still exists
    And a repeat of the request gets "<repeat>"

    Examples:
      | state   | response        | hours | kept    | repeat              |
      | done    | a response      | 1     | kept    | response            |
      | done    | a response      | 25    | kept    | AnswerExpiredError  |
      | done    | a response      | 49    | removed | AnswerExpiredError  |
      | done    | a long response | 1     | kept    | response            |
      | done    | a long response | 49    | removed | AnswerExpiredError  |
      | unknown | no response     | 49    | removed | OutcomeUnknownError |
      | started | no response     | 49    | removed | OutcomeUnknownError |

  Scenario: A router whose clock is behind does not load a response that was removed
    Given a claim in state done with a long response
    When 49 hours pass and all shards are swept
    And the clock of the router is set back by 49 hours
    Then a repeat of the request gets "AnswerExpiredError"

  Scenario: A shard has more rows than one scan returns
    Given 1200 claims in state done with a response in one shard
    When 49 hours pass and all shards are swept
    Then 1200 responses were removed

  Scenario: Routers that know each other sweep each shard exactly once
    Given sweepers of 8 routers
    Then each of the 256 shards belongs to exactly one of them

  Scenario Outline: After a failure of the platform the response is removed in the next round
    Given a claim in state done with a long response
    When 49 hours pass and all shards are swept while the <service> fails
    Then the claim still exists
    When 0 hours pass and all shards are swept
    Then the stored response is removed

    Examples:
      | service       |
      | table service |
      | object store  |
