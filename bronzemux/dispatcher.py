"""Task that owns the fleet's state and decides where requests run."""

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
SHARE_EWMA_WEIGHT = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
REFUSAL_RETRY_SECONDS = 1.0
REFUSAL_RATIO = 1.0
MIN_REFUSALS_PER_WINDOW = 20


@dataclasses.dataclass(frozen=True)
class DispatcherSettings:
    """Settings of the dispatcher.

    Attributes:
      data_centre: Data centre of this router.
      index_entries: Capacity of the prefix index.
      policy: Policy that chooses endpoints.
    """

    data_centre: str
    index_entries: int = prefix_index.DEFAULT_CAPACITY
    policy: policies.Policy = dataclasses.field(default_factory=policies.ReuseAndLoad)


class Dispatcher(supervisor.Task):
    """Admission, routing, retry budget, health and quarantine of one router.

    Args:
      settings: Settings.
      clock: Source of time.
      meters: Metrics of the router.
      announce: Called with newly condemned fingerprints.
    """

    def __init__(
        self,
        settings: DispatcherSettings,
        clock: clocks.Clock,
        meters: metrics.Metrics,
        announce=lambda fingerprints: None,
    ):
        super().__init__("dispatcher", clock, TICK_SECONDS)
        self.settings = settings
        self.meters = meters
        self.announce = announce
        self.snapshot = None
        self.peers = 1
        self._new_state()

    def _new_state(self) -> None:
        self.fleet = fleet.Fleet(self.settings.data_centre)
        self.index = prefix_index.PrefixIndex(self.settings.index_entries)
        self.queue = admission.FairQueue(limit=1)
        self.limits = limits.TeamLimits()
        self.budget = retries.RetryBudget()
        self.refusal_budget = retries.RetryBudget(MIN_REFUSALS_PER_WINDOW)
        self.quarantine = quarantine.Quarantine()
        self.running: dict[str, dict[str, requests.Request]] = {}
        self.preferences = preferences.Preferences()
        self.store = cache_store.CacheStoreTracker()
        seeded = random.Random(self.settings.data_centre)
        self.candidates = candidates.Candidates(self.fleet, self.quarantine, self.running, seeded)
        self.health = health.Health(
            self.fleet,
            self.index,
            self.store,
            self.quarantine,
            self.running,
            self.meters,
            self.clock,
            lambda fingerprints: self.announce(fingerprints),
        )
        self.counted: set[str] = set()
        self.prefilling: set[tuple[str, str]] = set()
        self.computed_share = 1.0

    def start_state(self) -> None:
        """Start anew after a failure; requests that wait get a typed refusal."""
        for ticket in list(self.queue):
            ticket.payload.reply.set_exception(_restarted())
        snapshot = self.snapshot
        self._new_state()
        if snapshot is not None:
            self._apply(messages.SnapshotChanged(snapshot))

    # Messages

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message; see `messages`."""
        return super().handle(message)

    @handle.register
    def _apply(self, message: messages.SnapshotChanged) -> None:
        self.snapshot = message.snapshot
        gone = self.fleet.apply(message.snapshot.config, message.snapshot.preset)
        self.preferences = preferences.Preferences()
        self.store.apply(message.snapshot.config.cache_store)
        for name in gone:
            self.index.forget(name)
        self.queue.limit = message.snapshot.preset.queue_limit
        self._pump()

    @handle.register
    def _admit(self, message: messages.Admit) -> None:
        try:
            ticket = self._check(message)
        except errors.RequestError as error:
            self.meters.refusals.labels(error.kind).inc()
            message.reply.set_exception(error)
            return
        self.queue.push(ticket)
        self._pump()

    @handle.register
    def _abandon(self, message: messages.CancelAdmission) -> None:
        self.queue.remove(message.request.head.id)
        self.preferences.forget(message.request.head.id)

    @handle.register
    def _first_part(self, message: messages.FirstPart) -> None:
        assignment = message.assignment
        self._end_prefill(assignment)
        if assignment.expected_seconds:
            seconds = self.clock.monotonic() - assignment.assigned
            name = assignment.endpoint.name
            self.fleet.learn_slowness(name, assignment.expected_seconds, seconds)

    @handle.register
    def _attempt_ended(self, message: messages.AttemptEnded) -> None:
        assignment = message.assignment
        name = assignment.endpoint.name
        self._end_prefill(assignment)
        self.fleet.end_work(name)
        self.running.get(name, {}).pop(assignment.request.head.id, None)
        if message.incarnation:
            self.health.see_incarnation(name, message.incarnation)
        if message.error is None:
            self._learn(message)
        else:
            self.health.fail(message)
        self._pump()

    @handle.register
    def _request_ended(self, message: messages.RequestEnded) -> None:
        head = message.request.head
        if head.id in self.counted:
            self.counted.discard(head.id)
            self.limits.release(head.team.name)

    @handle.register
    def _endpoint_report(self, message: messages.EndpointReport) -> None:
        name = message.endpoint
        if name not in self.fleet.states:
            return
        now = self.clock.monotonic()
        self.health.see_incarnation(name, message.state.load.incarnation)
        self.store.revive(message.state.load.incarnation)
        self.fleet.take_load_report(message.state.load, now)
        loaded = message.state
        adapters = None if loaded.adapters is None else dict(loaded.adapters)
        self.fleet.set_loaded(name, dict(loaded.weights), adapters, loaded.role)
        if message.has_gap:
            self.meters.event_gaps.inc()
            self.fleet.doubt(name)
        events = message.state.events
        self.index.insert(name, events.stored)
        self.index.remove(name, events.evicted)
        self.fleet.revive(name)
        self._pump()

    @handle.register
    def _endpoint_alive(self, message: messages.EndpointAlive) -> None:
        self.fleet.revive(message.endpoint)
        self._pump()

    @handle.register
    def _endpoint_down(self, message: messages.EndpointDown) -> None:
        state = self.fleet.states.get(message.endpoint)
        if state is None:
            return
        if self.fleet.fail(message.endpoint, self.clock.monotonic(), is_dead=True):
            logs.event("endpoint_down", "warning", endpoint=message.endpoint)
        self.health.bury(message.endpoint, state.incarnation)

    @handle.register
    def _leaving(self, message: messages.LeavingEndpoints) -> None:
        self.fleet.set_leaving(message.names)

    @handle.register
    def _condemned(self, message: messages.QuarantinedFingerprints) -> None:
        for item in message.fingerprints:
            self.quarantine.add(item, self.clock.monotonic())

    @handle.register
    def _limit_shares(self, message: messages.LimitShares) -> None:
        self.limits.default_share = message.default_share
        self.limits.shares = dict(message.shares)

    @handle.register
    def _peer_count(self, message: messages.RouterCount) -> None:
        self.peers = max(1, message.count)

    @handle.register
    def _describe(self, message: messages.GetStatus) -> messages.DispatcherStatus:
        now = self.clock.monotonic()
        uses = self.limits.uses.items()
        return messages.DispatcherStatus(
            version=self.snapshot.version if self.snapshot else 0,
            preset=self.snapshot.preset.name if self.snapshot else "",
            waiting=len(self.queue),
            running=sum(len(items) for items in self.running.values()),
            index_entries=len(self.index),
            quarantined=len(self.quarantine.quarantined),
            endpoints=tuple(self._status(state, now) for state in self.fleet.states.values()),
            team_requests=tuple((team, use.used_requests) for team, use in uses),
        )

    def _status(self, state: fleet.EndpointState, now: float) -> messages.EndpointStatus:
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
        """Refuse requests whose deadline passed and start what can start."""
        for ticket in self.queue.expire(self.clock.monotonic()):
            self.meters.refusals.labels(errors.OverloadedError.kind).inc()
            self.preferences.forget(ticket.request_id)
            ticket.payload.reply.set_exception(self._overloaded("the deadline passed in the queue"))
        self.meters.waiting.set(len(self.queue))
        self._pump()

    # Admission

    def _check(self, message: messages.Admit) -> admission.Ticket:
        request, now = message.request, self.clock.monotonic()
        if self.quarantine.is_quarantined(request.fingerprint, now):
            raise _quarantined(request.fingerprint)
        if message.is_retry:
            self._check_retry(message, now)
        else:
            self._count_new(request, now)
        return self._ticket(message, now)

    def _check_retry(self, message: messages.Admit, now: float) -> None:
        """Take a retry out of its budget; refusals as not run, which cost little, have their own.

        Raises:
          errors.OverloadedError: When the budget is used up.
        """
        if message.was_refused:
            is_granted = self.refusal_budget.try_retry(REFUSAL_RATIO, now)
        else:
            is_granted = self.budget.try_retry(self.snapshot.preset.retry_ratio, now)
        if not is_granted:
            self.meters.retries_refused.inc()
            raise errors.OverloadedError(
                "the retry budget is used up", "send again after Retry-After", REFUSAL_RETRY_SECONDS
            )
        self.meters.retries.inc()

    def _count_new(self, request: requests.Request, now: float) -> None:
        self.limits.admit(request.head.team, token_cost(request), now)
        self.counted.add(request.head.id)
        self.budget.record_request(now)
        self.refusal_budget.record_request(now)

    def _ticket(self, message: messages.Admit, now: float) -> admission.Ticket:
        request = message.request
        head = request.head
        ticket = admission.Ticket(
            request_id=head.id,
            team=head.team.name,
            weight=head.team.weight,
            priority=head.workload.priority,
            cost=token_cost(request),
            deadline=head.deadline,
            payload=message,
        )
        if not self.candidates.configured(request).any():
            raise errors.UnavailableError(
                "no endpoint serves this", "send again after Retry-After", REFUSAL_RETRY_SECONDS
            )
        if not self.queue.has_space(ticket):
            raise self._overloaded("the queue is full")
        if now + self._expected_wait() > head.deadline:
            raise self._overloaded("the deadline cannot be met")
        return ticket

    def _expected_wait(self) -> float:
        now = self.clock.monotonic()
        states = self.fleet.states.values()
        rate = sum(state.rate for state in states if self.fleet.is_available(state, now))
        return self.queue.waiting_cost * self.computed_share / rate if rate else 0.0

    def _overloaded(self, reason: str) -> errors.OverloadedError:
        wait = max(MIN_RETRY_AFTER_SECONDS, self._expected_wait())
        return errors.OverloadedError(reason, "send again after Retry-After", wait)

    # Routing

    def _pump(self) -> None:
        while len(self.queue):
            now = self.clock.monotonic()
            view = self.fleet.view(now, self.peers, self.preferences.counts)
            if not (view.available & (view.room > 0)).any():
                return
            chosen: list[routing.Choice] = []
            ticket = self.queue.pop_first(functools.partial(self._accept, view, chosen))
            if ticket is None:
                return
            self.preferences.forget(ticket.request_id)
            self._assign(ticket.payload, chosen[0], now)

    def _accept(self, view, chosen, ticket: admission.Ticket) -> bool:
        """Return whether a ticket can start; remember what it waits for when not."""
        preferred = self.preferences.get(ticket.request_id, view.now)
        if preferred is not None and not view.room[view.names.index(preferred)]:
            return False
        self.preferences.forget(ticket.request_id)
        choice = self._choose(view, ticket.payload)
        if choice is None:
            return False
        if not choice.has_room:
            self.preferences.set(ticket.request_id, choice.endpoint, view.now)
            return False
        chosen.append(choice)
        return True

    def _choose(self, view, message: messages.Admit) -> routing.Choice | None:
        request = message.request
        found = self.candidates.pick(message)
        if found is None:
            return None
        variant, allowed = found
        demand = self._demand(request, variant, allowed)
        preset = self.snapshot.preset
        weights = routing.CostWeights(preset.load_weight, preset.reuse_weight)
        overlaps = self.index.overlaps(demand.chain)
        choice = self.settings.policy.choose(view, demand, overlaps, weights)
        return choice and dataclasses.replace(choice, variant=variant, stored=demand.stored)

    def _demand(self, request: requests.Request, variant, allowed) -> routing.Requirements:
        piece_tokens = self.snapshot.config.deployment.piece_bytes // config.BYTES_PER_TOKEN
        if isinstance(request, requests.ModelRequest):
            now = self.clock.monotonic()
            stored = self.store.find_import(variant.chain, piece_tokens, self.peers, now)
            return routing.Requirements(
                variant.chain, request.tokens, piece_tokens, allowed, stored
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
            assigned=now,
            expected_seconds=choice.seconds,
            variant=choice.variant,
            imported_tokens=choice.imported_tokens,
            transfer=transfer,
        )
        self.fleet.start_work(endpoint.name, _new_tokens(assignment))
        self.prefilling.add((request.head.id, endpoint.name))
        self.running.setdefault(endpoint.name, {})[request.head.id] = request
        if choice.variant is not None:
            self.index.insert(endpoint.name, choice.variant.chain)
        self.meters.decisions.labels(endpoint.name).inc()
        message.reply.set(assignment)

    def _transfer(self, choice: routing.Choice, now: float) -> engine.Transfer:
        """Return what the chosen endpoint moves between its cache and the KV cache store."""
        if choice.variant is None or self.store.settings is None:
            return engine.NO_TRANSFER
        chain = choice.variant.chain
        self.store.record_prompt(chain)
        exports = self.store.export_pieces(chain, now)
        if not choice.imported_tokens:
            return engine.Transfer(export_pieces=exports)
        self.store.charge_import(choice.imported_tokens)
        stored = choice.stored
        return engine.Transfer(stored.pieces, stored.incarnation, exports)

    def _end_prefill(self, assignment: messages.Assignment) -> None:
        """Count the prompt of an attempt as computed, at its first part or its end."""
        key = (assignment.request.head.id, assignment.endpoint.name)
        if key in self.prefilling:
            self.prefilling.discard(key)
            self.fleet.prefill_done(assignment.endpoint.name, _new_tokens(assignment))

    # Health

    def _learn(self, message: messages.AttemptEnded) -> None:
        assignment = message.assignment
        name = assignment.endpoint.name
        self.fleet.succeed(name)
        self.fleet.learn_service(name, self.clock.monotonic() - assignment.assigned)
        self.quarantine.clear(assignment.request.fingerprint)
        if message.exported_pieces and assignment.variant:
            exported = assignment.variant.chain[: message.exported_pieces]
            self.store.record_export(exported, message.incarnation)
            self.meters.exported_pieces.inc(len(exported))
        self.meters.imported_tokens.inc(message.imported_tokens)
        if message.prompt_tokens:
            self.fleet.learn_reuse(name, assignment.reused_tokens, message.cached_tokens)
            ready = message.cached_tokens + message.imported_tokens
            self.fleet.learn_new_tokens(message.prompt_tokens - ready)
            computed = 1.0 - ready / message.prompt_tokens
            self.computed_share += SHARE_EWMA_WEIGHT * (computed - self.computed_share)
            self.meters.prompt_tokens.inc(message.prompt_tokens)
            self.meters.cached_tokens.inc(message.cached_tokens)


def token_cost(request: requests.Request) -> float:
    """Return the tokens by which a request counts against limits and shares."""
    if isinstance(request, requests.ModelRequest):
        return request.tokens + request.max_tokens
    return 1


def _new_tokens(assignment: messages.Assignment) -> int:
    """Return the prompt tokens that the endpoint is expected to compute."""
    if isinstance(assignment.request, requests.ModelRequest):
        ready = assignment.reused_tokens + assignment.imported_tokens
        return max(1, assignment.request.tokens - ready)
    return 0


def _quarantined(fingerprint: str) -> errors.QuarantinedError:
    return errors.QuarantinedError(
        f"requests with this content crashed endpoints (fingerprint {fingerprint})",
        "change the content, or have the operators release the fingerprint",
    )


def _restarted() -> errors.UnavailableError:
    return errors.UnavailableError(
        "the dispatcher restarted", "send again after Retry-After", REFUSAL_RETRY_SECONDS
    )
