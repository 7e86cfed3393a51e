"""What endpoints ask of this router in their responses: nothing new, or a pause.

An endpoint that announces that it leaves gets nothing new from this router. The announcement does
not depend on the store: it binds at once, and entries that may be older than it do not undo it.

An endpoint that asks for a pause gets no request until its end, and then only a few at first.
Orders and status reports are not requests: they take no slot, and new weights have a time limit of
their own.
"""

import math
from collections.abc import Iterable

from bronzemux import clock as clocks
from bronzemux import logs, records
from bronzemux.gateway import meters, model

# Longest pause. An endpoint that asks for more is asked again after this time, with one request.
MAX_PAUSE_SECONDS = 60.0
# After a pause, the number of requests that may be in flight starts at one and doubles in this
# time, which is several round trips: a refusal of the first request comes before the second.
RAMP_DOUBLING_SECONDS = 0.25
# Time after a pause from which on the number is not limited. By then it exceeds the slots of any
# endpoint.
RAMP_SECONDS = 2.0
# Callers wait at most this fraction of their time left before they try again, however long they are
# told to wait.
MAX_RETRY_AFTER_FRACTION = 1 / 3


@records.state
class Notices:
    """What one incarnation of an endpoint has asked of this router.

    Attributes:
      is_leaving: Whether it has announced that it leaves.
      newest_heartbeats: Most heartbeats that any of its entries has counted.
      has_later_entry: Whether an entry has arrived since its last announcement that counts more
        heartbeats than those before. That entry itself may have been written before the
        announcement, but those that count more were not.
      paused_until: Monotonic seconds at which its last pause ends or ended.
      unlimited_from: Monotonic seconds from which on its requests in flight are not limited.
    """

    is_leaving: bool = False
    newest_heartbeats: int = 0
    has_later_entry: bool = False
    paused_until: float = -math.inf
    unlimited_from: float = -math.inf

    def pause(self, until: float) -> None:
        """Record a pause; an earlier one may have been longer, and holds as well."""
        self.paused_until = max(self.paused_until, until)
        self.unlimited_from = self.paused_until + RAMP_SECONDS

    def is_kept(self) -> bool:
        """Return whether the endpoint has asked for anything."""
        return self.is_leaving or self.paused_until > -math.inf

    def withdrawal(self, now: float) -> str:
        """Return why the endpoint must not get a request that was meant for it, empty if it may."""
        if self.is_leaving:
            return "leaving"
        return "paused" if now < self.paused_until else ""

    def max_in_flight(self, now: float) -> float:
        """Return how many requests of this router may be in flight at the endpoint."""
        if now < self.paused_until:
            return 0
        if now >= self.unlimited_from:
            return math.inf
        return int(2 ** ((now - self.paused_until) / RAMP_DOUBLING_SECONDS))

    def announce_leaving(self) -> bool:
        """Record an announcement that the endpoint leaves; return whether it is the first."""
        was_leaving = self.is_leaving
        self.is_leaving, self.has_later_entry = True, False
        return not was_leaving

    def apply_entry(self, entry: model.Endpoint) -> None:
        """Withdraw the announcement if an entry written after it says that the endpoint is ready.

        Args:
          entry: Entry of the same incarnation.
        """
        if entry.heartbeats <= self.newest_heartbeats:
            return
        self.newest_heartbeats = entry.heartbeats
        if not self.is_leaving:
            return
        if self.has_later_entry and not entry.is_draining:
            self.is_leaving = False
            logs.event(
                "endpoint_stays", id=entry.id, service=entry.service, heartbeats=entry.heartbeats
            )
        self.has_later_entry = True


def record_leaving(state) -> bool:
    """Record an announcement that an endpoint leaves; return whether it is the first.

    Args:
      state: `endpoints.EndpointState` of the incarnation that was connected to.
    """
    if not state.notices.announce_leaving():
        return False
    endpoint = state.endpoint
    logs.event(
        "endpoint_leaving",
        id=endpoint.id,
        service=endpoint.service,
        address=endpoint.address,
        heartbeats=state.notices.newest_heartbeats,
        running=state.in_flight,
    )
    return True


class NoticeRecorder:
    """Records what endpoints ask for in their responses.

    Args:
      clock: Source of time.
      metrics: Metrics.
    """

    def __init__(self, clock: clocks.Clock, metrics: meters.GatewayMetrics):
        self.clock = clock
        self.meters = metrics
        self.repeats = logs.RepeatFilter(clock)

    def record_head(self, state, head: model.ResponseHead) -> None:
        """Record what holds for any response of an endpoint, whichever request it belongs to.

        Args:
          state: `endpoints.EndpointState` of the incarnation that was connected to.
          head: Head of its response; also that of an interim response.
        """
        endpoint = state.endpoint
        if head.malformed_fields:
            self.meters.notices.labels("malformed").inc()
            self.repeats.event(
                "endpoint_notice_malformed",
                endpoint.incarnation,
                id=endpoint.id,
                service=endpoint.service,
                fields=",".join(head.malformed_fields),
                status=head.status,
            )
        if head.is_leaving and record_leaving(state):
            self.meters.notices.labels("leaving").inc()

    def record_pause(self, state, head: model.ResponseHead) -> None:
        """Record the pause for which a response to a request of this router asks, if it does.

        Args:
          state: `endpoints.EndpointState` of the endpoint.
          head: Head of its response.
        """
        if not head.pause_seconds:
            return
        endpoint = state.endpoint
        seconds = min(head.pause_seconds, MAX_PAUSE_SECONDS)
        state.notices.pause(self.clock.monotonic() + seconds)
        self.meters.notices.labels("pause").inc()
        self.repeats.event(
            "endpoint_paused",
            endpoint.incarnation,
            "info",
            id=endpoint.id,
            service=endpoint.service,
            asked=head.pause_seconds,
            seconds=seconds,
            running=state.in_flight,
        )


def shortest_pause(states: Iterable, now: float) -> float | None:
    """Return the seconds until the first pause ends, None unless all endpoints have a pause.

    Args:
      states: `endpoints.EndpointState` of the endpoints of a service.
      now: Monotonic seconds.
    """
    pauses = [state.notices.paused_until - now for state in states if not state.is_suspected]
    shortest = min(pauses, default=0.0)
    return shortest if shortest > 0 else None


def should_wait(pause: float, objective_at: float, deadline_at: float, now: float) -> bool:
    """Return whether a request is better off waiting for the end of a pause than refused.

    It is when it can still meet its objective, or when its caller would wait no longer by itself.
    Otherwise the caller is told at once, and may try another router, of which the endpoints may not
    have asked for a pause.

    Args:
      pause: Seconds until the end of the pause.
      objective_at: Monotonic seconds at which the latency objective passes.
      deadline_at: Monotonic seconds of the deadline.
      now: Monotonic seconds.
    """
    longest = max(objective_at - now, MAX_RETRY_AFTER_FRACTION * (deadline_at - now))
    return pause <= longest
