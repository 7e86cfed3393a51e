Feature: Removal of expired answers
  Answers are kept for a day; they are removed after a second one, which covers errors of clocks.

  Scenario Outline: What is removed, and what a repeat gets afterwards
    Given a claim that is <state> with <answer>
    When <hours> hours pass and all shards are swept
    Then the answer is <kept>
    And the claim is still there
    And a repeat of the request gets "<repeat>"

    Examples:
      | state    | answer       | hours | kept    | repeat                |
      | done     | an answer    | 1     | kept    | answer                |
      | done     | an answer    | 25    | kept    | AnswerExpiredError    |
      | done     | an answer    | 49    | removed | AnswerExpiredError    |
      | done     | a long answer | 1    | kept    | answer                |
      | done     | a long answer | 49   | removed | AnswerExpiredError    |
      | unknown  | no answer    | 49    | removed | OutcomeUnknownError   |
      | started  | no answer    | 49    | removed | OutcomeUnknownError   |

  Scenario: A router whose clock is behind does not look for an answer that was swept
    Given a claim that is done with a long answer
    When 49 hours pass and all shards are swept
    And the clock of the router goes back by 49 hours
    Then a repeat of the request gets "AnswerExpiredError"

  Scenario: More rows than one reading returns
    Given 1200 claims that are done with an answer in one shard
    When 49 hours pass and all shards are swept
    Then 1200 answers were removed

  Scenario: Every shard is swept by exactly one of the routers that know each other
    Given sweepers of 8 routers
    Then each of the 256 shards has one of them

  Scenario Outline: A failure of the platform leaves the answer to the next round
    Given a claim that is done with a long answer
    When 49 hours pass and all shards are swept while the <part> fails
    Then the claim is still there
    When 0 hours pass and all shards are swept
    Then the answer is removed

    Examples:
      | part          |
      | table service |
      | object store  |
