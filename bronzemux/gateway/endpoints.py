"""State of the endpoints as one gateway sees them; owned by the gateway's greenlets.

Methods never wait, so that no other greenlet sees a half-made change.
"""

import dataclasses
from collections.abc import Iterator, Mapping

from bronzemux.gateway import model

# Weight of the newest answer in moving averages: about the last ten answers count.
AVERAGE_WEIGHT = 0.2
# Failures fade with this half-life, so that an endpoint that was mended gets work again.
FAILURE_HALF_LIFE_SECONDS = 3.0
# An order that was not heard of for this long no longer keeps requests away: a few status
# messages of the router that gave it.
LOADING_SECONDS = 1.5
# Loads that a peer reported count for this long: a few of its reports.
PEER_LOAD_SECONDS = 1.5


@dataclasses.dataclass(frozen=True)
class Source:
    """Whose requests a load sums up.

    Attributes:
      name: Name of a router or of a data centre.
      is_remote: Whether it is another data centre.
    """

    name: str
    is_remote: bool = False


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """What other gateways do at an endpoint, and how it treats them.

    Attributes:
      requests: Their requests there.
      tokens: Prompt tokens that are still to be read for them.
      failures: Their recent failures there, fading.
      memory: Tokens that their requests, and copies of runs, take there at most.
    """

    requests: int = 0
    tokens: float = 0.0
    failures: float = 0.0
    memory: int = 0


# All routers together, this one included.
TOTAL = Source("")


@dataclasses.dataclass
class Loading:
    """Weights that an endpoint was ordered to load.

    Attributes:
      version: Version of the weights.
      since: Monotonic seconds at which this was last heard.
    """

    version: int
    since: float


@dataclasses.dataclass
class EndpointState:
    """What one gateway knows of one lifetime of an endpoint.

    Attributes:
      endpoint: The newest entry.
      in_flight: Requests of this gateway there.
      backlog_tokens: Prompt tokens that are still to be read for this gateway.
      memory_tokens: Tokens that its requests, and copies of its runs, take there at most.
      latency: Moving average in seconds, of plain services.
      slowness: Moving average of observed to expected time, of engines.
      failures: Recent failures, fading.
      failed_at: Monotonic seconds of the last failure.
      suspended_until: Monotonic seconds until which it gets no request.
      is_suspected: Whether it is being probed, and gets no request meanwhile.
      is_down: Whether it accepts no connections and has sent nothing for a while.
      heard_at: Monotonic seconds at which it last sent anything.
      attempts: Attempts under way there, each with a method `end_silent`.
      weights: Newest known version by model.
      loading: Orders under way by model.
      peer_loads: Loads of others and the time of their report, by source.
      reported: What this gateway last told its relays.
    """

    endpoint: model.Endpoint
    in_flight: int = 0
    backlog_tokens: float = 0.0
    memory_tokens: int = 0
    latency: float | None = None
    slowness: float = 1.0
    failures: float = 0.0
    failed_at: float = 0.0
    suspended_until: float = 0.0
    is_suspected: bool = False
    is_down: bool = False
    heard_at: float = -1e9
    attempts: set = dataclasses.field(default_factory=set)
    weights: dict[str, int] = dataclasses.field(default_factory=dict)
    loading: dict[str, Loading] = dataclasses.field(default_factory=dict)
    peer_loads: dict[Source, tuple[PeerLoad, float]] = dataclasses.field(default_factory=dict)
    reported: PeerLoad = PeerLoad()
    is_gone: bool = False

    def update(self, endpoint: model.Endpoint) -> None:
        """Take a newer entry of the same lifetime in."""
        self.endpoint = endpoint
        for name, version in endpoint.weights.items():
            self.learn_weights(name, version)

    def learn_weights(self, name: str, version: int) -> None:
        """Note a version; within a lifetime it only rises."""
        self.weights[name] = max(version, self.weights.get(name, 0))
        order = self.loading.get(name)
        if order is not None and self.weights[name] >= order.version:
            del self.loading[name]

    def is_loading(self, name: str, now: float) -> bool:
        """Return whether it is changing the weights of a model."""
        order = self.loading.get(name)
        if order is not None and now - order.since > LOADING_SECONDS:
            del self.loading[name]
            return False
        return order is not None

    def own_load(self, now: float) -> PeerLoad:
        """Return what this gateway does there."""
        failures = self._own_failures(now)
        return PeerLoad(self.in_flight, self.backlog_tokens, failures, self.memory_tokens)

    def load(self, now: float) -> tuple[int, float]:
        """Return requests and prompt tokens of all gateways there."""
        others = self._others(now)
        return self.in_flight + others.requests, self.backlog_tokens + others.tokens

    def memory(self, now: float) -> int:
        """Return the tokens that the requests of all gateways take there at most."""
        return self.memory_tokens + self._others(now).memory

    def near_load(self, now: float) -> PeerLoad:
        """Return what the gateways of this data centre do there."""
        return _sum([self.own_load(now), *self._fresh(now, has_remote=False)])

    def whole_load(self, now: float) -> PeerLoad:
        """Return what all gateways do there."""
        return _sum([self.own_load(now), *self._fresh(now, has_remote=True)])

    def _others(self, now: float) -> PeerLoad:
        """Return what the other gateways do there."""
        total = self.peer_loads.get(TOTAL)
        if total is None or now - total[1] >= PEER_LOAD_SECONDS:
            return _sum(self._fresh(now, has_remote=True))
        found, own = total[0], self.reported
        return PeerLoad(
            max(0, found.requests - own.requests),
            max(0.0, found.tokens - own.tokens),
            max(0.0, found.failures - own.failures),
            max(0, found.memory - own.memory),
        )

    def _fresh(self, now: float, has_remote: bool) -> list[PeerLoad]:
        return [
            load
            for source, (load, at) in self.peer_loads.items()
            if source is not TOTAL
            and (has_remote or not source.is_remote)
            and now - at < PEER_LOAD_SECONDS
        ]

    def _own_failures(self, now: float) -> float:
        return self.failures * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE_SECONDS)

    def failure_level(self, now: float) -> float:
        """Return the faded number of recent failures that any gateway met there."""
        return self._own_failures(now) + self._others(now).failures

    def record_failure(self, now: float) -> None:
        """Count a failed answer."""
        self.failures = self._own_failures(now) + 1.0
        self.failed_at = now

    def record_answer(self, seconds: float) -> None:
        """Count a whole answer of a plain service."""
        known = seconds if self.latency is None else self.latency
        self.latency = known + AVERAGE_WEIGHT * (seconds - known)

    def record_first_event(self, seconds: float, expected: float) -> None:
        """Count the first event of a stream against what was expected."""
        ratio = min(8.0, max(0.25, seconds / max(expected, 0.01)))
        self.slowness += AVERAGE_WEIGHT * (ratio - self.slowness)


def _sum(loads: list[PeerLoad]) -> PeerLoad:
    return PeerLoad(
        sum(load.requests for load in loads),
        sum(load.tokens for load in loads),
        sum(load.failures for load in loads),
        sum(load.memory for load in loads),
    )


class EndpointTable:
    """All endpoints that one gateway knows."""

    def __init__(self):
        self.states: dict[str, EndpointState] = {}
        self.services: Mapping[str, model.Service] = {}

    def put(self, endpoint: model.Endpoint, now: float) -> bool:
        """Take an entry in.

        Returns:
          Whether more than its heartbeat changed.
        """
        known = self.states.get(endpoint.id)
        if known is None or known.endpoint.incarnation != endpoint.incarnation:
            if known is not None:
                known.is_gone = True
            state = EndpointState(endpoint)
            state.update(endpoint)
            self.states[endpoint.id] = state
            return True
        is_changed = known.endpoint != endpoint
        known.update(endpoint)
        return is_changed

    def remove(self, key: str) -> None:
        """Forget an endpoint."""
        state = self.states.pop(key, None)
        if state is not None:
            state.is_gone = True

    def of_service(self, name: str) -> Iterator[EndpointState]:
        """Yield the endpoints of a service that are not leaving."""
        for state in self.states.values():
            if state.endpoint.service == name and not state.endpoint.is_draining:
                yield state

    def of_model(self, name: str) -> Iterator[EndpointState]:
        """Yield the endpoints of all services that serve a model and are not leaving."""
        for state in self.states.values():
            if name in state.weights and not state.endpoint.is_draining:
                yield state

    def usable(self, service: str, now: float) -> list[EndpointState]:
        """Return the endpoints of a service that may get a request now."""
        return [
            state
            for state in self.of_service(service)
            if state.suspended_until <= now and not state.is_suspected
        ]
