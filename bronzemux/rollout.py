"""Rollout of weights: orders to engines by the holder of a lease, step by step."""

import dataclasses
import functools

import gevent

from bronzemux import clock as clocks
from bronzemux import (
    config,
    config_edit,
    config_store,
    engine,
    errors,
    lease,
    logs,
    messages,
    orders,
    porcelain,
    supervisor,
    table,
)

TICK_SECONDS = 0.5
ORDER_SECONDS = 4.0
HEALTH_SECONDS = 30.0
MAX_ORDER_ATTEMPTS = 3
OPERATOR = "rollout"
OVER = (
    errors.EndpointUnreachableError,
    errors.EndpointRefusedError,
    errors.EndpointFailedError,
)


@dataclasses.dataclass(frozen=True)
class RolloutSettings:
    """Settings of the rollout task.

    Attributes:
      holder: Identity of this process.
      data_centre: Data centre whose endpoints this router orders.
      lease_settings: Length and margin of leases.
      health_seconds: Time for an endpoint to report the new version.
    """

    holder: str
    data_centre: str
    lease_settings: lease.LeaseSettings = lease.LeaseSettings()
    health_seconds: float = HEALTH_SECONDS


@dataclasses.dataclass
class Step:
    """The order to one endpoint that is under way.

    Attributes:
      endpoint: The endpoint.
      slot: Lease on one of the weight loads that may run at once.
      started: Monotonic seconds.
      order: The order, without its fencing token.
    """

    order: engine.Order
    endpoint: config.Endpoint
    slot: lease.Lease
    started: float


@dataclasses.dataclass(frozen=True)
class ReleaseLeases:
    """Ask for all leases to be given back, before a planned stop."""


@dataclasses.dataclass(frozen=True)
class OrderEnded:
    """An order was answered, or failed."""

    model: str
    endpoint: str
    error: errors.BronzemuxError | None


class RolloutTask(supervisor.Task):
    """Carries out rollouts of the models in one data centre.

    One lease for each model and data centre says which router gives orders, and one lease for
    each weight load that may run at once keeps the weight store's rate over all data centres.
    Orders name the desired weights, adapter or role, may be repeated, and also bring an endpoint
    back that has another version while no rollout is under way. An endpoint that ignores fencing
    tokens gets its first order only when orders of an earlier holder have ended.

    Args:
      settings: Settings.
      service: Table service.
      target: Dispatcher that knows the endpoints' weights.
      engine_of: Returns the engine at an endpoint.
      clock: Source of time.
    """

    def __init__(self, settings: RolloutSettings, service, target, engine_of, clock: clocks.Clock):
        super().__init__("rollout", clock, TICK_SECONDS)
        self.settings = settings
        self.service: table.TableService = service
        self.target = target
        self.engine_of = engine_of
        self.store = config_store.ConfigStore(service, clock)
        self.document: config.Config | None = None
        self.leases: dict[str, lease.Lease] = {}
        self.slots: list[lease.Lease] = []
        self.steps: dict[tuple[str, str], Step] = {}
        self.attempts: dict[tuple[engine.Order, str], int] = {}

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        return super().handle(message)

    @handle.register
    def _snapshot(self, message: messages.SnapshotChanged) -> None:
        self.document = message.snapshot.config
        if len(self.slots) != self.document.deployment.weight_loads:
            self.slots = [
                self._lease(f"load-slot/{number}")
                for number in range(self.document.deployment.weight_loads)
            ]

    @handle.register
    def _release_leases(self, message: ReleaseLeases) -> None:
        """Give leases back; an order that is under way keeps its own and its load slot."""
        self.document = None
        if self.steps:
            return
        for item in (*self.leases.values(), *self.slots):
            try:
                item.release()
            except errors.PlatformError as error:
                logs.event("lease_kept", "debug", cause=error.message)

    @handle.register
    def _order_ended(self, message: OrderEnded) -> None:
        """End a step that failed; one whose answer was lost may still load weights."""
        if message.error is None or not isinstance(message.error, OVER):
            return
        step = self.steps.get((message.model, message.endpoint))
        if step is not None:
            logs.event(
                "order_failed",
                "warning",
                model=message.model,
                endpoint=message.endpoint,
                cause=message.error.message,
            )
            self._end_step(message.model, step)

    def tick(self) -> None:
        """Move every rollout on by what can be done now."""
        if self.document is None:
            return
        for model in self.document.models:
            try:
                self._advance(model)
            except (errors.PlatformError, errors.ConfigConflictError) as error:
                logs.event("rollout_waits", "debug", model=model.name, cause=error.message)

    def _lease(self, name: str) -> lease.Lease:
        return lease.Lease(
            name, self.settings.holder, self.settings.lease_settings, self.service, self.clock
        )

    # One model

    def _advance(self, model: config.Model) -> None:
        pending = self._pending(model)
        is_idle = not model.next_weights_version and not pending
        if is_idle and not self._steps_of(model):
            self._release(model)
            return
        held = self._lease_of(model)
        if not held.acquire_or_renew():
            return
        self._check_steps(model)
        if model.is_rollout_paused:
            return
        if pending:
            self._start_steps(model, held, pending)
        elif model.next_weights_version:
            self._finish_if_done(model, self._weights(model.name))

    def _lease_of(self, model: config.Model) -> lease.Lease:
        name = f"rollout/{model.name}/{self.settings.data_centre}"
        if name not in self.leases:
            self.leases[name] = self._lease(name)
        return self.leases[name]

    def _steps_of(self, model: config.Model) -> list[Step]:
        return [step for (name, _), step in self.steps.items() if name == model.name]

    def _release(self, model: config.Model) -> None:
        held = self.leases.pop(f"rollout/{model.name}/{self.settings.data_centre}", None)
        if held is not None:
            held.release()

    def _weights(self, model: str) -> dict[str, str]:
        """Return the version that each endpoint reported."""
        states = self.target.fleet.states
        return {name: state.weights.get(model, "") for name, state in states.items()}

    def _endpoints(self, model: config.Model) -> list[config.Endpoint]:
        return [e for e in self.document.endpoints if model.name in e.models]

    def _missing(self, model: config.Model, endpoint: config.Endpoint) -> engine.Order | None:
        """Return what an endpoint still has to be ordered."""
        state = self.target.fleet.states.get(endpoint.name)
        return orders.missing(model, endpoint, state) if state else None

    def _pending(self, model: config.Model) -> list[config.Endpoint]:
        return [
            endpoint
            for endpoint in self._endpoints(model)
            if endpoint.data_centre == self.settings.data_centre
            and self._missing(model, endpoint) is not None
            and (model.name, endpoint.name) not in self.steps
        ]

    # Steps

    def _start_steps(self, model: config.Model, held: lease.Lease, pending) -> None:
        for endpoint in pending:
            if not endpoint.checks_fencing and not held.is_takeover_wait_over():
                continue
            slot = self._free_slot()
            if slot is None:
                return
            order = self._missing(model, endpoint)
            if not held.is_held(ORDER_SECONDS) or not self._has_attempts(model, endpoint, order):
                return
            step = Step(order, endpoint, slot, self.clock.monotonic())
            self.steps[(model.name, endpoint.name)] = step
            gevent.spawn(self._give_order, order, endpoint, held)

    def _free_slot(self) -> lease.Lease | None:
        used = {id(step.slot) for step in self.steps.values()}
        for slot in self.slots:
            if id(slot) not in used and slot.acquire_or_renew():
                return slot
        return None

    def _has_attempts(self, model: config.Model, endpoint: config.Endpoint, order) -> bool:
        key = (order, endpoint.name)
        self.attempts[key] = self.attempts.get(key, 0) + 1
        if self.attempts[key] <= MAX_ORDER_ATTEMPTS:
            return True
        del self.attempts[key]
        self._halt(model, f"{endpoint.name} failed {MAX_ORDER_ATTEMPTS} times")
        return False

    def _give_order(self, wanted: engine.Order, endpoint: config.Endpoint, held) -> None:
        order = dataclasses.replace(wanted, fencing_token=held.token)
        error = None
        try:
            if not held.is_held(ORDER_SECONDS):
                raise errors.EndpointRefusedError("the lease ended", "its next holder goes on")
            logs.event(
                "order_given",
                model=order.model,
                version=order.weights_version,
                adapter=order.adapter,
                role=order.role,
                endpoint=endpoint.name,
                fencing_token=order.fencing_token,
            )
            self.engine_of(endpoint).order(order)
        except errors.EndpointError as failure:
            error = failure
        self.send(OrderEnded(order.model, endpoint.name, error))

    def _check_steps(self, model: config.Model) -> None:
        """End the steps whose endpoint reports what was ordered; halt on one that is late."""
        for (name, endpoint), step in list(self.steps.items()):
            if name != model.name:
                continue
            step.slot.acquire_or_renew()
            if self._missing(model, step.endpoint) != step.order:
                logs.event("endpoint_updated", model=name, endpoint=endpoint)
                self._end_step(name, step)
            elif self.clock.monotonic() - step.started > self.settings.health_seconds:
                self._end_step(name, step)
                self._halt(model, f"{endpoint} did not report what was ordered in time")

    def _end_step(self, model: str, step: Step) -> None:
        self.steps.pop((model, step.endpoint.name), None)
        try:
            step.slot.release()
        except errors.PlatformError as error:
            logs.event("slot_kept", "debug", cause=error.message)

    # Ends

    def _finish_if_done(self, model: config.Model, weights: dict[str, str]) -> None:
        """Put the version in force once every endpoint of every data centre reports it."""
        versions = {weights.get(e.name, "") for e in self._endpoints(model)}
        if versions == {model.next_weights_version}:
            summary = f"{model.name} {model.next_weights_version} rolled out"
            self._change(model, config_edit.finish_rollout(model.name), summary)

    def _halt(self, model: config.Model, reason: str) -> None:
        logs.event("rollout_halted", "error", model=model.name, reason=reason)
        summary = f"rollout of {model.name} halted: {reason}"
        self._change(model, config_edit.pause_rollout(model.name, True), summary)

    def _change(self, model: config.Model, function: config_edit.Edit, summary: str) -> None:
        head = self.store.read()
        current = next(m for m in head.document().models if m.name == model.name)
        if current == model:
            porcelain.edit_config(self.store, function, OPERATOR, summary)
