Feature: Responses of engines with several software versions
  Engines of several software versions may serve one model. What two versions write does not fit
  together, so a response goes on only at the version that began it, or it ends.

  Background:
    Given a development deployment "centre"

  # Guards against a text that two software versions wrote because an engine was lost.
  Scenario Outline: A stream goes on at an engine of the software that began it
    Given the engine of a prompt and 1 more run software "<software>", all others "<other>"
    And the engine of the prompt will <fault>
    When the prompt is streamed
    Then the streamed text is complete
    And only engines of software "<software>" ran it, 2 of them

    Examples:
      | fault                     | software | other |
      | crash after 5 parts       | v1       | v2    |
      | crash after 5 parts       | v2       | v1    |
      | go silent, then crash     | v1       | v2    |
      | stay silent after 5 parts | v1       | v2    |
      | crash after 5 parts       | none     | v1    |
      | crash after 5 parts       | v1       | none  |

  # Guards against a caller that waits until its deadline for an engine that is not there.
  Scenario Outline: A stream ends at once when all other engines run other software
    Given the engine of a prompt and 0 more run software "<software>", all others "<other>"
    And the engine of the prompt will <fault>
    When the prompt is streamed
    Then the stream ends with the error "outcome_unknown" after at most 4 seconds
    And only engines of software "<software>" ran it, 1 of them
    And the counter "retries" of router 1 is 0

    Examples:
      | fault                     | software | other |
      | crash after 5 parts       | v1       | v2    |
      | go silent, then crash     | v1       | v2    |
      | stay silent after 5 parts | v1       | v2    |
      | crash after 5 parts       | none     | v1    |
      | crash after 5 parts       | v1       | none  |

  # Guards against a failed request of which the caller has received nothing yet.
  Scenario Outline: A response that is not streamed begins anew when all other engines run other software
    Given the engine of a prompt and 0 more run software "<software>", all others "<other>"
    And the engine of the prompt will crash after 5 parts
    When the prompt is sent, and the response is not streamed
    Then the whole text was written by software "<other>"

    Examples:
      | software | other |
      | v1       | v2    |
      | none     | v1    |

  # Guards against a caller that waits on after the engine that it waited for has crashed.
  Scenario: A stream that waits for an engine of its software ends when that engine crashes
    Given the engine of a prompt and 1 more run software "v1", all others "v2"
    And the engine of the prompt will crash after 5 parts
    And the other engine refuses requests and asks for a pause of 15 seconds
    And the other engine crashes 1 second after it refused a request
    When the prompt is streamed
    Then the stream ends with the error "outcome_unknown" after at most 4 seconds
    And only engines of software "v1" ran it, 1 of them

  # Guards against a stream that an outage of all engines ends, and a mixed text after it.
  Scenario Outline: A stream waits in an outage of all engines for the software that began it
    Given the engine of a prompt and 0 more run software "v1", all others "v2"
    And all other engines have crashed
    And the engine of the prompt will crash after 5 parts
    And the engine of the prompt restarts with "<software>" 1 second after its crash
    When the prompt is streamed
    Then <end>

    Examples:
      | software | end                                                                      |
      | v1       | the streamed text is complete                                            |
      | v2       | the stream ends with the error "outcome_unknown" after at most 6 seconds |

  # Guards against a stream that is broken off because its only other engine refused it for a moment.
  Scenario: A stream goes on at the only other engine of its software after that refused it
    Given the engine of a prompt and 1 more run software "v1", all others "v2"
    And the engine of the prompt will crash after 5 parts
    And the other engine refuses requests for 0.5 seconds after its first refusal
    When the prompt is streamed
    Then the streamed text is complete
    And only engines of software "v1" ran it, 2 of them

  # Guards against a mixed text when the router knows the predecessor of the process that answers.
  Scenario Outline: A stream does not go on at an engine that restarted with other software
    Given the engine of a prompt and <count> more run software "v1", all others "v2"
    And reports of engines reach the routers <delay> seconds late
    And the engine of the prompt will crash after 5 parts
    And <restarted> other engine of software "v1" restarts with "v2" during the stream
    When the prompt is streamed
    Then <end>

    Examples:
      | count | restarted | delay | end                                                                        |
      | 1     | 1         | 1.0   | the stream ends with the error "outcome_unknown" after at most 6 seconds |
      | 2     | 1         | 1.0   | the streamed text is complete                                                     |
      | 4     | 3         | 1.0   | the streamed text is complete                                                     |

  # Guards against an engine that is regarded as faulty because it runs other software.
  Scenario: An engine that restarted with other software keeps serving new requests
    Given the engine of a prompt and 1 more run software "v1", all others "v2"
    And reports of engines reach the routers 1.0 seconds late
    And the engine of the prompt will crash after 5 parts
    And 1 other engine of software "v1" restarts with "v2" during the stream
    When the prompt is streamed
    Then the stream ends with the error "outcome_unknown" after at most 6 seconds
    And no other engine was ejected or tried more than twice, and none still runs the request

  # Guards against a rest of a stream from another process than the one that began it.
  Scenario Outline: A stream cannot be resumed at an engine that restarted with other software
    Given the engine of a prompt and 4 more run software "v1", all others "v2"
    And engines take 0.02 seconds per word
    When a caller of team "caseworkers" reads 5 parts through router 1
    And <event>
    And the engine that runs the stream restarts with software "v2" and the jobs of its predecessor
    And team "caseworkers" resumes the stream with a token that is unchanged
    Then the status is 502 and the error is "outcome_unknown"

    Examples:
      | event                     |
      | router 1 crashes          |
      | all routers are restarted |
