"""Task that owns the state of all endpoints and assigns requests to them."""

import dataclasses
import functools
import random

from bronzemux import (
    admission,
    cache_store,
    candidates,
    config,
    engine,
    errors,
    fleet,
    health,
    limits,
    logs,
    messages,
    metrics,
    policies,
    preferences,
    prefix_index,
    quarantine,
    requests,
    retries,
    routing,
    supervisor,
)
from bronzemux import clock as clocks

TICK_SECONDS = 0.25
COMPUTED_FRACTION_EWMA_WEIGHT = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1.0
REFUSAL_RETRY_RATIO = 1.0
MIN_REFUSAL_RETRIES_PER_WINDOW = 20


@dataclasses.dataclass(frozen=True)
class DispatcherSettings:
    """Settings of the dispatcher.

    Attributes:
      data_centre: Data centre of this router.
      index_entries: Capacity of the prefix index, in keys.
      policy: Routing policy that chooses endpoints.
    """

    data_centre: str
    index_entries: int = prefix_index.DEFAULT_CAPACITY_KEYS
    policy: policies.Policy = dataclasses.field(default_factory=policies.ReuseAndLoad)


class Dispatcher(supervisor.Task):
    """Admission, routing, retry budget, health and quarantine of one router.

    Args:
      settings: Settings.
      clock: Source of time.
      meters: Metrics of the router.
      on_quarantine: Called with newly quarantined fingerprints.

    Attributes:
      running: Assignments in progress, by endpoint and request id.
      admitted_ids: Ids of the requests that count towards their team's concurrency limit.
      prefilling: Request id and endpoint of each attempt whose prefill has not ended.
      computed_fraction: Moving average of the fraction of prompt tokens that endpoints compute.
    """

    def __init__(
        self,
        settings: DispatcherSettings,
        clock: clocks.Clock,
        meters: metrics.Metrics,
        on_quarantine=lambda fingerprints: None,
    ):
        super().__init__("dispatcher", clock, TICK_SECONDS)
        self.settings = settings
        self.meters = meters
        self.on_quarantine = on_quarantine
        self.snapshot = None
        self.router_count = 1
        self._reset_state()

    def _reset_state(self) -> None:
        self.fleet = fleet.Fleet(self.settings.data_centre)
        self.index = prefix_index.PrefixIndex(self.settings.index_entries)
        self.queue = admission.FairQueue(limit=1)
        self.limits = limits.TeamLimits()
        self.retry_budget = retries.RetryBudget()
        self.refusal_retry_budget = retries.RetryBudget(MIN_REFUSAL_RETRIES_PER_WINDOW)
        self.quarantine = quarantine.Quarantine(is_nested=True)
        self.running: dict[str, dict[str, messages.Assignment]] = {}
        self.prefilling: set[tuple[str, str]] = set()
        self.preferences = preferences.PreferredEndpoints()
        self.cache_store_tracker = cache_store.CacheStoreTracker()
        random_source = random.Random(self.settings.data_centre)
        self.candidates = candidates.Candidates(
            self.fleet, self.quarantine, self.running, random_source, self.clock
        )
        self.health = health.Health(
            self.fleet,
            self.index,
            self.cache_store_tracker,
            self.quarantine,
            self.running,
            self.meters,
            self.clock,
            lambda fingerprints: self.on_quarantine(fingerprints),
            self.prefilling,
        )
        self.admitted_ids: set[str] = set()
        self.computed_fraction = 1.0

    def run(self) -> None:
        """Handle messages and ticks; a failure rejects the queued requests before it is raised."""
        try:
            super().run()
        except Exception:
            for ticket in list(self.queue):
                ticket.payload.reply.set_exception(_failed_error())
            raise

    def initialise_state(self) -> None:
        """Reset all state except the configuration."""
        snapshot = self.snapshot
        self._reset_state()
        if snapshot is not None:
            self._handle_snapshot(messages.SnapshotChanged(snapshot))

    # Messages

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message of module `messages`."""
        return super().handle(message)

    @handle.register
    def _handle_snapshot(self, message: messages.SnapshotChanged) -> None:
        self.snapshot = message.snapshot
        removed = self.fleet.apply(message.snapshot.config, message.snapshot.preset)
        self.preferences = preferences.PreferredEndpoints()
        self.cache_store_tracker.apply(message.snapshot.config.cache_store)
        for name in removed:
            self.index.forget(name)
        self.queue.limit = message.snapshot.preset.queue_limit
        self._assign_waiting()

    @handle.register
    def _handle_admit(self, message: messages.Admit) -> None:
        try:
            ticket = self._check_admission(message)
        except errors.RequestError as error:
            self.meters.refusals.labels(error.kind).inc()
            message.reply.set_exception(error)
            return
        except Exception:
            message.reply.set_exception(_failed_error())
            raise
        self.queue.push(ticket)
        self._assign_waiting()

    @handle.register
    def _handle_cancel(self, message: messages.CancelAdmission) -> None:
        self.queue.remove(message.request.metadata.id)
        self.preferences.forget(message.request.metadata.id)

    @handle.register
    def _handle_first_part(self, message: messages.FirstPart) -> None:
        assignment = message.assignment
        self._end_prefill(assignment)
        self.quarantine.record_begun(assignment.request.fingerprints[:-1], self.clock.monotonic())
        if assignment.expected_seconds:
            seconds = self.clock.monotonic() - assignment.assigned_at
            name = assignment.endpoint.name
            self.fleet.update_slowness(name, assignment.expected_seconds, seconds)

    @handle.register
    def _handle_attempt_ended(self, message: messages.AttemptEnded) -> None:
        assignment = message.assignment
        name = assignment.endpoint.name
        has_begun = (assignment.request.metadata.id, name) not in self.prefilling
        self._end_prefill(assignment)
        self.fleet.record_end(name)
        self.running.get(name, {}).pop(assignment.request.metadata.id, None)
        if message.incarnation:
            self.health.update_incarnation(name, message.incarnation)
        if message.error is None:
            self._record_success(message)
        else:
            self.health.record_failure(message, has_begun)
        if self.health.record_pause(message):
            self._reject_during_pauses()
        self._assign_waiting()

    @handle.register
    def _handle_request_ended(self, message: messages.RequestEnded) -> None:
        metadata = message.request.metadata
        if metadata.id in self.admitted_ids:
            self.admitted_ids.discard(metadata.id)
            self.limits.release(metadata.team.name)

    @handle.register
    def _handle_endpoint_report(self, message: messages.EndpointReport) -> None:
        name = message.endpoint
        if name not in self.fleet.states:
            return
        now = self.clock.monotonic()
        self.health.update_incarnation(name, message.state.load.incarnation)
        self.cache_store_tracker.record_alive(message.state.load.incarnation)
        self.fleet.update_load(message.state.load, now)
        engine_state = message.state
        adapters = None if engine_state.adapters is None else dict(engine_state.adapters)
        self.fleet.update_loaded(name, dict(engine_state.weights), adapters, engine_state.role)
        if message.has_gap:
            self.meters.event_gaps.inc()
            self.fleet.discount_confidence(name)
        events = message.state.events
        self.index.insert(name, events.stored)
        self.index.remove(name, events.evicted)
        self.fleet.record_alive(name)
        self._assign_waiting()

    @handle.register
    def _handle_endpoint_alive(self, message: messages.EndpointAlive) -> None:
        self.fleet.record_alive(message.endpoint)
        self._assign_waiting()

    @handle.register
    def _handle_endpoint_down(self, message: messages.EndpointDown) -> None:
        state = self.fleet.states.get(message.endpoint)
        if state is None:
            return
        if self.fleet.record_failure(message.endpoint, self.clock.monotonic(), is_unreachable=True):
            logs.event("endpoint_down", "warning", endpoint=message.endpoint)
        self.health.record_death(message.endpoint, state.incarnation)

    @handle.register
    def _handle_leaving(self, message: messages.LeavingEndpoints) -> None:
        self.fleet.set_leaving(message.names)

    @handle.register
    def _handle_quarantined(self, message: messages.QuarantinedFingerprints) -> None:
        now = self.clock.monotonic()
        for item in message.fingerprints:
            self.quarantine.merge(
                quarantine.Verdict(
                    frozenset({item}), "other router", now, quarantine.FIRST_TERM_SECONDS
                ),
                now,
            )

    @handle.register
    def _handle_limit_shares(self, message: messages.LimitShares) -> None:
        self.limits.default_share = message.default_share
        self.limits.shares = dict(message.shares)

    @handle.register
    def _handle_router_count(self, message: messages.RouterCount) -> None:
        self.router_count = max(1, message.count)

    @handle.register
    def _handle_get_status(self, message: messages.GetStatus) -> messages.DispatcherStatus:
        now = self.clock.monotonic()
        usage = self.limits.usage.items()
        return messages.DispatcherStatus(
            version=self.snapshot.version if self.snapshot else 0,
            preset=self.snapshot.preset.name if self.snapshot else "",
            waiting=len(self.queue),
            running=sum(len(items) for items in self.running.values()),
            index_entries=len(self.index),
            quarantined=len(self.quarantine.verdicts),
            endpoints=tuple(
                self._endpoint_status(state, now) for state in self.fleet.states.values()
            ),
            team_requests=tuple((team, item.total_requests) for team, item in usage),
        )

    def _endpoint_status(self, state: fleet.EndpointState, now: float) -> messages.EndpointStatus:
        return messages.EndpointStatus(
            name=state.endpoint.name,
            is_available=self.fleet.is_available(state, now),
            is_drained=self.fleet.is_drained(state),
            in_flight=state.in_flight,
            outstanding_tokens=state.outstanding_tokens,
            confidence=state.confidence,
            rate=state.rate,
            incarnation=state.incarnation,
            weights=dict(state.weights),
        )

    def tick(self) -> None:
        """Reject requests whose deadline passed and assign waiting requests."""
        self.quarantine.expire(self.clock.monotonic())
        for ticket in self.queue.expire(self.clock.monotonic()):
            self.meters.refusals.labels(errors.OverloadedError.kind).inc()
            self.preferences.forget(ticket.request_id)
            ticket.payload.reply.set_exception(
                self._overloaded("the deadline passed while the request was queued")
            )
        self.meters.waiting.set(len(self.queue))
        self._assign_waiting()

    # Admission

    def _check_admission(self, message: messages.Admit) -> admission.Ticket:
        request, now = message.request, self.clock.monotonic()
        verdict = self.quarantine.verdict_for(request.fingerprints, now)
        if verdict is not None:
            raise _quarantined_error(",".join(sorted(verdict.members)))
        if message.is_retry:
            self._check_retry(message, now)
        else:
            self._charge_new_request(request, now)
        return self._make_ticket(message, now)

    def _check_retry(self, message: messages.Admit, now: float) -> None:
        """Charge a retry to a retry budget.

        A retry of a request that an endpoint refused without running it costs little, so that such
        retries have a separate budget.

        Raises:
          errors.OverloadedError: When the budget is exhausted.
        """
        if message.was_refused:
            is_granted = self.refusal_retry_budget.try_retry(REFUSAL_RETRY_RATIO, now)
        else:
            is_granted = self.retry_budget.try_retry(self.snapshot.preset.retry_ratio, now)
        if not is_granted:
            self.meters.retries_refused.inc()
            raise errors.OverloadedError(
                "the retry budget is exhausted", "send again after Retry-After", RETRY_AFTER_SECONDS
            )
        self.meters.retries.inc()

    def _charge_new_request(self, request: requests.Request, now: float) -> None:
        self.limits.admit(request.metadata.team, token_cost(request), now)
        self.admitted_ids.add(request.metadata.id)
        self.retry_budget.record_request(now)
        self.refusal_retry_budget.record_request(now)

    def _make_ticket(self, message: messages.Admit, now: float) -> admission.Ticket:
        request = message.request
        metadata = request.metadata
        ticket = admission.Ticket(
            request_id=metadata.id,
            team=metadata.team.name,
            weight=metadata.team.weight,
            priority=metadata.workload.priority,
            cost=token_cost(request),
            deadline=metadata.deadline,
            payload=message,
        )
        if not self.candidates.configured(request).any():
            raise errors.UnavailableError(
                "no endpoint serves this model or service",
                "send again after Retry-After",
                RETRY_AFTER_SECONDS,
            )
        self._check_pauses(request, now)
        if not self.queue.has_space(ticket):
            raise self._overloaded("the queue is full")
        if now + self._expected_wait() > metadata.deadline:
            raise self._overloaded("the expected queueing delay exceeds the deadline")
        return ticket

    def _check_pauses(self, request: requests.Request, now: float) -> None:
        """Check that a pause of all endpoints of a request ends before its deadline.

        Raises:
          errors.OverloadedError: When it does not.
        """
        pause = self.fleet.shortest_pause(self.candidates.configured(request), now)
        if now + pause > request.metadata.deadline:
            raise errors.OverloadedError(
                "all endpoints asked for a pause", "send again after Retry-After", pause
            )

    def _reject_during_pauses(self) -> None:
        """Reject the queued requests whose deadline is before the end of the pauses."""
        now = self.clock.monotonic()
        for ticket in list(self.queue):
            try:
                self._check_pauses(ticket.payload.request, now)
            except errors.OverloadedError as error:
                self.queue.remove(ticket.request_id)
                self.preferences.forget(ticket.request_id)
                self.meters.refusals.labels(error.kind).inc()
                ticket.payload.reply.set_exception(error)

    def _expected_wait(self) -> float:
        """Return the expected queueing delay in seconds, 0 when no endpoint is available."""
        now = self.clock.monotonic()
        states = self.fleet.states.values()
        rate = sum(state.rate for state in states if self.fleet.is_available(state, now))
        return self.queue.waiting_cost * self.computed_fraction / rate if rate else 0.0

    def _overloaded(self, reason: str) -> errors.OverloadedError:
        wait = max(MIN_RETRY_AFTER_SECONDS, self._expected_wait())
        return errors.OverloadedError(reason, "send again after Retry-After", wait)

    # Routing

    def _assign_waiting(self) -> None:
        while len(self.queue):
            now = self.clock.monotonic()
            view = self.fleet.view(now, self.router_count, self.preferences.counts)
            if not (view.available & (view.free_slots > 0)).any():
                return
            choices: list[routing.Choice] = []
            ticket = self.queue.pop_first(functools.partial(self._accept, view, choices))
            if ticket is None:
                return
            self.preferences.forget(ticket.request_id)
            try:
                self._assign(ticket.payload, choices[0], now)
            except Exception:
                ticket.payload.reply.set_exception(_failed_error())
                raise

    def _accept(self, view, choices, ticket: admission.Ticket) -> bool:
        """Return whether a ticket can start now.

        If it can, the choice is appended to `choices`. If it has to wait for an endpoint without a
        free slot, this endpoint is recorded as its preferred one.
        """
        preferred = self.preferences.get(ticket.request_id, view.now)
        if preferred is not None and not view.free_slots[view.names.index(preferred)]:
            return False
        self.preferences.forget(ticket.request_id)
        choice = self._choose(view, ticket.payload)
        if choice is None:
            return False
        if not choice.has_free_slot:
            self.preferences.set(ticket.request_id, choice.endpoint, view.now)
            return False
        choices.append(choice)
        return True

    def _choose(self, view, message: messages.Admit) -> routing.Choice | None:
        request = message.request
        found = self.candidates.pick(message)
        if found is None:
            return None
        variant, allowed = found
        requirements = self._requirements(request, variant, allowed)
        preset = self.snapshot.preset
        cost_weights = routing.CostWeights(preset.load_weight, preset.reuse_weight)
        overlaps = self.index.overlaps(requirements.chain)
        choice = self.settings.policy.choose(view, requirements, overlaps, cost_weights)
        return choice and dataclasses.replace(
            choice, variant=variant, import_offer=requirements.import_offer
        )

    def _requirements(self, request: requests.Request, variant, allowed) -> routing.Requirements:
        piece_tokens = self.snapshot.config.deployment.piece_bytes // config.BYTES_PER_TOKEN
        if isinstance(request, requests.ModelRequest):
            now = self.clock.monotonic()
            import_offer = self.cache_store_tracker.find_import(
                variant.chain, piece_tokens, self.router_count, now
            )
            return routing.Requirements(
                variant.chain, request.tokens, piece_tokens, allowed, import_offer
            )
        return routing.Requirements((), 1, piece_tokens, allowed)

    def _assign(self, message: messages.Admit, choice: routing.Choice, now: float) -> None:
        request = message.request
        endpoint = self.fleet.states[choice.endpoint].endpoint
        transfer = self._transfer(choice, now)
        assignment = messages.Assignment(
            request=request,
            endpoint=endpoint,
            reused_tokens=choice.reused_tokens,
            assigned_at=now,
            expected_seconds=choice.expected_seconds,
            variant=choice.variant,
            imported_tokens=choice.imported_tokens,
            transfer=transfer,
        )
        self.fleet.record_start(endpoint.name, _tokens_to_compute(assignment))
        self.prefilling.add((request.metadata.id, endpoint.name))
        self.running.setdefault(endpoint.name, {})[request.metadata.id] = assignment
        if choice.variant is not None:
            self.index.insert(endpoint.name, choice.variant.chain)
        self.meters.decisions.labels(endpoint.name).inc()
        message.reply.set(assignment)

    def _transfer(self, choice: routing.Choice, now: float) -> engine.Transfer:
        """Return what the chosen endpoint imports from and exports to the KV cache store."""
        if choice.variant is None or self.cache_store_tracker.settings is None:
            return engine.NO_TRANSFER
        chain = choice.variant.chain
        self.cache_store_tracker.record_prompt(chain)
        export_count = self.cache_store_tracker.pieces_to_export(chain, now)
        if not choice.imported_tokens:
            return engine.Transfer(export_pieces=export_count)
        self.cache_store_tracker.charge_import(choice.imported_tokens)
        import_offer = choice.import_offer
        return engine.Transfer(import_offer.pieces, import_offer.incarnation, export_count)

    def _end_prefill(self, assignment: messages.Assignment) -> None:
        """Record that the prefill of an attempt ended.

        Called at the first part of the response and at the end of the attempt; only the first of
        these calls has an effect.
        """
        key = (assignment.request.metadata.id, assignment.endpoint.name)
        if key in self.prefilling:
            self.prefilling.discard(key)
            self.fleet.record_prefill_end(assignment.endpoint.name, _tokens_to_compute(assignment))

    # Health

    def _record_success(self, message: messages.AttemptEnded) -> None:
        assignment = message.assignment
        name = assignment.endpoint.name
        self.fleet.record_success(name)
        self.fleet.update_slot_time(name, self.clock.monotonic() - assignment.assigned_at)
        self.quarantine.clear(assignment.request.fingerprints)
        if message.exported_pieces and assignment.variant:
            exported = assignment.variant.chain[: message.exported_pieces]
            self.cache_store_tracker.record_export(exported, message.incarnation)
            self.meters.exported_pieces.inc(len(exported))
        self.meters.imported_tokens.inc(message.imported_tokens)
        if message.prompt_tokens:
            self.fleet.update_confidence(name, assignment.reused_tokens, message.cached_tokens)
            reused = message.cached_tokens + message.imported_tokens
            self.fleet.update_new_tokens(message.prompt_tokens - reused)
            computed_fraction = 1.0 - reused / message.prompt_tokens
            self.computed_fraction += COMPUTED_FRACTION_EWMA_WEIGHT * (
                computed_fraction - self.computed_fraction
            )
            self.meters.prompt_tokens.inc(message.prompt_tokens)
            self.meters.cached_tokens.inc(message.cached_tokens)


def token_cost(request: requests.Request) -> float:
    """Return the tokens that a request is charged in rate limits and fair queueing."""
    if isinstance(request, requests.ModelRequest):
        return request.tokens + request.max_tokens
    return 1


def _tokens_to_compute(assignment: messages.Assignment) -> int:
    """Return the prompt tokens that the endpoint is expected to compute."""
    if isinstance(assignment.request, requests.ModelRequest):
        reused = assignment.reused_tokens + assignment.imported_tokens
        return max(1, assignment.request.tokens - reused)
    return 0


def _quarantined_error(fingerprint: str) -> errors.QuarantinedError:
    return errors.QuarantinedError(
        f"requests that begin alike crashed endpoints (fingerprint {fingerprint})",
        "change the content, or send it again when the endpoints are repaired",
    )


def _failed_error() -> errors.UnavailableError:
    return errors.UnavailableError(
        "the dispatcher failed", "send again after Retry-After", RETRY_AFTER_SECONDS
    )
