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

REFUSAL_PAUSE_SECONDS = 0.3
MAX_BROKEN_ATTEMPTS = 1_000
BROKEN_ATTEMPT_SECONDS = 30.0


class Health:
    """Health of the endpoints; owned by the dispatcher.

    Args:
      endpoints: State of the endpoints.
      index: Prefix index.
      store: Exports to the KV cache store.
      suspects: Fingerprints suspected of crashing endpoints.
      running: Running requests, by endpoint and request id.
      meters: Metrics of the router.
      clock: Source of time.
      on_quarantine: Called with newly quarantined fingerprints.
    """

    def __init__(
        self,
        endpoints: fleet.Fleet,
        index: prefix_index.PrefixIndex,
        store: cache_store.CacheStoreTracker,
        suspects: quarantine.Quarantine,
        running: dict[str, dict[str, requests.Request]],
        meters: metrics.Metrics,
        clock: clocks.Clock,
        on_quarantine: Callable[[tuple[str, ...]], None],
    ):
        self.fleet = endpoints
        self.index = index
        self.store = store
        self.quarantine = suspects
        self.running = running
        self.meters = meters
        self.clock = clock
        self.on_quarantine = on_quarantine
        self.broken_attempts: dict[str, dict[str, tuple[str, float]]] = {}

    def record_failure(self, message: messages.AttemptEnded) -> None:
        """Record a failed attempt, and eject or pause the endpoint if it is at fault."""
        error, assignment = message.error, message.assignment
        name = assignment.endpoint.name
        self.meters.attempt_failures.labels(type(error).__name__).inc()
        if isinstance(error, errors.EndpointRejectedError | errors.EndpointAbandonedError):
            return
        now = self.clock.monotonic()
        if isinstance(error, errors.EndpointRefusedError):
            self.fleet.pause(name, now + REFUSAL_PAUSE_SECONDS)
            return
        is_dead = isinstance(error, errors.EndpointUnreachableError)
        if self.fleet.record_failure(name, now, is_dead):
            logs.event("endpoint_ejected", "warning", endpoint=name, cause=type(error).__name__)
        if not is_dead:
            self._record_broken_attempt(name, assignment.request, now)

    def _record_broken_attempt(self, name: str, request: requests.Request, now: float) -> None:
        """Remember a request whose attempt failed midway, as a suspect if the endpoint died."""
        broken_attempts = self.broken_attempts.setdefault(name, {})
        broken_attempts[request.metadata.id] = (request.fingerprint, now)
        while len(broken_attempts) > MAX_BROKEN_ATTEMPTS:
            del broken_attempts[next(iter(broken_attempts))]

    def update_incarnation(self, name: str, incarnation: str) -> None:
        """Record the incarnation that an endpoint reported; a new one has an empty cache."""
        state = self.fleet.states.get(name)
        previous = state.incarnation if state else ""
        if self.fleet.update_incarnation(name, incarnation, self.clock.monotonic()):
            logs.event("endpoint_returned", endpoint=name, incarnation=incarnation)
            self.record_death(name, previous)

    def record_death(self, name: str, incarnation: str) -> None:
        """Drop the cache entries of a process that died, and suspect the requests that it ran."""
        self.index.forget(name)
        self.store.record_death(incarnation)
        now = self.clock.monotonic()
        broken_attempts = self.broken_attempts.pop(name, {}).values()
        fingerprints = {
            fingerprint for fingerprint, at in broken_attempts if now - at < BROKEN_ATTEMPT_SECONDS
        }
        fingerprints |= {request.fingerprint for request in self.running.get(name, {}).values()}
        newly_quarantined = self.quarantine.record_death(name, incarnation, fingerprints, now)
        if newly_quarantined:
            self.meters.quarantined.inc(len(newly_quarantined))
            logs.event("quarantined", "warning", fingerprints=",".join(newly_quarantined))
            self.on_quarantine(tuple(newly_quarantined))
