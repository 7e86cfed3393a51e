Feature: A soak of real processes under faults from outside
  `python -m features.soak` draws series of overlapping faults. What it checks must be able to fail.

  Scenario: Short seeded runs keep every promise
    When the soak runs seed 1 with 8 seconds of faults
    Then no promise is broken

  Scenario: Every seed that ever failed is run for as long as it took
    Then the seeds of features/soak_seeds.txt keep every promise

  Scenario: A reload that comes while a gateway is being loaded does not end it
    When a gateway gets SIGHUP from the time it ignores it until it has started
    Then it has started, and lives

  Scenario: A sound history breaks nothing
    Given a history of sound requests
    Then the checker finds nothing

  Scenario Outline: The checker finds what a missing mechanism would do
    Given a history of sound requests
    When <what>
    Then the checker finds "<rule>"

    Examples:
      | what                                                     | rule    |
      | a filing runs at a second endpoint                       | TWICE   |
      | a filing that ran is answered 503                        | REFUSED |
      | an answer is that of another request                     | MIXED   |
      | a stream lacks an event in the middle                    | ORDER   |
      | a stream without its last event looks whole              | ORDER   |
      | a request runs that nobody sent                          | UNASKED |
      | a request runs under another team                        | UNASKED |
      | a request runs with the caller's key                     | UNASKED |
      | a valid request is answered 404                          | DENIED  |
      | a new route is answered 404 long after it was written    | CONFIG  |
      | an answer is cut off while nothing but a stop goes on    | LOST    |
      | a request reaches an endpoint long after it began to leave | DRAIN |
      | requests are repeated without measure                    | BUDGET  |
      | an order bears a lower token than the one before         | ONE     |
      | two routers order under one token                        | ONE     |

  Scenario Outline: The checker does not hold against the system what a fault explains
    Given a history of sound requests
    When <what>
    Then the checker finds nothing

    Examples:
      | what                                                       |
      | an answer is cut off by a kill                             |
      | a request crosses the close of its connection              |
      | a stream goes on from its copy at a second endpoint        |
      | a request reaches a leaving endpoint through a paused router |
      | an order arrives right after its sender was resumed        |
