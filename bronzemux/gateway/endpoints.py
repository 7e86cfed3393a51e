"""State of the endpoints as one gateway sees them; owned by the gateway's greenlets.

Methods never wait, so that no other greenlet sees a half-made change.
"""

import dataclasses
from collections.abc import Iterator, Mapping

from bronzemux.gateway import model

# Weight of the newest answer in moving averages: about the last ten answers count.
AVERAGE_WEIGHT = 0.2
# First pause after a failed connection; doubles up to the time in which an entry lapses.
SUSPEND_SECONDS = 0.25
# Three heartbeats of an endpoint, after which its entry lapses.
MAX_SUSPEND_SECONDS = 4.0
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
      latency: Moving average in seconds, of plain services.
      slowness: Moving average of observed to expected time, of engines.
      failures: Recent failures, fading.
      failed_at: Monotonic seconds of the last failure.
      suspended_until: Monotonic seconds until which it gets no request.
      suspensions: Failed connections in series.
      weights: Newest known version by model.
      loading: Orders under way by model.
      peer_loads: Requests, tokens and time of the report by source.
      reported: Requests and tokens that this gateway last told its relays.
    """

    endpoint: model.Endpoint
    in_flight: int = 0
    backlog_tokens: float = 0.0
    latency: float | None = None
    slowness: float = 1.0
    failures: float = 0.0
    failed_at: float = 0.0
    suspended_until: float = 0.0
    suspensions: int = 0
    weights: dict[str, int] = dataclasses.field(default_factory=dict)
    loading: dict[str, Loading] = dataclasses.field(default_factory=dict)
    peer_loads: dict[Source, tuple[int, float, float]] = dataclasses.field(default_factory=dict)
    reported: tuple[int, float] = (0, 0.0)
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

    def load(self, now: float) -> tuple[int, float]:
        """Return requests and prompt tokens of all gateways there."""
        total = self.peer_loads.get(TOTAL)
        if total is not None and now - total[2] < PEER_LOAD_SECONDS:
            requests, tokens = self.reported
            count = self.in_flight + max(0, total[0] - requests)
            return count, self.backlog_tokens + max(0.0, total[1] - tokens)
        return self._sum(now, has_remote=True)

    def near_load(self, now: float) -> tuple[int, float]:
        """Return requests and prompt tokens of the gateways of this data centre there."""
        return self._sum(now, has_remote=False)

    def _sum(self, now: float, has_remote: bool) -> tuple[int, float]:
        count, tokens = self.in_flight, self.backlog_tokens
        for source, (requests, backlog, at) in self.peer_loads.items():
            if source is TOTAL or (source.is_remote and not has_remote):
                continue
            if now - at < PEER_LOAD_SECONDS:
                count += requests
                tokens += backlog
        return count, tokens

    def failure_level(self, now: float) -> float:
        """Return the faded number of recent failures."""
        return self.failures * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE_SECONDS)

    def record_failure(self, now: float) -> None:
        """Count a failed answer."""
        self.failures = self.failure_level(now) + 1.0
        self.failed_at = now

    def record_unreachable(self, now: float) -> float:
        """Suspend it after a failed connection; return for how many seconds."""
        pause = min(MAX_SUSPEND_SECONDS, SUSPEND_SECONDS * 2**self.suspensions)
        self.suspensions += 1
        self.suspended_until = now + pause
        self.record_failure(now)
        return pause

    def record_answer(self, seconds: float) -> None:
        """Count a whole answer of a plain service."""
        self.suspensions = 0
        known = seconds if self.latency is None else self.latency
        self.latency = known + AVERAGE_WEIGHT * (seconds - known)

    def record_first_event(self, seconds: float, expected: float) -> None:
        """Count the first event of a stream against what was expected."""
        self.suspensions = 0
        ratio = min(8.0, max(0.25, seconds / max(expected, 0.01)))
        self.slowness += AVERAGE_WEIGHT * (ratio - self.slowness)


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
        if known is None or known.endpoint.lifetime != endpoint.lifetime:
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
        return [state for state in self.of_service(service) if state.suspended_until <= now]
