Feature: Endpoints that announce that they leave, or ask for a pause
  An endpoint says so in its responses. This router heeds it from the first such response on, whatever
  the store says meanwhile.

  Background:
    Given a platform with a configuration
    And the endpoints "app-1" and "app-2" of "app"
    And the model endpoints "lm-1" and "lm-2" of "lm"
    And a gateway

  # Failure: a request reaches a leaving endpoint, which ends while the request runs there.
  Scenario Outline: An endpoint that announces in <response> that it leaves gets no further request
    Given the endpoint "<name>" announces in <response> that it leaves
    When "<name>" has answered a request "POST <path>"
    And 0.15 seconds go by
    And only "<name>" can take the request "POST <path>"
    Then "<name>" received 1 request

    Examples:
      | response                       | name  | path        |
      | a success                      | app-1 | /filing/1   |
      | an error                       | app-1 | /filing/1   |
      | a refusal                      | app-1 | /filing/1   |
      | a misdirection                 | lm-1  | /classify/1 |
      | an interim response            | app-1 | /filing/1   |
      | the head of a stream           | lm-1  | /draft/1    |
      | a response to another request  | app-1 | /filing/1   |

  # Failure: an endpoint was chosen before it announced that it leaves, and gets the request after.
  Scenario: A request that was chosen but not sent does not go to an endpoint that leaves meanwhile
    Given the endpoint "app-1" announces in a success that it leaves
    And connections to "app-1" take 0.4 seconds from the second on
    When "app-1" answers a request "POST /filing/1" while another one connects to it
    Then "app-1" received 1 request
    And every status is 200

  # Failure: the copy of a request's KV cache goes to an endpoint that ends before it is needed.
  Scenario: An endpoint that leaves gets no KV backup
    Given the endpoint "lm-2" announces in a success that it leaves
    When "lm-2" has answered a request "POST /draft/1"
    And requests "POST /draft/2" are sent until "lm-1" has run one
    Then the status is 200 and the response is complete
    And "lm-1" received no request that names an endpoint for a backup

  # Failure: a stream continues at an endpoint that ends before the stream does.
  Scenario: A stream does not continue at an endpoint that announced meanwhile that it leaves
    Given the model endpoints take 0.2 seconds per event
    And the endpoint "lm-1" has the fault "crash-stream"
    When "lm-2" announces that it leaves while "lm-1" runs a request "POST /draft/1" with a backup
    Then "lm-2" receives no further request

  # Failure: requests wait until their deadline although no endpoint can serve them.
  Scenario: While all endpoints of a service leave, requests are refused at once
    Given the endpoint "app-1" announces in a success that it leaves
    And the endpoint "app-2" announces in a success that it leaves
    When "app-1" has answered a request "POST /filing/1"
    And "app-2" has answered a request "POST /filing/1"
    Then the request "POST /filing/1" gets 503 within 1 seconds
    And "app-1" received 1 request
    And "app-2" received 1 request

  # Failure: an old entry makes a leaving endpoint usable again.
  Scenario Outline: What entries say after the announcement: <entries>
    Given the endpoint "app-1" announces in a success that it leaves
    When "app-1" has answered a request "POST /filing/1"
    And the entry of "app-1" becomes "<entries>"
    And only "app-1" can take the request "POST /filing/1"
    Then "app-1" received <count> request

    Examples: An entry that may be older than the announcement
      | entries                          | count |
      | ready heartbeat 1                | 1     |
      | ready heartbeat 0                | 1     |
      | ready heartbeat 2                | 1     |
      | gone, ready heartbeat 1          | 1     |
      | gone, ready heartbeat 2          | 1     |
      | malformed, ready heartbeat 1     | 1     |
      | draining heartbeat 2             | 1     |

    Examples: An entry that is newer
      | entries                                     | count |
      | ready heartbeat 2, ready heartbeat 3        | 2     |
      | draining heartbeat 2, ready heartbeat 3     | 2     |
      | ready heartbeat 1 born 2000                 | 2     |
      | gone, ready heartbeat 1 born 2000           | 2     |

  # Failure: an announcement is forgotten, or not heeded, while the store cannot be read.
  Scenario: An announcement holds while the store is away
    Given the endpoint "app-1" announces in a success that it leaves
    And the store is away
    When "app-1" has answered a request "POST /filing/1"
    And 1 seconds go by
    And only "app-1" can take the request "POST /filing/1"
    Then "app-1" received 1 request

  # Failure: an endpoint that leaves is ordered to load weights that nobody will use.
  Scenario: An endpoint that leaves is not ordered to load weights
    Given the endpoint "lm-1" announces in a success that it leaves
    When "lm-1" has answered a request "POST /draft/1"
    And the operator requests newer weights, and "lm-2" has loaded them
    Then "lm-1" received no order

  # Failure: an announcement in a status report is not heeded, and the endpoint gets a request.
  Scenario: An announcement in a status report binds the router that reads it
    Given the endpoint "lm-1" announces in a success that it leaves
    When the operator requests newer weights, and "lm-2" has loaded them
    And only "lm-1" can take the request "POST /draft/1"
    Then "lm-1" received 0 requests
    And "lm-1" received no order

  # Failure: each heartbeat of each endpoint writes a line into the log.
  Scenario: A heartbeat alone is no change of an entry
    Then entries of an endpoint that differ in their heartbeats are equal, others are not

  # Failure: an endpoint that sheds load gets requests that it has asked not to get.
  Scenario Outline: An endpoint that refuses <how> and asks for a pause of <value> s gets no request in it
    Given the endpoint "app-1" refuses requests <how>, and asks for a pause of "<value>" seconds
    When "app-1" has answered a request "POST /<path>/1"
    And only "app-1" can take requests "POST /status/1", sent for <value> seconds
    Then "app-1" received no second request for <value> seconds
    And "app-1" recovers, and gets a request within 4 seconds

    Examples:
      | how               | value | path   |
      | with a promise    | 1     | filing |
      | with a promise    | 0.6   | status |
      | without a promise | 1     | filing |
      | without a promise | 0.6   | status |

  # Failure: a malformed header field ends a process, or keeps a sound endpoint from serving.
  Scenario Outline: A malformed pause of "<value>" keeps no requests from an endpoint
    Given the endpoint "app-1" refuses requests with a promise, and asks for a pause of "<value>" seconds
    When "app-1" has answered a request "POST /filing/1"
    Then "app-1" recovers, and gets a request within 2 seconds

    Examples:
      | value                         |
      |                               |
      | -1                            |
      | 1,5                           |
      | ²                             |
      | nan                           |
      | inf                           |
      | 1e9                           |
      | 0x10                          |
      | Sat, 05 Dec 2026 02:53:48 GMT |
      | 0                             |

  # Failure: requests wait for endpoints that are known to take none before their deadline.
  Scenario Outline: All endpoints ask for a pause of <value> s: a request with a deadline of <deadline> ms
    Given the endpoint "app-1" refuses requests with a promise, and asks for a pause of "<value>" seconds
    And the endpoint "app-2" refuses requests with a promise, and asks for a pause of "<value>" seconds
    When "app-1" has answered a request "POST /filing/1"
    And "app-2" has answered a request "POST /filing/1"
    And all endpoints work again
    Then a request with a deadline of <deadline> ms gets <status> after <least> to <most> seconds
    And it is told to retry after <low> to <high> seconds

    Examples: Refused at once
      | value | deadline | status | least | most | low | high |
      | 2     | 1500     | 503    | 0     | 0.8  | 0.5 | 2    |
      | 20    | 3000     | 503    | 0     | 0.8  | 18  | 20   |

    Examples: Served after the pause
      | value | deadline | status | least | most | low | high |
      | 1.2   | 3000     | 200    | 0.2   | 2.5  | 0   | 0    |

  # Failure: all requests that waited go to the endpoint at once, and it is overloaded again.
  Scenario: Requests that waited for the end of a pause do not all go at once
    Given the endpoint "app-1" refuses requests with a promise, and asks for a pause of "0.5" seconds
    When "app-1" has answered a request "POST /filing/1"
    And all endpoints work again
    And 30 requests wait for "app-1", which takes 0.1 seconds for each
    Then it received at most 3 requests in the first 0.1 seconds, and all got 200

  # Failure: an endpoint was chosen before it asked for a pause, and gets the request after.
  Scenario: A request that was chosen but not sent does not go to an endpoint that asks for a pause
    Given the endpoint "app-1" refuses requests with a promise, and asks for a pause of "1.5" seconds
    And connections to "app-1" take 0.4 seconds from the second on
    When "app-1" answers a request "POST /filing/1" while another one connects to it
    Then "app-1" received no second request for 1.5 seconds

  # Failure: the copy of a request's KV cache burdens an endpoint that sheds load.
  Scenario: An endpoint that asks for a pause gets no KV backup in it
    Given the endpoint "lm-2" refuses requests with a promise, and asks for a pause of "20" seconds
    When "lm-2" has answered a request "POST /draft/1"
    And requests "POST /draft/2" are sent until "lm-1" has run one
    Then the status is 200 and the response is complete
    And "lm-1" received no request that names an endpoint for a backup

  # Failure: an endpoint gets no requests for good, or many at once after a long time.
  Scenario Outline: After <seconds> s of a pause of <asked> s, <count> requests may be in flight
    Given an endpoint that asked for a pause of <asked> seconds
    When <seconds> seconds pass on its clock
    Then <count> requests may be in flight there

    Examples:
      | asked      | seconds | count |
      | 2          | 0       | 0     |
      | 2          | 1.9     | 0     |
      | 2          | 2       | 1     |
      | 2          | 2.2     | 1     |
      | 2          | 2.3     | 2     |
      | 2          | 3       | 16    |
      | 2          | 4       | any   |
      | 0.25       | 0.25    | 1     |
      | 1000000000 | 59      | 0     |
      | 1000000000 | 60      | 1     |
      | 1000000000 | 62      | any   |

  # Failure: a later and shorter pause ends an earlier and longer one.
  Scenario: The longest of several pauses holds
    Given an endpoint that asked for a pause of 5 seconds
    When it asks for a pause of 1 seconds
    And 4.9 seconds pass on its clock
    Then 0 requests may be in flight there

  # Failure: one malformed header field in each response floods the log.
  Scenario: Malformed header fields of an endpoint are logged at a bounded rate
    Given an endpoint that asked for a pause of 1 seconds
    When it sends 500 responses with a malformed header field within 5 seconds
    Then 1 event "endpoint_notice_malformed" is logged

  # Failure: an endpoint that has restarted is kept waiting for what its predecessor asked.
  Scenario: A pause ends with the incarnation that asked for it
    Given the endpoint "app-1" refuses requests with a promise, and asks for a pause of "30" seconds
    When "app-1" has answered a request "POST /filing/1"
    And the entry of "app-1" becomes "ready heartbeat 1 born 2000"
    Then "app-1" recovers, and gets a request within 2 seconds
