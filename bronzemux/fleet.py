"""Knowledge of one router about the endpoints: load, speed, health and reuse."""

import dataclasses
import math

import numpy as np

from bronzemux import config, routing

LOAD_REPORT_MAX_AGE_SECONDS = 5.0
NEW_TOKENS_EWMA_WEIGHT = 0.05
SERVICE_EWMA_WEIGHT = 0.05
INITIAL_SERVICE_SECONDS = 0.5
INITIAL_NEW_TOKENS = 1000.0
CONFIDENCE_EWMA_WEIGHT = 0.1
SUSPECT_AFTER_FAILURES = 1
EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 30.0
SLOW_START_FLOOR = 0.1
VIEW_SECONDS = 0.1
VIEW_ROWS = 9
GAP_DISCOUNT = 0.95
DOUBT = 0.8
ROOM_FACTOR = 3.0
SLOWNESS_EXPONENT = 0.15
SLOWNESS_FLOOR_SECONDS = 0.03
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
MIN_ROOM = 2
DECODE_ROLE = "decode"


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load that an endpoint reports, with a lag.

    Attributes:
      endpoint: Name.
      incarnation: Identity of the endpoint's process.
      running: Requests whose answer is being generated.
      waiting: Requests whose prompt is not yet computed.
    """

    endpoint: str
    incarnation: str
    running: int
    waiting: int


@dataclasses.dataclass
class EndpointState:
    """What one router knows of one endpoint."""

    endpoint: config.Endpoint
    incarnation: str = ""
    in_flight: int = 0
    prefilling: int = 0
    outstanding_tokens: int = 0
    slowness: float = 1.0
    service_seconds: float = INITIAL_SERVICE_SECONDS
    confidence: float = 1.0
    failures: int = 0
    ejected_until: float = 0.0
    cold_since: float = -1e9
    leaving: bool = False
    is_dead: bool = False
    report: LoadReport | None = None
    reported_at: float = -1e9
    others_waiting: int = 0
    weights: dict[str, str] = dataclasses.field(default_factory=dict)
    adapters: dict[str, str] | None = None
    role: str = ""

    @property
    def rate(self) -> float:
        """Return the prefill tokens a second that the endpoint is expected to compute."""
        return self.endpoint.prefill_tokens_per_second / self.slowness


class Fleet:
    """Mutable state of all endpoints; owned by one task.

    Args:
      data_centre: Data centre of this router.
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre
        self.states: dict[str, EndpointState] = {}
        self.preset: config.Preset | None = None
        self.operations = config.Operations()
        self.mean_new_tokens = INITIAL_NEW_TOKENS
        self.names: tuple[str, ...] = ()
        self.seeds = np.array([], dtype=np.uint64)
        self.weights = np.array([])
        self.positions: dict[str, int] = {}
        self.rows = np.zeros((VIEW_ROWS, 0))
        self.dirty: set[str] = set()
        self.view_peers = 0
        self.viewed_at = -1e9
        self.masks: dict[tuple[str, str, str, str], np.ndarray] = {}

    def apply(self, snapshot: config.Config, preset: config.Preset) -> tuple[str, ...]:
        """Take over the endpoints of a configuration.

        Args:
          snapshot: The configuration.
          preset: The preset in force.

        Returns:
          Names of endpoints that are gone.
        """
        self.preset = preset
        self.operations = snapshot.operations
        wanted = {endpoint.name: endpoint for endpoint in snapshot.endpoints}
        gone = tuple(name for name in self.states if name not in wanted)
        for name in gone:
            del self.states[name]
        for name, endpoint in wanted.items():
            self._adopt(name, endpoint)
        self.names = tuple(self.states)
        seeds = [routing.endpoint_seed(name) for name in self.names]
        self.seeds = np.array(seeds, dtype=np.uint64)
        self.weights = np.array([_weight(state.endpoint) for state in self.states.values()])
        self.positions = {name: position for position, name in enumerate(self.names)}
        self.rows = np.zeros((VIEW_ROWS, len(self.names)))
        self.dirty = set(self.states)
        self.masks.clear()
        return gone

    def _adopt(self, name: str, endpoint: config.Endpoint) -> None:
        state = self.states.get(name)
        if state is None:
            self.states[name] = EndpointState(endpoint)
        elif state.endpoint != endpoint:
            state.endpoint = endpoint

    def is_drained(self, state: EndpointState) -> bool:
        """Return whether an endpoint gets no new work by preset, operator or notice."""
        endpoint = state.endpoint
        by_preset = endpoint.name in self.preset.drained_endpoints
        by_data_centre = endpoint.data_centre in self.preset.drained_data_centres
        by_operator = endpoint.name in self.operations.drained_endpoints
        return state.leaving or by_preset or by_data_centre or by_operator

    def is_available(self, state: EndpointState, now: float) -> bool:
        """Return whether an endpoint may get new work."""
        return not self.is_drained(state) and state.ejected_until <= now

    def take_load_report(self, report: LoadReport, now: float) -> bool:
        """Take a load report in.

        Args:
          report: The report.
          now: Monotonic seconds.

        Returns:
          Whether the endpoint turned out to be a new incarnation.
        """
        state = self.touch(report.endpoint)
        if state is None:
            return False
        is_new = self.see_incarnation(report.endpoint, report.incarnation, now)
        state.report = report
        state.reported_at = now
        state.others_waiting = max(0, report.waiting - state.prefilling)
        return is_new

    def see_incarnation(self, name: str, incarnation: str, now: float) -> bool:
        """Record the incarnation that an endpoint shows.

        Args:
          name: Name of the endpoint.
          incarnation: Identity of its process.
          now: Monotonic seconds.

        Returns:
          Whether it replaced an earlier incarnation, whose cache is gone.
        """
        state = self.touch(name)
        if state is None or state.incarnation == incarnation:
            return False
        is_restart = state.incarnation != ""
        state.incarnation = incarnation
        if is_restart:
            state.cold_since = now
            state.confidence = 1.0
            state.slowness = 1.0
            state.report = None
            state.ejected_until = 0.0
        return is_restart

    def start_work(self, name: str, tokens: int) -> None:
        """Count a request that is sent to an endpoint."""
        state = self.touch(name)
        state.in_flight += 1
        state.prefilling += 1
        state.outstanding_tokens += tokens

    def prefill_done(self, name: str, tokens: int) -> None:
        """Count a prompt as computed, once for each `start_work`."""
        state = self.touch(name)
        if state is not None:
            state.prefilling = max(0, state.prefilling - 1)
            state.outstanding_tokens = max(0, state.outstanding_tokens - tokens)

    def end_work(self, name: str) -> None:
        """Count a request as ended."""
        state = self.touch(name)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)

    def succeed(self, name: str) -> None:
        """Record a success; it ends the ejection."""
        state = self.touch(name)
        if state is not None:
            state.failures = 0
            state.ejected_until = 0.0

    def fail(self, name: str, now: float, is_dead: bool) -> bool:
        """Record a failed attempt and eject the endpoint when the cap allows it.

        Args:
          name: Name of the endpoint.
          now: Monotonic seconds.
          is_dead: Whether the endpoint refused connections; such an endpoint is left out
            regardless of the cap.

        Returns:
          Whether the endpoint was ejected.
        """
        state = self.touch(name)
        if state is None:
            return False
        state.failures += 1
        if state.failures < SUSPECT_AFTER_FAILURES:
            return False
        if not is_dead and not self._may_eject(now):
            return False
        seconds = EJECTION_SECONDS * 2 ** min(state.failures - SUSPECT_AFTER_FAILURES, 10)
        state.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        state.is_dead = state.is_dead or is_dead
        return True

    def pause(self, name: str, until: float) -> None:
        """Give an endpoint that refused work none for a moment, until its next report."""
        state = self.touch(name)
        if state is not None:
            state.ejected_until = max(state.ejected_until, until)

    def _may_eject(self, now: float) -> bool:
        ejected = sum(1 for state in self.states.values() if state.ejected_until > now)
        return ejected + 1 <= max(1, self.preset.ejection_limit * len(self.states))

    def learn_reuse(self, name: str, predicted_tokens: int, cached_tokens: int) -> None:
        """Adjust the confidence in predicted reuse from an answer's ``cached_tokens``."""
        state = self.touch(name)
        if state is None or predicted_tokens <= 0:
            return
        share = min(1.0, cached_tokens / predicted_tokens)
        state.confidence += CONFIDENCE_EWMA_WEIGHT * (share - state.confidence)
        state.confidence = max(routing.MIN_CONFIDENCE, state.confidence)

    def learn_slowness(self, name: str, expected: float, seconds: float) -> None:
        """Adjust the speed of an endpoint from a time to first token.

        Args:
          name: Name of the endpoint.
          expected: Seconds that were expected when the request was assigned.
          seconds: Seconds that it took.
        """
        state = self.touch(name)
        if state is None:
            return
        ratio = (seconds + SLOWNESS_FLOOR_SECONDS) / (expected + SLOWNESS_FLOOR_SECONDS)
        slowness = state.slowness * ratio**SLOWNESS_EXPONENT
        state.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))

    def learn_service(self, name: str, seconds: float) -> None:
        """Adjust the mean time that a request keeps a slot of an endpoint."""
        state = self.touch(name)
        if state is not None:
            state.service_seconds += SERVICE_EWMA_WEIGHT * (seconds - state.service_seconds)

    def learn_new_tokens(self, tokens: int) -> None:
        """Adjust the mean number of tokens that an engine computes for a prompt."""
        self.mean_new_tokens += NEW_TOKENS_EWMA_WEIGHT * (tokens - self.mean_new_tokens)

    def view(self, now: float, peers: int, queued: dict[str, int]) -> routing.FleetView:
        """Return an immutable view for one decision.

        Rows of endpoints that did not change are kept for `VIEW_SECONDS`.

        Args:
          now: Monotonic seconds.
          peers: Number of routers that share the endpoints.
          queued: Requests of this router that wait for a slot, by endpoint.
        """
        if peers != self.view_peers or now - self.viewed_at > VIEW_SECONDS:
            self.dirty = set(self.states)
            self.view_peers = peers
            self.viewed_at = now
        if self.dirty:
            self.rows = self.rows.copy()
            for name in self.dirty:
                self.rows[:, self.positions[name]] = self._row(self.states[name], now, peers)
            self.dirty = set()
        rate, wait, turn, capacity, in_flight, waiting, available, confidence, remote = self.rows
        ahead = self._ahead(queued)
        free = capacity - in_flight
        return routing.FleetView(
            names=self.names,
            seeds=self.seeds,
            weights=self.weights,
            rate=rate,
            wait=wait,
            slot_wait=np.where(free - ahead > 0, 0.0, turn * (ahead + 1)),
            queue=ahead + waiting,
            room=np.maximum(0, free),
            available=available > 0,
            confidence=confidence,
            remote=remote,
            now=now,
        )

    def _ahead(self, queued: dict[str, int]) -> np.ndarray:
        result = np.zeros(len(self.names))
        for name, count in queued.items():
            if count and name in self.positions:
                result[self.positions[name]] = count
        return result

    def _row(self, state: EndpointState, now: float, peers: int) -> tuple[float, ...]:
        """Return the column of one endpoint in `rows`."""
        capacity = self._capacity(state, now, peers)
        return (
            state.rate,
            self._backlog(state, now) / state.rate,
            state.service_seconds / capacity,
            capacity,
            state.in_flight,
            state.prefilling + state.others_waiting,
            self.is_available(state, now),
            state.confidence,
            state.endpoint.data_centre != self.data_centre,
        )

    def touch(self, name: str) -> EndpointState | None:
        """Return the state of an endpoint that is about to change, None when it is unknown."""
        state = self.states.get(name)
        if state is not None:
            self.dirty.add(name)
        return state

    def _backlog(self, state: EndpointState, now: float) -> float:
        """Return prompt tokens ahead of a new request: own ones and those of other routers."""
        if state.report is None or now - state.reported_at > LOAD_REPORT_MAX_AGE_SECONDS:
            return state.outstanding_tokens
        return state.outstanding_tokens + state.others_waiting * self.mean_new_tokens

    def _capacity(self, state: EndpointState, now: float, peers: int) -> int:
        """Return how many requests this router may have at an endpoint.

        A router may use `ROOM_FACTOR` times its equal part of the slots, because routers do not
        load the endpoints alike.
        """
        part = state.endpoint.slots * min(1.0, ROOM_FACTOR / peers)
        return max(1, int(max(MIN_ROOM, part) * self._warmth(state, now)))

    def _warmth(self, state: EndpointState, now: float) -> float:
        """Return the share of its room that an endpoint gets during slow start."""
        if self.preset.slow_start_seconds <= 0:
            return 1.0
        age = (now - state.cold_since) / self.preset.slow_start_seconds
        return min(1.0, max(SLOW_START_FLOOR, age))

    def allowed(
        self,
        model: str,
        service: str,
        excluded: frozenset[str],
        version: str = "",
        adapter: str = "",
    ) -> np.ndarray:
        """Return which endpoints serve a model or service.

        Args:
          model: Name of the model, or the empty string.
          service: Name of the service, or the empty string.
          excluded: Endpoints that must not be chosen.
          version: Weights version that must be loaded, as far as the endpoint reported any.
          adapter: Name and version of the adapter that must be loaded, or empty.

        Returns:
          Boolean array, one element an endpoint.
        """
        key = (model, service, version, adapter)
        if key not in self.masks:
            serving = [self._serves(state, *key) for state in self.states.values()]
            self.masks[key] = np.array(serving, dtype=bool)
        mask = self.masks[key]
        if not excluded:
            return mask
        return mask & np.array([name not in excluded for name in self.names], dtype=bool)

    def _serves(
        self, state: EndpointState, model: str, service: str, version: str, adapter: str
    ) -> bool:
        endpoint = state.endpoint
        if service in endpoint.services:
            return True
        is_ready = model in endpoint.models and state.role != DECODE_ROLE
        has_weights = state.weights.get(model, version) == version
        return is_ready and has_weights and _has_adapter(state, model, adapter)

    def set_loaded(
        self, name: str, weights: dict[str, str], adapters: dict[str, str] | None, role: str
    ) -> None:
        """Record the weights, adapters and role that an endpoint reports."""
        state = self.states.get(name)
        if state is None or (state.weights, state.adapters, state.role) == (
            weights,
            adapters,
            role,
        ):
            return
        state.weights, state.adapters, state.role = weights, adapters, role
        self.masks.clear()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Record which endpoints the platform is about to take away."""
        for name, state in self.states.items():
            if state.leaving != (name in names):
                self.touch(name).leaving = name in names

    def doubt(self, name: str) -> None:
        """Trust predicted reuse a little less after cache events were lost.

        Gaps alone do not lower the confidence below `DOUBT`: what answers report decides.
        """
        state = self.touch(name)
        if state is not None:
            state.confidence = min(state.confidence, max(DOUBT, state.confidence * GAP_DISCOUNT))

    def revive(self, name: str) -> None:
        """Record that an endpoint answers its watcher, which ends an ejection as dead."""
        state = self.touch(name)
        if state is not None and state.is_dead:
            state.is_dead = False
            state.failures = 0
            state.ejected_until = 0.0


def _has_adapter(state: EndpointState, model: str, adapter: str) -> bool:
    """Return whether an adapter is loaded, as far as the endpoint reports adapters."""
    if not adapter or state.adapters is None:
        return True
    name, _, version = adapter.partition("@")
    return state.adapters.get(f"{model}/{name}") == version


def _weight(endpoint: config.Endpoint) -> float:
    """Return the weight in rendezvous hashing: the geometric mean of speed and cache size."""
    return math.sqrt(endpoint.prefill_tokens_per_second * endpoint.cache_pieces)
