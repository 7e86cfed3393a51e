"""State of the endpoints as one gateway sees them, shared by the gateway's greenlets.

No method yields to another greenlet, so each change is atomic.
"""

import dataclasses
import math
import typing
from collections.abc import Iterator, Mapping

from bronzemux import records
from bronzemux.gateway import endpoint_notices, model

# Weight of the newest response in exponentially weighted moving averages, which thus cover about
# the last ten responses.
EWMA_WEIGHT = 0.2
# The failure count decays, so that an endpoint that has recovered gets requests again.
FAILURE_HALF_LIFE_SECONDS = 3.0
# A load order expires when the router that gave it has not reported it for a few status messages.
LOAD_ORDER_TTL_SECONDS = 1.5
# The load that a peer reported expires when a few of its reports are missing.
PEER_LOAD_TTL_SECONDS = 1.5
# Incarnations without an entry whose notices are kept, in case their entries come back: several
# times the endpoints of the largest deployment.
MAX_KEPT_INCARNATIONS = 4096


class LoadSource(typing.NamedTuple):
    """Routers whose requests a load covers.

    Attributes:
      name: Name of a router or of a data centre.
      is_remote: Whether it is another data centre.
    """

    name: str
    is_remote: bool = False


@records.record
class EndpointLoad:
    """Load that one or several gateways put on an endpoint, and their failures there.

    Attributes:
      requests: Requests in flight.
      tokens: Prompt tokens of these requests that the endpoint has not prefilled yet.
      failures: Recent failures, decayed.
      memory: Most tokens of KV memory that the requests, and KV backups of requests, can take.
    """

    requests: int = 0
    tokens: float = 0.0
    failures: float = 0.0
    memory: int = 0


# Source of a load that covers all routers, this one included.
ALL_ROUTERS = LoadSource("")


class PeerLoads(dict[LoadSource, tuple[EndpointLoad, float]]):
    """Loads of other gateways and the time of their report, by source.

    Attributes:
      generation: Number of changes so far.
    """

    def __init__(self):
        super().__init__()
        self.generation = 0

    def __setitem__(self, source: LoadSource, reported: tuple[EndpointLoad, float]) -> None:
        super().__setitem__(source, reported)
        self.generation += 1

    def drop(self, source: LoadSource) -> None:
        """Remove the load of a source if it is known."""
        if source in self:
            del self[source]
            self.generation += 1


@records.record
class CachedPeerLoad:
    """Load of the other gateways as of one generation of their reports.

    Attributes:
      load: The load.
      generation: Generation of the reports.
      reported: This gateway's own load that the reports include.
      valid_until: Monotonic seconds at which the oldest of the reports expires.
    """

    load: EndpointLoad
    generation: int
    reported: EndpointLoad
    valid_until: float


@records.state
class LoadOrder:
    """Order to an endpoint to load weights.

    Attributes:
      version: Version of the weights.
      reported_at: Monotonic seconds of the last report of the order.
    """

    version: int
    reported_at: float


@records.state
class EndpointState:
    """State of one incarnation of an endpoint as one gateway sees it.

    Attributes:
      endpoint: The newest entry of the endpoint.
      in_flight: Requests of this gateway there.
      backlog_tokens: Prompt tokens of this gateway that the endpoint has not prefilled yet.
      memory_tokens: Most tokens of KV memory that this gateway's requests, and KV backups of its
        requests, can take there.
      latency_seconds: Moving average of the response time, for services without an engine.
      slowdown: Moving average of the ratio of observed to expected time to the first event, for
        engines.
      failures: Recent failures that this gateway met, as of `failed_at`.
      failed_at: Monotonic seconds of the last failure.
      suspended_until: Monotonic seconds until which it gets no request.
      is_suspected: Whether it is being probed, and gets no request meanwhile.
      is_down: Whether it accepts no connections and has sent nothing for a while.
      last_received_at: Monotonic seconds at which data from it last arrived.
      attempts: Attempts in progress there, each with methods `abort_if_recoverable` and
        `abort_if_quarantined`.
      weights: Newest known version by model.
      loading: Orders to load weights that are in progress, by model.
      peer_loads: Loads of other gateways and the time of their report, by source.
      reported: Load of this gateway that it last reported to its relays.
      suspect_count: Attempts of this gateway there whose request is suspected of crashing endpoints
        and whose response has not begun.
      is_gone: Whether the endpoint was removed, or replaced by a new incarnation.
      is_entry_doubtful: Whether its process ended, and no entry has been written since, so that one
        with other software may use its identity and address.
      has_later_entry: Whether an entry with more heartbeats has come since then. It may have been
        written before; the next one cannot have been.
      cached_peer_load: Sum of the loads of other gateways when it was last computed, None before.
      hash_name: The incarnation as input of rendezvous hashing.
      notices: What the endpoint has asked of this router.
    """

    endpoint: model.Endpoint
    in_flight: int = 0
    backlog_tokens: float = 0.0
    memory_tokens: int = 0
    latency_seconds: float | None = None
    slowdown: float = 1.0
    failures: float = 0.0
    failed_at: float = 0.0
    suspended_until: float = 0.0
    is_suspected: bool = False
    is_down: bool = False
    last_received_at: float = -1e9
    attempts: set = dataclasses.field(default_factory=set)
    weights: dict[str, int] = dataclasses.field(default_factory=dict)
    loading: dict[str, LoadOrder] = dataclasses.field(default_factory=dict)
    peer_loads: PeerLoads = dataclasses.field(default_factory=PeerLoads)
    reported: EndpointLoad = EndpointLoad()
    suspect_count: int = 0
    is_gone: bool = False
    is_entry_doubtful: bool = False
    has_later_entry: bool = False
    cached_peer_load: CachedPeerLoad | None = None
    hash_name: bytes = b""
    notices: endpoint_notices.Notices = dataclasses.field(default_factory=endpoint_notices.Notices)

    def __post_init__(self):
        self.hash_name = self.endpoint.incarnation.encode()

    def update(self, endpoint: model.Endpoint) -> None:
        """Apply a newer entry of the same incarnation."""
        if endpoint.heartbeats > self.endpoint.heartbeats:
            self.is_entry_doubtful = self.is_entry_doubtful and not self.has_later_entry
            self.has_later_entry = True
        self.endpoint = endpoint
        self.notices.apply_entry(endpoint)
        for name, version in endpoint.weights.items():
            self.record_weights(name, version)

    def doubt_entry(self) -> None:
        """Record that the process has ended: its VM refuses connections."""
        self.is_entry_doubtful, self.has_later_entry = True, False

    @property
    def is_leaving(self) -> bool:
        """Return whether the endpoint leaves, by its entry or by a response, and gets nothing new."""
        return self.endpoint.is_draining or self.notices.is_leaving

    def withdrawal(self, now: float) -> str:
        """Return why a request that was meant for the endpoint must not go there, empty if it may."""
        return "leaving" if self.is_leaving else self.notices.withdrawal(now)

    def may_take_request(self, now: float) -> bool:
        """Return whether the endpoint may get a request now."""
        if self.suspended_until > now or self.is_suspected:
            return False
        notices = self.notices
        return notices.unlimited_from <= now or self.in_flight < notices.max_in_flight(now)

    def record_weights(self, name: str, version: int) -> None:
        """Record a version of a model's weights; within an incarnation it never decreases."""
        self.weights[name] = max(version, self.weights.get(name, 0))
        order = self.loading.get(name)
        if order is not None and self.weights[name] >= order.version:
            del self.loading[name]

    def is_loading(self, name: str, now: float) -> bool:
        """Return whether the endpoint is loading weights of a model."""
        order = self.loading.get(name)
        if order is not None and now - order.reported_at > LOAD_ORDER_TTL_SECONDS:
            del self.loading[name]
            return False
        return order is not None

    def own_load(self, now: float) -> EndpointLoad:
        """Return the load of this gateway."""
        failures = self._own_failures(now)
        return EndpointLoad(self.in_flight, self.backlog_tokens, failures, self.memory_tokens)

    def load(self, now: float) -> tuple[int, float]:
        """Return the requests in flight and the prompt tokens to prefill, of all gateways."""
        peers = self._peer_load(now)
        return self.in_flight + peers.requests, self.backlog_tokens + peers.tokens

    def data_centre_load(self, now: float) -> EndpointLoad:
        """Return the load of the gateways of this data centre."""
        return self._sum_fresh(self.own_load(now), now, includes_remote=False)

    def total_load(self, now: float) -> EndpointLoad:
        """Return the load of all gateways."""
        return self._sum_fresh(self.own_load(now), now, includes_remote=True)

    def all_loads(self, now: float) -> tuple[int, float, float, int]:
        """Return requests, prompt tokens to prefill, failures and memory of all gateways.

        These are the fields of `EndpointLoad`, in its order.
        """
        peers = self._peer_load(now)
        return (
            self.in_flight + peers.requests,
            self.backlog_tokens + peers.tokens,
            (self._own_failures(now) if self.failures else 0.0) + peers.failures,
            self.memory_tokens + peers.memory,
        )

    def _peer_load(self, now: float) -> EndpointLoad:
        """Return the load of the other gateways."""
        cached = self.cached_peer_load
        if (
            cached is None
            or now >= cached.valid_until
            or cached.generation != self.peer_loads.generation
            or cached.reported is not self.reported
        ):
            cached = self.cached_peer_load = self._compute_peer_load(now)
        return cached.load

    def _compute_peer_load(self, now: float) -> CachedPeerLoad:
        """Return the load of the other gateways.

        If a fresh total of all routers is known, this is the total less what this gateway reported;
        otherwise it is the sum of the loads of the single sources.
        """
        generation, own = self.peer_loads.generation, self.reported
        total = self.peer_loads.get(ALL_ROUTERS)
        if total is None or now - total[1] >= PEER_LOAD_TTL_SECONDS:
            fresh = [at for _, at in self.peer_loads.values() if now - at < PEER_LOAD_TTL_SECONDS]
            valid_until = min(fresh, default=math.inf) + PEER_LOAD_TTL_SECONDS
            load = self._sum_fresh(EndpointLoad(), now, includes_remote=True)
            return CachedPeerLoad(load, generation, own, valid_until)
        load, reported_at = total
        others = EndpointLoad(
            max(0, load.requests - own.requests),
            max(0.0, load.tokens - own.tokens),
            max(0.0, load.failures - own.failures),
            max(0, load.memory - own.memory),
        )
        return CachedPeerLoad(others, generation, own, reported_at + PEER_LOAD_TTL_SECONDS)

    def _sum_fresh(self, first: EndpointLoad, now: float, includes_remote: bool) -> EndpointLoad:
        """Return the sum of a load and those that have not expired, without the total of all."""
        requests, tokens = first.requests, first.tokens
        failures, memory = first.failures, first.memory
        for source, (load, at) in self.peer_loads.items():
            if now - at >= PEER_LOAD_TTL_SECONDS or source is ALL_ROUTERS:
                continue
            if includes_remote or not source.is_remote:
                requests += load.requests
                tokens += load.tokens
                failures += load.failures
                memory += load.memory
        return EndpointLoad(requests, tokens, failures, memory)

    def _own_failures(self, now: float) -> float:
        """Return the decayed number of failures of this gateway there."""
        return self.failures * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE_SECONDS)

    def failure_level(self, now: float) -> float:
        """Return the decayed number of recent failures of all gateways there."""
        return self._own_failures(now) + self._peer_load(now).failures

    def record_failure(self, now: float) -> None:
        """Count a failed attempt or connection."""
        self.failures = self._own_failures(now) + 1.0
        self.failed_at = now

    def record_latency(self, seconds: float) -> None:
        """Add the time to a complete response to the average latency."""
        known = seconds if self.latency_seconds is None else self.latency_seconds
        self.latency_seconds = known + EWMA_WEIGHT * (seconds - known)

    def record_first_event(self, seconds: float, expected_seconds: float) -> None:
        """Add the time to the first event of a stream to the average slowdown.

        Args:
          seconds: Observed time to the first event.
          expected_seconds: Time that was estimated when the endpoint was chosen.
        """
        ratio = min(8.0, max(0.25, seconds / max(expected_seconds, 0.01)))
        self.slowdown += EWMA_WEIGHT * (ratio - self.slowdown)


class EndpointTable:
    """All endpoints that one gateway knows.

    Attributes:
      states: State of each endpoint by its identity.
      services: Services of the configuration by name.
      kept_notices: Notices of incarnations without an entry, by incarnation; the oldest first.
      retired: Last entry of each identity that had one before, the oldest first.
      reinstalled: Identity and start of incarnations that one with other software replaced, the
        oldest first.
    """

    def __init__(self):
        self.states: dict[str, EndpointState] = {}
        self.services: Mapping[str, model.Service] = {}
        self.kept_notices: dict[str, endpoint_notices.Notices] = {}
        self.retired: dict[str, model.Endpoint] = {}
        self.reinstalled: dict[tuple[str, int], None] = {}

    def put(self, endpoint: model.Endpoint, now: float) -> bool:
        """Add or update an endpoint.

        Returns:
          Whether the entry differs from the known one; heartbeats are not part of it.
        """
        known = self.states.get(endpoint.id)
        if known is None or known.endpoint.incarnation != endpoint.incarnation:
            if known is not None:
                self._retire(known)
            state = EndpointState(endpoint)
            state.notices = self.kept_notices.pop(endpoint.incarnation, state.notices)
            state.update(endpoint)
            self.states[endpoint.id] = state
            self._record_software(endpoint)
            return True
        is_changed = known.endpoint != endpoint
        known.update(endpoint)
        return is_changed

    def _record_software(self, endpoint: model.Endpoint) -> None:
        """Record that an incarnation replaces one of other software."""
        previous = self.retired.pop(endpoint.id, None)
        if previous is not None and previous.software != endpoint.software:
            self.reinstalled[(previous.id, previous.started_at_ms)] = None
            _limit(self.reinstalled)

    def was_reinstalled(self, identity: str, started_at_ms: int) -> bool:
        """Return whether other software has replaced an incarnation under its identity.

        Args:
          identity: Identity of the endpoint.
          started_at_ms: Unix time of the start of the incarnation in milliseconds.
        """
        return (identity, started_at_ms) in self.reinstalled

    def remove(self, key: str) -> None:
        """Remove an endpoint."""
        state = self.states.pop(key, None)
        if state is not None:
            self._retire(state)

    def _retire(self, state: EndpointState) -> None:
        """Mark an incarnation as gone, but keep its notices: it may only have lost its entry."""
        state.is_gone = True
        if state.notices.is_kept():
            self.kept_notices[state.endpoint.incarnation] = state.notices
        _limit(self.kept_notices)
        self.retired[state.endpoint.id] = state.endpoint
        _limit(self.retired)

    def of_service(self, name: str) -> Iterator[EndpointState]:
        """Yield the endpoints of a service that do not leave."""
        # Called for each choice: the condition of `is_leaving` is repeated to save the calls.
        for state in self.states.values():
            entry = state.endpoint
            if entry.service == name and not (entry.is_draining or state.notices.is_leaving):
                yield state

    def of_model(self, name: str) -> Iterator[EndpointState]:
        """Yield the endpoints of all services that serve a model and do not leave."""
        for state in self.states.values():
            if name in state.weights and not state.is_leaving:
                yield state

    def usable(self, service: str, now: float) -> list[EndpointState]:
        """Return the endpoints of a service that may get a request now."""
        return [state for state in self.of_service(service) if state.may_take_request(now)]


def _limit(kept: dict) -> None:
    """Drop the oldest items of a dictionary beyond `MAX_KEPT_INCARNATIONS`."""
    while len(kept) > MAX_KEPT_INCARNATIONS:
        del kept[next(iter(kept))]
