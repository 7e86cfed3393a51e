Feature: Quarantine of prompt parts that crash endpoints
  A part of a prompt may crash every endpoint that begins to respond to it, whatever else the request
  contains. Requests with that part stop; requests that share its other parts, or its team, do not.

  # Guards against requests of one kind that crash endpoint after endpoint because no two are alike.
  Scenario Outline: Requests that share only a crashing part stop reaching endpoints
    Given a site of 2 gateways and 10 model endpoints that crash on the part "dead"
    When 12 requests with the parts "<parts>" arrive at the gateways in turn, each after a sound one
    Then at most 5 endpoints have crashed
    And the last 4 requests with the part got 503 and ran nowhere
    And every sound request after the last crash got 200

    Examples:
      | parts            |
      | top,dead         |
      | top,dead,below   |
      | new-{n},dead     |
      | dead,below-{n}   |

  # Guards against a crashing part that is never kept away, as many others precede it in the prompt.
  Scenario Outline: A part that follows <count> others stops reaching endpoints
    Given a site of 2 gateways and 10 model endpoints that crash on the part "dead"
    When 12 requests with <count> <kind> parts before "dead" arrive at the gateways in turn, each after a sound one
    Then at most 5 endpoints have crashed
    And the last 4 requests with the part got 503 and ran nowhere
    And every sound request after the last crash got 200

    Examples:
      | count | kind   |
      | 69    | shared |
      | 69    | new    |
      | 900   | shared |

  # Guards against a crashing part that is never kept away, as the header field names a length that is
  # no number.
  Scenario: A part of a prompt that is described wrongly stops reaching endpoints
    Given a site of 2 gateways and 10 model endpoints that crash on the part "dead"
    When 12 requests with 3 misdescribed parts before "dead" arrive at the gateways in turn, each after a sound one
    Then at most 5 endpoints have crashed
    And the last 4 requests with the part got 503 and ran nowhere
    And every sound request after the last crash got 200

  # Guards against reports of crashes, or of verdicts, that grow with the parts of prompts.
  Scenario: What gateways tell each other of long prompts is bounded
    When two endpoints crash with 100 requests of 1000 parts each, of which one part is the same
    Then the reports of the crashes have at most 8192 fingerprints
    And the report of the second crash has that part of each request
    And of 200 verdicts of 500 fingerprints a message has at most 8192 fingerprints
    And a verdict of 1001 fingerprints is not written to the store, one of 1000 is

  # Guards against a part that crashes endpoints again after the restart of the routers that knew it.
  Scenario Outline: Requests with a crashing part stay away from endpoints after <what>
    Given a site of 2 gateways and 10 model endpoints that crash on the part "dead"
    And 5 requests with the parts "top,dead" have arrived at the gateways in turn
    When <what>
    And 4 more requests with the parts "top,dead" arrive at the gateways in turn
    Then none of the 4 requests reached an endpoint

    Examples:
      | what                                     |
      | all gateways restart at once             |
      | one gateway restarts                     |
      | one gateway restarts without the store   |
