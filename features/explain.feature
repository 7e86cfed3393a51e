Feature: The timeline of a request
  The logs alone explain how a request with a given id ended.

  Background:
    Given the logs of the gateways "front-a-1" and "front-b-1"
      """
      front-a-1 time=2026-06-05T10:00:00.000+00:00 level=info event=configuration version=3 row=9 source=store outcome="in force"
      front-a-1 time=2026-06-05T10:00:01.000+00:00 level=info event=configuration version=4 row=12 source=peer outcome="in force"
      front-b-1 time=2026-06-05T10:00:01.500+00:00 level=info event=configuration version=4 row=12 source=store outcome="in force"
      front-a-1 time=2026-06-05T10:00:02.000+00:00 level=warning event=endpoint_unreachable id=i-1 address=10.0.0.1:80 cause="timed out" pause=0.25
      front-b-1 time=2026-06-05T10:00:02.100+00:00 level=info event=order endpoint=i-2/17 version=5 outcome=accepted
      front-a-1 time=2026-06-05T09:50:00.000+00:00 level=info event=endpoint id=i-1 draining=False
      front-a-1 time=2026-06-05T10:00:02.200+00:00 level=info event=request id=other endpoint=i-2 total=0.1 trail="" end=200
      front-a-1 time=2026-06-05T10:00:03.000+00:00 level=info event=request id=abc endpoint=i-2 total=0.9 trail="i-1:unreachable,i-2:silent" end="502 silent"
      front-a-1 time=2026-06-05T09:58:00.000+00:00 level=info event=endpoint_leaving repeats=0 id=i-7 service=app
      front-a-1 time=2026-06-05T10:01:30.000+00:00 level=info event=endpoint_leaving id=i-8 service=app running=2
      front-a-1 time=2026-06-05T10:01:40.000+00:00 level=info event=endpoint_paused repeats=3 id=i-9 service=app asked=30 seconds=30
      front-a-1 time=2026-06-05T10:01:41.000+00:00 level=info event=endpoint_paused repeats=0 id=i-6 service=lm asked=30 seconds=30
      front-b-1 time=2026-06-05T10:01:42.000+00:00 level=info event=endpoint_paused repeats=0 id=i-9 service=app asked=30 seconds=30
      front-a-1 time=2026-06-05T10:02:00.000+00:00 level=info event=request id=def service=app endpoint=none total=0.1 trail="" end="503 all endpoints asked for a pause"
      not a log line at all
      """

  Scenario: The timeline holds the related events in order of time, and no others
    When the request "abc" is explained
    Then the timeline has the events
      | event                | contains                     |
      | configuration        | version=4                    |
      | endpoint_unreachable | cause=timed out              |
      | order                | outcome=accepted             |
      | request              | trail=i-1:unreachable,i-2:silent |

  # Failure: the timeline of a refused request, which had no endpoint, does not tell why.
  Scenario: A request without an endpoint is explained by what the endpoints of its service asked for
    When the request "def" is explained
    Then the timeline has the events
      | event            | contains                           |
      | configuration    | version=4                          |
      | endpoint_leaving | id=i-8                             |
      | endpoint_paused  | id=i-9                             |
      | request          | 503 all endpoints asked for a pause |

  Scenario: A request whose id is in no log line
    When the request "unknown" is explained
    Then there is no timeline, and the remedy is to give the logs of all routers
