"""Endpoint health at one router: ejection, restarts and requests that crash endpoints."""

from collections.abc import Callable

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
      running: Running requests, by endpoint and request id.
      meters: Metrics of the router.
      clock: Source of time.
      on_quarantine: Called with newly quarantined fingerprints.

    Attributes:
      lost_attempts: Fingerprint and monotonic seconds of attempts that broke off, as in a crash, by
        endpoint and request id.
    """

    def __init__(
        self,
        endpoints: fleet.Fleet,
        index: prefix_index.PrefixIndex,
        cache_store_tracker: cache_store.CacheStoreTracker,
        suspects: quarantine.Quarantine,
        running: dict[str, dict[str, requests.Request]],
        meters: metrics.Metrics,
        clock: clocks.Clock,
        on_quarantine: Callable[[tuple[str, ...]], None],
    ):
        self.fleet = endpoints
        self.index = index
        self.cache_store_tracker = cache_store_tracker
        self.quarantine = suspects
        self.running = running
        self.meters = meters
        self.clock = clock
        self.on_quarantine = on_quarantine
        self.lost_attempts: dict[str, dict[str, tuple[str, float]]] = {}

    def record_failure(self, message: messages.AttemptEnded) -> None:
        """Record a failed attempt; eject or pause the endpoint if it caused the failure."""
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
            self._record_lost_attempt(name, assignment.request, now)

    def _record_lost_attempt(self, name: str, request: requests.Request, now: float) -> None:
        """Record an attempt that broke off; its request is suspected if the endpoint is dead."""
        lost_attempts = self.lost_attempts.setdefault(name, {})
        lost_attempts[request.metadata.id] = (request.fingerprint, now)
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
        fingerprints = {
            fingerprint for fingerprint, at in lost_attempts if now - at < LOST_ATTEMPT_SECONDS
        }
        fingerprints |= {request.fingerprint for request in self.running.get(name, {}).values()}
        newly_quarantined = self.quarantine.record_crash(name, incarnation, fingerprints, now)
        if newly_quarantined:
            self.meters.quarantined.inc(len(newly_quarantined))
            logs.event("quarantined", "warning", fingerprints=",".join(newly_quarantined))
            self.on_quarantine(tuple(newly_quarantined))
