"""Which software versions of each service may have begun a stream that callers still resume.

Versions have no order. While only one was in service for the longest life of a stream, it began all
streams, and nothing else needs to be known about them.
"""

import math
import typing
from collections.abc import Callable

from bronzemux import clock as clocks
from bronzemux.gateway import cluster_state, model

# Longest life of a stream, from its first event to the last time that its caller resumes it, in
# timeouts of its route.
STREAM_LIFE_TIMEOUTS = 2.0
# Added to the life: how much longer another router may use an endpoint that this one knows to be
# gone.
LAG_SECONDS = 5.0
# After such a time without the store or another router, or without being run at all, versions may
# have come and gone unnoticed.
MAX_GAP_SECONDS = 3.0
# Far longer than the life of any stream.
COMPLETE_SECONDS = 86_400.0


class StoredVersions(typing.NamedTuple):
    """What the store has about the software versions of a service.

    Attributes:
      era: Era of the store in which this was written; after a restore versions may be missing.
      is_complete: Whether all versions that may have begun a stream which can be resumed are listed.
      present: Versions in service.
      left: Versions that were in service within the longest life of a stream.
    """

    era: int
    is_complete: bool
    present: frozenset[str]
    left: frozenset[str] = frozenset()


class SoftwareHistory:
    """Software versions that were in service, by what this router saw and what the store has.

    Args:
      clock: Source of time.
      state: State of the cluster.

    Attributes:
      contact_at: Returns the monotonic seconds at which the endpoints' entries were last up to date,
        from the store or a peer.
      last_seen: Monotonic seconds at which each version was last in service, by service.
      present: Versions in service, by service.
      known_since: Monotonic seconds since which all versions in service are known, by service.
      observed_at: Monotonic seconds at which the entries were up to date, as last observed.
      is_stored_due: Whether the stored versions have to be read, after the start or a gap.
    """

    def __init__(self, clock: clocks.Clock, state: cluster_state.ClusterState):
        self.clock = clock
        self.cluster_state = state
        self.contact_at: Callable[[], float] = clock.monotonic
        self.last_seen: dict[str, dict[str, float]] = {}
        self.present: dict[str, frozenset[str]] = {}
        self.known_since: dict[str, float] = {}
        self.observed_at = -math.inf
        self.is_stored_due = True
        self._lives: dict[str, float] = {}
        self._lives_configuration: model.Configuration | None = None

    def observe(self) -> None:
        """Take note of the versions in service now."""
        if not self.cluster_state.is_complete():
            return
        now = self.clock.monotonic()
        if now - self.observed_at > MAX_GAP_SECONDS:
            self.known_since.clear()
            self.is_stored_due = True
        found: dict[str, set[str]] = {}
        for state in self.cluster_state.endpoints.states.values():
            found.setdefault(state.endpoint.service, set()).add(state.endpoint.software)
        for service in self.present.keys() | found.keys():
            self._observe_service(service, frozenset(found.get(service, ())), now)
        self.observed_at = max(self.observed_at, self.contact_at())

    def _observe_service(self, service: str, versions: frozenset[str], now: float) -> None:
        seen = self.last_seen.setdefault(service, {})
        for version in versions | self.present.get(service, frozenset()):
            seen[version] = now
        self.present[service] = versions
        self.known_since.setdefault(service, now)
        life = self.stream_life(service)
        for version in [v for v, at in seen.items() if now - at > life]:
            del seen[version]

    def stream_life(self, service: str) -> float:
        """Return the longest life of a stream of a service in seconds, 0 without such streams."""
        config = self.cluster_state.configuration
        if config is not self._lives_configuration:
            self._lives_configuration = config
            for name, seconds in _stream_lives(config).items():
                # Streams that began under the configuration before may last longer.
                self._lives[name] = max(seconds, self._lives.get(name, 0.0))
        return self._lives.get(service, 0.0)

    def longest_life(self) -> float:
        """Return the longest life of a stream of any service in seconds."""
        return max(map(self.stream_life, self.present), default=0.0)

    def only_version(self, service: str) -> str | None:
        """Return the version that began all streams that can still be resumed.

        Returns:
          The version, None when several may have, or when that is not known.
        """
        now = self.clock.monotonic()
        life = self.stream_life(service)
        if now - self.observed_at > MAX_GAP_SECONDS:
            return None
        if now - self.known_since.get(service, math.inf) < life:
            return None
        recent = [v for v, at in self.last_seen.get(service, {}).items() if now - at <= life]
        return recent[0] if len(recent) == 1 else None

    def must_store(self, service: str) -> bool:
        """Return whether the origins of a service's streams have to be stored."""
        return self.stream_life(service) > 0 and self.only_version(service) is None

    # Stored versions

    def apply_stored(self, service: str, stored: StoredVersions, era: int) -> None:
        """Add what the store has about a service.

        A version without an entry left at an unknown time, as clocks of different VMs cannot be
        compared; it counts as seen now.

        Args:
          service: Name of the service.
          stored: Content of the row.
          era: Era of the store.
        """
        now = self.clock.monotonic()
        seen = self.last_seen.setdefault(service, {})
        seen |= dict.fromkeys(stored.present | stored.left, now)
        if stored.era == era and stored.is_complete:
            self.assume_complete(service)

    def assume_complete(self, service: str) -> None:
        """Record that no version of a service was in service before those that are known."""
        self.known_since[service] = self.clock.monotonic() - COMPLETE_SECONDS

    def to_store(
        self, service: str, stored: StoredVersions | None, era: int
    ) -> StoredVersions | None:
        """Return what the row of a service should contain, None when it need not change.

        Args:
          service: Name of the service.
          stored: Its content, None without a row.
          era: Era of the store.
        """
        now, life = self.clock.monotonic(), self.stream_life(service)
        present = self.present.get(service, frozenset())
        is_current = stored is not None and stored.era == era
        is_known = now - self.known_since.get(service, math.inf) >= life
        content = StoredVersions(
            era,
            is_known or (is_current and stored.is_complete),
            present,
            frozenset(self.last_seen.get(service, ())) - present,
        )
        return content if content != stored else None


def _stream_lives(config: model.Configuration | None) -> dict[str, float]:
    """Return the longest life of the resumable streams of each service that has such."""
    timeouts: dict[str, float] = {}
    for route in [route for found in config.routes.values() for route in found] if config else []:
        if route.kind is model.RouteKind.STREAM and route.is_resumable:
            for share in route.shares:
                known = timeouts.get(share.service, 0.0)
                timeouts[share.service] = max(known, route.timeout_seconds)
    return {
        service: STREAM_LIFE_TIMEOUTS * seconds + LAG_SECONDS
        for service, seconds in timeouts.items()
    }
