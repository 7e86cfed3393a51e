"""Failures of endpoints as one router sees them: ejection, new incarnations, crashing requests."""

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
MAX_LOST = 1_000
LOST_SECONDS = 30.0


class Health:
    """Health of the endpoints; owned by the dispatcher.

    Args:
      known: The endpoints.
      prefixes: Prefix index.
      store: Knowledge of the KV cache store.
      suspects: Fingerprints that may crash endpoints.
      running: Requests by endpoint and id.
      meters: Metrics of the router.
      clock: Source of time.
      announce: Called with newly condemned fingerprints.
    """

    def __init__(
        self,
        known: fleet.Fleet,
        prefixes: prefix_index.PrefixIndex,
        store: cache_store.CacheStoreTracker,
        suspects: quarantine.Quarantine,
        running: dict[str, dict[str, requests.Request]],
        meters: metrics.Metrics,
        clock: clocks.Clock,
        announce: Callable[[tuple[str, ...]], None],
    ):
        self.fleet = known
        self.index = prefixes
        self.store = store
        self.quarantine = suspects
        self.running = running
        self.meters = meters
        self.clock = clock
        self.announce = announce
        self.lost: dict[str, dict[str, tuple[str, float]]] = {}

    def fail(self, message: messages.AttemptEnded) -> None:
        """Take a failed attempt in: eject, pause or leave the endpoint."""
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
        if self.fleet.fail(name, now, is_dead):
            logs.event("endpoint_ejected", "warning", endpoint=name, cause=type(error).__name__)
        if not is_dead:
            self._note_lost(name, assignment.request, now)

    def _note_lost(self, name: str, request: requests.Request, now: float) -> None:
        """Remember a request whose attempt broke off, in case the endpoint turns out dead."""
        lost = self.lost.setdefault(name, {})
        lost[request.head.id] = (request.fingerprint, now)
        while len(lost) > MAX_LOST:
            del lost[next(iter(lost))]

    def see_incarnation(self, name: str, incarnation: str) -> None:
        """Take the incarnation in that an endpoint shows; a new one has an empty cache."""
        state = self.fleet.states.get(name)
        old = state.incarnation if state else ""
        if self.fleet.see_incarnation(name, incarnation, self.clock.monotonic()):
            logs.event("endpoint_returned", endpoint=name, incarnation=incarnation)
            self.bury(name, old)

    def bury(self, name: str, incarnation: str) -> None:
        """Drop the cache entries of a process that died, and suspect what ran on it."""
        self.index.forget(name)
        self.store.forget(incarnation)
        now = self.clock.monotonic()
        lost = self.lost.pop(name, {}).values()
        prints = {fingerprint for fingerprint, at in lost if now - at < LOST_SECONDS}
        prints |= {request.fingerprint for request in self.running.get(name, {}).values()}
        fresh = self.quarantine.record_death(name, incarnation, prints, now)
        if fresh:
            self.meters.quarantined.inc(len(fresh))
            logs.event("quarantined", "warning", fingerprints=",".join(fresh))
            self.announce(tuple(fresh))
