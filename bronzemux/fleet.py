"""State of the endpoints as one router sees them: load, speed, health and cache reuse."""

import dataclasses
import itertools
import math

import numpy as np

from bronzemux import config, continuation, routing

LOAD_REPORT_MAX_AGE_SECONDS = 5.0
NEW_TOKENS_EWMA_WEIGHT = 0.05
SLOT_SECONDS_EWMA_WEIGHT = 0.05
INITIAL_SLOT_SECONDS = 0.5
INITIAL_NEW_TOKENS = 1000.0
CONFIDENCE_EWMA_WEIGHT = 0.1
EJECT_AFTER_FAILURES = 1
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 30.0
# Longest pause that an endpoint may ask for; then requests show whether it still refuses them.
MAX_PAUSE_SECONDS = 60.0
MIN_SLOW_START_FRACTION = 0.1
VIEW_MAX_AGE_SECONDS = 0.1
VIEW_ROW_COUNT = 9
GAP_CONFIDENCE_FACTOR = 0.95
GAP_CONFIDENCE_FLOOR = 0.8
CAPACITY_FACTOR = 3.0
SLOWNESS_EXPONENT = 0.15  # damps the effect of a single measurement
SLOWNESS_FLOOR_SECONDS = 0.03  # damps the effect of differences between short times
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
MIN_CAPACITY_REQUESTS = 2
DECODE_ROLE = "decode"


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load that an endpoint reported, which may be out of date.

    Attributes:
      endpoint: Name of the endpoint.
      incarnation: Identity of the endpoint's process.
      running: Number of requests whose response is being generated.
      waiting: Number of requests whose prefill has not ended.
    """

    endpoint: str
    incarnation: str
    running: int
    waiting: int


@dataclasses.dataclass
class EndpointState:
    """State of one endpoint as one router sees it.

    Attributes:
      endpoint: Configuration of the endpoint.
      incarnation: Identity of its process, empty before the first report.
      in_flight: Requests of this router that run there.
      prefilling: Requests of this router whose prefill has not ended.
      outstanding_tokens: Prompt tokens that it has still to compute for these requests.
      slowness: Ratio of the observed to the configured prefill time.
      slot_seconds: Mean time that a request occupies a slot.
      confidence: Fraction of predicted cache reuse that recent responses confirmed, 0 to 1.
      failures: Number of consecutive failed attempts.
      ejected_until: Monotonic seconds until which the endpoint gets no new requests.
      paused_until: Monotonic seconds at which the last pause that the endpoint asked for ends.
      restarted_at: Monotonic seconds when a new incarnation was seen, which begins the slow start.
      is_leaving: Whether the platform is about to remove its VM.
      is_unreachable: Whether it was ejected because it refused connections.
      report: Last load report of this incarnation.
      reported_at: Monotonic seconds of the last load report.
      others_waiting: Requests of other routers that wait for prefill there.
      weights: Loaded weights version by model.
      adapters: Loaded adapter version by `engine.adapter_key`, None if not reported.
      role: Role of the engine, empty if not reported.
      software: Version of this incarnation's software, empty if it states none, None before its
        first report.
    """

    endpoint: config.Endpoint
    incarnation: str = ""
    in_flight: int = 0
    prefilling: int = 0
    outstanding_tokens: int = 0
    slowness: float = 1.0
    slot_seconds: float = INITIAL_SLOT_SECONDS
    confidence: float = 1.0
    failures: int = 0
    ejected_until: float = 0.0
    paused_until: float = -1e9
    restarted_at: float = -1e9
    is_leaving: bool = False
    is_unreachable: bool = False
    report: LoadReport | None = None
    reported_at: float = -1e9
    others_waiting: int = 0
    weights: dict[str, str] = dataclasses.field(default_factory=dict)
    adapters: dict[str, str] | None = None
    role: str = ""
    software: str | None = None

    @property
    def rate(self) -> float:
        """Return the expected prefill speed in tokens per second."""
        return self.endpoint.prefill_tokens_per_second / self.slowness


class Fleet:
    """State of all endpoints; owned by one task.

    Args:
      data_centre: Data centre of this router.

    Attributes:
      view_rows: Values for `view`, with one row per quantity and one column per endpoint.
      dirty: Names of the endpoints whose column in `view_rows` is stale.
      masks: Results of `allowed` without exclusions, by its other arguments.
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre
        self.states: dict[str, EndpointState] = {}
        self.preset: config.Preset | None = None
        self.operations = config.Operations()
        self.mean_new_tokens = INITIAL_NEW_TOKENS
        self.names: tuple[str, ...] = ()
        self.name_hashes = np.array([], dtype=np.uint64)
        self.hash_weights = np.array([])
        self.positions: dict[str, int] = {}
        self.view_rows = np.zeros((VIEW_ROW_COUNT, 0))
        self.dirty: set[str] = set()
        self.view_router_count = 0
        self.refreshed_at = -1e9
        self.masks: dict[tuple[str, str, str, str], np.ndarray] = {}

    def apply(self, document: config.Config, preset: config.Preset) -> tuple[str, ...]:
        """Add, update and remove endpoints to match a configuration.

        Args:
          document: The configuration.
          preset: The preset in force.

        Returns:
          Names of the removed endpoints.
        """
        self.preset = preset
        self.operations = document.operations
        wanted = {endpoint.name: endpoint for endpoint in document.endpoints}
        removed = tuple(name for name in self.states if name not in wanted)
        for name in removed:
            del self.states[name]
        for name, endpoint in wanted.items():
            self._add_or_update(name, endpoint)
        self.names = tuple(self.states)
        name_hashes = [routing.name_hash(name) for name in self.names]
        self.name_hashes = np.array(name_hashes, dtype=np.uint64)
        self.hash_weights = np.array(
            [_hash_weight(state.endpoint) for state in self.states.values()]
        )
        self.positions = {name: position for position, name in enumerate(self.names)}
        self.view_rows = np.zeros((VIEW_ROW_COUNT, len(self.names)))
        self.dirty = set(self.states)
        self.masks.clear()
        return removed

    def _add_or_update(self, name: str, endpoint: config.Endpoint) -> None:
        state = self.states.get(name)
        if state is None:
            self.states[name] = EndpointState(endpoint)
        elif state.endpoint != endpoint:
            state.endpoint = endpoint

    def is_drained(self, state: EndpointState) -> bool:
        """Return whether the preset, an operator or the removal of its VM drains an endpoint."""
        endpoint = state.endpoint
        by_preset = endpoint.name in self.preset.drained_endpoints
        by_data_centre = endpoint.data_centre in self.preset.drained_data_centres
        by_operator = endpoint.name in self.operations.drained_endpoints
        return state.is_leaving or by_preset or by_data_centre or by_operator

    def is_available(self, state: EndpointState, now: float) -> bool:
        """Return whether an endpoint may get new requests.

        It may if it is not drained, not ejected, and has no pause.
        """
        return not self.is_drained(state) and max(state.ejected_until, state.paused_until) <= now

    def is_reachable(self, state: EndpointState) -> bool:
        """Return whether an endpoint is neither drained nor down; it may be ejected or paused."""
        return not self.is_drained(state) and not state.is_unreachable

    def update_load(self, report: LoadReport, now: float) -> bool:
        """Record a load report.

        Args:
          report: The report.
          now: Monotonic seconds.

        Returns:
          Whether the report shows a new incarnation of a known endpoint.
        """
        state = self._state_to_update(report.endpoint)
        if state is None:
            return False
        is_new = self.update_incarnation(report.endpoint, report.incarnation, now)
        state.report = report
        state.reported_at = now
        state.others_waiting = max(0, report.waiting - state.prefilling)
        return is_new

    def update_incarnation(self, name: str, incarnation: str, now: float) -> bool:
        """Record the incarnation that an endpoint reported.

        Args:
          name: Name of the endpoint.
          incarnation: Identity of its process.
          now: Monotonic seconds.

        Returns:
          Whether it replaced an earlier incarnation, whose cache is lost.
        """
        state = self._state_to_update(name)
        if state is None or state.incarnation == incarnation:
            return False
        is_restart = state.incarnation != ""
        state.incarnation = incarnation
        state.software = None
        if is_restart:
            state.restarted_at = now
            state.confidence = 1.0
            state.slowness = 1.0
            state.report = None
            state.ejected_until = 0.0
            state.paused_until = -1e9
        return is_restart

    def record_start(self, name: str, tokens: int) -> None:
        """Record a request sent to an endpoint.

        Args:
          name: Name of the endpoint.
          tokens: Prompt tokens that it is expected to compute.
        """
        state = self._state_to_update(name)
        state.in_flight += 1
        state.prefilling += 1
        state.outstanding_tokens += tokens

    def record_prefill_end(self, name: str, tokens: int) -> None:
        """Record the end of a prefill, once for each `record_start`."""
        state = self._state_to_update(name)
        if state is not None:
            state.prefilling = max(0, state.prefilling - 1)
            state.outstanding_tokens = max(0, state.outstanding_tokens - tokens)

    def record_end(self, name: str) -> None:
        """Record the end of a request."""
        state = self._state_to_update(name)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)

    def record_success(self, name: str) -> None:
        """Record a successful attempt, which ends an ejection."""
        state = self._state_to_update(name)
        if state is not None:
            state.failures = 0
            state.ejected_until = 0.0

    def record_failure(self, name: str, now: float, is_unreachable: bool) -> bool:
        """Record a failed attempt and eject the endpoint if the ejection limit allows it.

        Args:
          name: Name of the endpoint.
          now: Monotonic seconds.
          is_unreachable: Whether the endpoint refused connections; it is then ejected regardless
            of the limit.

        Returns:
          Whether the endpoint was ejected.
        """
        state = self._state_to_update(name)
        if state is None:
            return False
        state.failures += 1
        if state.failures < EJECT_AFTER_FAILURES:
            return False
        if not is_unreachable and not self._may_eject(now):
            return False
        seconds = BASE_EJECTION_SECONDS * 2 ** min(state.failures - EJECT_AFTER_FAILURES, 10)
        state.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        state.is_unreachable = state.is_unreachable or is_unreachable
        return True

    def pause(self, name: str, until: float) -> None:
        """Suspend new requests to an endpoint that refused one, until its next load report is due.

        Args:
          name: Name of the endpoint.
          until: Monotonic seconds.
        """
        state = self._state_to_update(name)
        if state is not None:
            state.ejected_until = max(state.ejected_until, until)

    def grant_pause(self, name: str, seconds: float, now: float) -> None:
        """Suspend new requests to an endpoint for the pause that it asked for.

        Unlike an ejection, the pause does not end with a success of a request that was sent before.

        Args:
          name: Name of the endpoint.
          seconds: Length of the pause, of which at most `MAX_PAUSE_SECONDS` count.
          now: Monotonic seconds.
        """
        state = self._state_to_update(name)
        if state is not None:
            until = now + min(seconds, MAX_PAUSE_SECONDS)
            state.paused_until = max(state.paused_until, until)

    def shortest_pause(self, allowed: np.ndarray, now: float) -> float:
        """Return the seconds until the first pause ends, 0 unless all endpoints have a pause.

        Args:
          allowed: Which endpoints count, one element per endpoint; drained ones do not.
          now: Monotonic seconds.
        """
        states = itertools.compress(self.states.values(), allowed)
        pauses = [state.paused_until - now for state in states if not self.is_drained(state)]
        return max(0.0, min(pauses, default=0.0))

    def _may_eject(self, now: float) -> bool:
        ejected = sum(1 for state in self.states.values() if state.ejected_until > now)
        return ejected + 1 <= max(1, self.preset.ejection_limit * len(self.states))

    def update_confidence(self, name: str, predicted_tokens: int, cached_tokens: int) -> None:
        """Update the confidence in predicted cache reuse from a response's ``cached_tokens``."""
        state = self._state_to_update(name)
        if state is None or predicted_tokens <= 0:
            return
        fraction = min(1.0, cached_tokens / predicted_tokens)
        state.confidence += CONFIDENCE_EWMA_WEIGHT * (fraction - state.confidence)
        state.confidence = max(routing.MIN_CONFIDENCE, state.confidence)

    def update_slowness(self, name: str, expected: float, seconds: float) -> None:
        """Update the slowness of an endpoint from a measured time to first token.

        Args:
          name: Name of the endpoint.
          expected: Expected time to first token at the assignment, in seconds.
          seconds: Measured time to first token, in seconds.
        """
        state = self._state_to_update(name)
        if state is None:
            return
        ratio = (seconds + SLOWNESS_FLOOR_SECONDS) / (expected + SLOWNESS_FLOOR_SECONDS)
        slowness = state.slowness * ratio**SLOWNESS_EXPONENT
        state.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))

    def update_slot_time(self, name: str, seconds: float) -> None:
        """Update the mean time that a request occupies a slot of an endpoint."""
        state = self._state_to_update(name)
        if state is not None:
            state.slot_seconds += SLOT_SECONDS_EWMA_WEIGHT * (seconds - state.slot_seconds)

    def update_new_tokens(self, tokens: int) -> None:
        """Update the mean number of tokens that engines compute for a prompt."""
        self.mean_new_tokens += NEW_TOKENS_EWMA_WEIGHT * (tokens - self.mean_new_tokens)

    def view(self, now: float, router_count: int, queued: dict[str, int]) -> routing.FleetView:
        """Return an immutable view for one routing decision.

        Columns of endpoints that did not change are reused for `VIEW_MAX_AGE_SECONDS`.

        Args:
          now: Monotonic seconds.
          router_count: Number of routers that share the endpoints.
          queued: Number of requests of this router that wait for a slot, by endpoint.
        """
        if router_count != self.view_router_count or now - self.refreshed_at > VIEW_MAX_AGE_SECONDS:
            self.dirty = set(self.states)
            self.view_router_count = router_count
            self.refreshed_at = now
        if self.dirty:
            self.view_rows = self.view_rows.copy()
            for name in self.dirty:
                self.view_rows[:, self.positions[name]] = self._column(
                    self.states[name], now, router_count
                )
            self.dirty = set()
        rate, wait, slot_interval, capacity, in_flight, waiting, available, confidence, remote = (
            self.view_rows
        )
        ahead = self._queued_ahead(queued)
        free = capacity - in_flight
        return routing.FleetView(
            names=self.names,
            name_hashes=self.name_hashes,
            hash_weights=self.hash_weights,
            rate=rate,
            wait=wait,
            slot_wait=np.where(free - ahead > 0, 0.0, slot_interval * (ahead + 1)),
            queue=ahead + waiting,
            free_slots=np.maximum(0, free),
            available=available > 0,
            confidence=confidence,
            remote=remote,
            now=now,
        )

    def _queued_ahead(self, queued: dict[str, int]) -> np.ndarray:
        """Return the queued requests as an array with one element per endpoint."""
        result = np.zeros(len(self.names))
        for name, count in queued.items():
            if count and name in self.positions:
                result[self.positions[name]] = count
        return result

    def _column(self, state: EndpointState, now: float, router_count: int) -> tuple[float, ...]:
        """Return the column of one endpoint in `view_rows`."""
        capacity = self._capacity(state, now, router_count)
        return (
            state.rate,
            self._backlog(state, now) / state.rate,
            state.slot_seconds / capacity,
            capacity,
            state.in_flight,
            state.prefilling + state.others_waiting,
            self.is_available(state, now),
            state.confidence,
            state.endpoint.data_centre != self.data_centre,
        )

    def _state_to_update(self, name: str) -> EndpointState | None:
        """Return the state of an endpoint and mark its column of the view as stale.

        Returns:
          The state, or None for an unknown endpoint.
        """
        state = self.states.get(name)
        if state is not None:
            self.dirty.add(name)
        return state

    def _backlog(self, state: EndpointState, now: float) -> float:
        """Return the prompt tokens to compute before a new request, of this router and the others.

        The tokens of other routers are estimated from the last load report, unless it is too old.
        """
        if state.report is None or now - state.reported_at > LOAD_REPORT_MAX_AGE_SECONDS:
            return state.outstanding_tokens
        return state.outstanding_tokens + state.others_waiting * self.mean_new_tokens

    def _capacity(self, state: EndpointState, now: float, router_count: int) -> int:
        """Return how many requests this router may have in flight at an endpoint.

        A router may use `CAPACITY_FACTOR` times an equal share of the slots, because the load on
        an endpoint differs between routers.
        """
        slot_share = state.endpoint.slots * min(1.0, CAPACITY_FACTOR / router_count)
        return max(
            1, int(max(MIN_CAPACITY_REQUESTS, slot_share) * self._slow_start_fraction(state, now))
        )

    def _slow_start_fraction(self, state: EndpointState, now: float) -> float:
        """Return the fraction of an endpoint's capacity that slow start allows, 0 to 1.

        It follows a restart or a pause, so that not all waiting requests go there at once.
        """
        if self.preset.slow_start_seconds <= 0:
            return 1.0
        started_at = max(state.restarted_at, state.paused_until)
        age = (now - started_at) / self.preset.slow_start_seconds
        return min(1.0, max(MIN_SLOW_START_FRACTION, age))

    def allowed(
        self,
        model: str,
        service: str,
        excluded: frozenset[str],
        version: str = "",
        adapter: str = "",
        software: str | None = None,
    ) -> np.ndarray:
        """Return which endpoints serve a model or service, drained and ejected ones included.

        Args:
          model: Name of the model, or the empty string.
          service: Name of the service, or the empty string.
          excluded: Endpoints that must not be chosen.
          version: Weights version that must be loaded; endpoints that report none qualify.
          adapter: ``name@version`` of the adapter that must be loaded, or the empty string.
          software: Software version whose response is to be continued, None for a new response.

        Returns:
          Boolean array, one element per endpoint.
        """
        key = (model, service, version, adapter)
        if key not in self.masks:
            serving = [self._serves(state, *key) for state in self.states.values()]
            self.masks[key] = np.array(serving, dtype=bool)
        mask = self.masks[key]
        if excluded:
            mask = mask & np.array([name not in excluded for name in self.names], dtype=bool)
        return mask if software is None else mask & self._continuing(software)

    def _continuing(self, software: str) -> np.ndarray:
        """Return which endpoints may continue a response that a software version began."""
        states = self.states.values()
        found = [continuation.may_continue(software, state.software) for state in states]
        return np.array(found, dtype=bool)

    def _serves(
        self, state: EndpointState, model: str, service: str, version: str, adapter: str
    ) -> bool:
        endpoint = state.endpoint
        if service in endpoint.services:
            return True
        is_ready = model in endpoint.models and state.role != DECODE_ROLE
        has_weights = state.weights.get(model, version) == version
        return is_ready and has_weights and _has_adapter(state, model, adapter)

    def update_loaded(
        self,
        name: str,
        weights: dict[str, str],
        adapters: dict[str, str] | None,
        role: str,
        software: str = "",
    ) -> None:
        """Record the weights, adapters, role and software version that an endpoint reports."""
        state = self.states.get(name)
        found = (weights, adapters, role, software)
        if state is None or found == (
            state.weights,
            state.adapters,
            state.role,
            state.software,
        ):
            return
        state.weights, state.adapters, state.role, state.software = found
        self.masks.clear()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Record the endpoints whose VM the platform is about to remove."""
        for name, state in self.states.items():
            if state.is_leaving != (name in names):
                self._state_to_update(name).is_leaving = name in names

    def discount_confidence(self, name: str) -> None:
        """Lower the confidence in predicted cache reuse after cache events were lost.

        Event gaps alone do not lower it below `GAP_CONFIDENCE_FLOOR`; only the cached tokens that
        responses report do.
        """
        state = self._state_to_update(name)
        if state is not None:
            state.confidence = min(
                state.confidence,
                max(GAP_CONFIDENCE_FLOOR, state.confidence * GAP_CONFIDENCE_FACTOR),
            )

    def record_alive(self, name: str) -> None:
        """Record a successful poll, which ends an ejection for refused connections."""
        state = self._state_to_update(name)
        if state is not None and state.is_unreachable:
            state.is_unreachable = False
            state.failures = 0
            state.ejected_until = 0.0


def _has_adapter(state: EndpointState, model: str, adapter: str) -> bool:
    """Return whether an adapter is loaded; True if the endpoint reports no adapters at all."""
    if not adapter or state.adapters is None:
        return True
    name, _, version = adapter.partition("@")
    return state.adapters.get(f"{model}/{name}") == version


def _hash_weight(endpoint: config.Endpoint) -> float:
    """Return the rendezvous hashing weight: the geometric mean of prefill speed and cache size."""
    return math.sqrt(endpoint.prefill_tokens_per_second * endpoint.cache_pieces)
