"""Endpoint health at one router: ejection, restarts and requests that crash endpoints."""

from collections.abc import Callable, Set

from bronzemux import (
    cache_store,
    errors,
    fleet,
    logs,
    messages,
    metrics,
    prefix_index,
    quarantine,
    requests,
)
from bronzemux import clock as clocks

# Slightly longer than the poll interval, after which the next load report is due.
REFUSAL_PAUSE_SECONDS = 0.3
MAX_LOST_ATTEMPTS = 1_000
LOST_ATTEMPT_SECONDS = 30.0


class Health:
    """Health of the endpoints; owned by the dispatcher.

    Args:
      endpoints: State of the endpoints.
      index: Prefix index.
      cache_store_tracker: Exports to the KV cache store.
      suspects: Suspected and quarantined fingerprints.
      running: Assignments in progress, by endpoint and request id.
      meters: Metrics of the router.
      clock: Source of time.
      on_quarantine: Called with newly quarantined fingerprints.
      prefilling: Request id and endpoint of each attempt whose response has not begun.

    Attributes:
      lost_attempts: Attempts that broke off, as in a crash, and the monotonic seconds of that, by
        endpoint and request id.
    """

    def __init__(
        self,
        endpoints: fleet.Fleet,
        index: prefix_index.PrefixIndex,
        cache_store_tracker: cache_store.CacheStoreTracker,
        suspects: quarantine.Quarantine,
        running: dict[str, dict[str, messages.Assignment]],
        meters: metrics.Metrics,
        clock: clocks.Clock,
        on_quarantine: Callable[[tuple[str, ...]], None],
        prefilling: Set[tuple[str, str]] = frozenset(),
    ):
        self.fleet = endpoints
        self.index = index
        self.cache_store_tracker = cache_store_tracker
        self.quarantine = suspects
        self.running = running
        self.meters = meters
        self.clock = clock
        self.on_quarantine = on_quarantine
        self.prefilling = prefilling
        self.repeats = logs.RepeatFilter(clock)
        self.lost_attempts: dict[str, dict[str, tuple[quarantine.LostRequest, float]]] = {}

    def record_failure(self, message: messages.AttemptEnded, has_begun: bool) -> None:
        """Record a failed attempt; eject or pause the endpoint if it caused the failure.

        Args:
          message: The end of the attempt.
          has_begun: Whether a part of the response had arrived.
        """
        error, assignment = message.error, message.assignment
        name = assignment.endpoint.name
        self.meters.attempt_failures.labels(type(error).__name__).inc()
        if isinstance(error, errors.EndpointRejectedError | errors.EndpointAbandonedError):
            return
        now = self.clock.monotonic()
        if isinstance(error, errors.EndpointRefusedError):
            self.fleet.pause(name, now + REFUSAL_PAUSE_SECONDS)
            return
        is_unreachable = isinstance(error, errors.EndpointUnreachableError)
        if self.fleet.record_failure(name, now, is_unreachable):
            logs.event("endpoint_ejected", "warning", endpoint=name, cause=type(error).__name__)
        if not is_unreachable:
            self._record_lost_attempt(assignment, has_begun, now)

    def record_pause(self, message: messages.AttemptEnded) -> bool:
        """Grant the pause that an endpoint asked for in its response; a malformed one is logged.

        Args:
          message: The end of the attempt.

        Returns:
          Whether it asked for a pause.
        """
        name, seconds = message.assignment.endpoint.name, message.pause_seconds
        if seconds is None:
            self.repeats.event("endpoint_notice_malformed", name, endpoint=name)
            return False
        if not seconds:
            return False
        self.fleet.grant_pause(name, seconds, self.clock.monotonic())
        self.repeats.event("endpoint_paused", name, "info", endpoint=name, asked=seconds)
        return True

    def _record_lost_attempt(
        self, assignment: messages.Assignment, has_begun: bool, now: float
    ) -> None:
        """Record an attempt that broke off; its request is suspected if the endpoint is dead."""
        request, name = assignment.request, assignment.endpoint.name
        lost_attempts = self.lost_attempts.setdefault(name, {})
        lost = _lost_request(request, has_begun, assignment.assigned_at)
        lost_attempts[request.metadata.id] = (lost, now)
        while len(lost_attempts) > MAX_LOST_ATTEMPTS:
            del lost_attempts[next(iter(lost_attempts))]

    def update_incarnation(self, name: str, incarnation: str) -> None:
        """Record the incarnation that an endpoint reported; a new one has an empty cache."""
        state = self.fleet.states.get(name)
        previous = state.incarnation if state else ""
        if self.fleet.update_incarnation(name, incarnation, self.clock.monotonic()):
            logs.event("endpoint_returned", endpoint=name, incarnation=incarnation)
            self.record_death(name, previous)

    def record_death(self, name: str, incarnation: str) -> None:
        """Drop the cache entries of a dead incarnation, and suspect the requests that it ran."""
        self.index.forget(name)
        self.cache_store_tracker.record_death(incarnation)
        now = self.clock.monotonic()
        lost_attempts = self.lost_attempts.pop(name, {}).values()
        lost = [item for item, at in lost_attempts if now - at < LOST_ATTEMPT_SECONDS]
        lost += [
            _lost_request(
                assignment.request,
                (request_id, name) not in self.prefilling,
                assignment.assigned_at,
            )
            for request_id, assignment in self.running.get(name, {}).items()
        ]
        verdicts = self.quarantine.record_crash(name, incarnation, lost, now)
        newly_quarantined = [member for verdict in verdicts for member in verdict.members]
        if newly_quarantined:
            self.meters.quarantined.inc(len(newly_quarantined))
            logs.event("quarantined", "warning", fingerprints=",".join(newly_quarantined))
            self.on_quarantine(tuple(newly_quarantined))


def _lost_request(
    request: requests.Request, has_begun: bool, sent_at: float
) -> quarantine.LostRequest:
    """Return what a crash tells about a request that it interrupted.

    A response that had begun shows that the endpoint does not crash on the beginning of the prompt.
    """
    fingerprints = (request.fingerprint,) if has_begun else request.fingerprints
    return quarantine.LostRequest(fingerprints, sent_at)
