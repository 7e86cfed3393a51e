"""Rollout of weights, adapters and roles by orders from a lease holder to engines."""

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
    supervisor,
    table,
)

TICK_SECONDS = 0.5
MAX_ORDER_SECONDS = 4.0
# Part of that within which an order must be sent. It takes longer when the process was paused.
MAX_SEND_SECONDS = 2.0
REPORT_TIMEOUT_SECONDS = 30.0
MAX_ORDER_ATTEMPTS = 3
OPERATOR_NAME = "rollout"
# Errors after which the endpoint is certainly not executing the order.
DEFINITE_ERRORS = (
    errors.EndpointUnreachableError,
    errors.EndpointRefusedError,
    errors.EndpointFailedError,
)


@dataclasses.dataclass(frozen=True)
class RolloutSettings:
    """Settings of the rollout task.

    Attributes:
      holder: Identity of this process as a holder of leases.
      data_centre: Data centre to whose endpoints this router gives orders.
      lease_settings: Duration and margin of leases.
      report_timeout_seconds: Time within which an endpoint must report what was ordered.
    """

    holder: str
    data_centre: str
    lease_settings: lease.LeaseSettings = lease.LeaseSettings()
    report_timeout_seconds: float = REPORT_TIMEOUT_SECONDS


@dataclasses.dataclass
class ActiveOrder:
    """An order to an endpoint that is in progress.

    Attributes:
      order: The order, without its fencing token.
      endpoint: The endpoint.
      load_slot: Lease on one of the weight loads that may run at once.
      started_at: Monotonic seconds.
    """

    order: engine.Order
    endpoint: config.Endpoint
    load_slot: lease.Lease
    started_at: float


@dataclasses.dataclass(frozen=True)
class ReleaseLeases:
    """Request to release all leases before a graceful shutdown."""


@dataclasses.dataclass(frozen=True)
class OrderEnded:
    """Event: an endpoint accepted an order, or the order failed.

    Attributes:
      model: Name of the model.
      endpoint: Name of the endpoint.
      error: The failure, None when the endpoint accepted the order.
    """

    model: str
    endpoint: str
    error: errors.BronzemuxError | None


class RolloutTask(supervisor.Task):
    """Carries out rollouts of the models in one data centre.

    One lease for each model and data centre decides which router gives orders. One lease for each
    weight load that may run at once, a load slot, limits the load on the weight store over all
    data centres.

    Orders state the desired weights, adapter or role, so that repeating one is harmless. They also
    restore the configured version at an endpoint that has another one while no rollout is in
    progress. An endpoint that does not check fencing tokens gets its first order from a new holder
    only once the orders of the previous holder must have ended.

    Args:
      settings: Settings.
      service: Table service that stores the leases and the configuration.
      dispatcher: Dispatcher whose fleet state holds what endpoints report.
      engine_of: Returns the engine of an endpoint.
      clock: Source of time.
    """

    def __init__(
        self, settings: RolloutSettings, service, dispatcher, engine_of, clock: clocks.Clock
    ):
        super().__init__("rollout", clock, TICK_SECONDS)
        self.settings = settings
        self.service: table.TableService = service
        self.dispatcher = dispatcher
        self.engine_of = engine_of
        self.store = config_store.ConfigStore(service, clock)
        self.document: config.Config | None = None
        self.leases: dict[str, lease.Lease] = {}
        self.load_slots: list[lease.Lease] = []
        self.active_orders: dict[tuple[str, str], ActiveOrder] = {}
        self.attempts: dict[tuple[engine.Order, str], int] = {}

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        return super().handle(message)

    @handle.register
    def _handle_snapshot_changed(self, message: messages.SnapshotChanged) -> None:
        self.document = message.snapshot.config
        if len(self.load_slots) != self.document.deployment.weight_loads:
            self.load_slots = [
                self._make_lease(f"load-slot/{number}")
                for number in range(self.document.deployment.weight_loads)
            ]

    @handle.register
    def _handle_release_leases(self, message: ReleaseLeases) -> None:
        """Release all leases and stop giving orders.

        All leases are kept while an order is in progress, because the lease of its model and its
        load slot must stay held.
        """
        self.document = None
        if self.active_orders:
            return
        for item in (*self.leases.values(), *self.load_slots):
            try:
                item.release()
            except errors.PlatformError as error:
                logs.event("lease_kept", "debug", cause=error.message)

    @handle.register
    def _handle_order_ended(self, message: OrderEnded) -> None:
        """End an order that definitely failed.

        After any other error, such as a lost response, the endpoint may still execute the order,
        which therefore stays in progress.
        """
        if message.error is None or not isinstance(message.error, DEFINITE_ERRORS):
            return
        active = self.active_orders.get((message.model, message.endpoint))
        if active is not None:
            logs.event(
                "order_failed",
                "warning",
                model=message.model,
                endpoint=message.endpoint,
                cause=message.error.message,
            )
            self._end_order(message.model, active)

    def tick(self) -> None:
        """Advance the rollout of each model as far as possible now."""
        if self.document is None:
            return
        for model in self.document.models:
            try:
                self._advance(model)
            except (errors.PlatformError, errors.ConfigConflictError) as error:
                logs.event("rollout_waits", "debug", model=model.name, cause=error.message)

    def _make_lease(self, name: str) -> lease.Lease:
        return lease.Lease(
            name, self.settings.holder, self.settings.lease_settings, self.service, self.clock
        )

    # One model

    def _advance(self, model: config.Model) -> None:
        to_order = self._endpoints_to_order(model)
        is_up_to_date = not model.next_weights_version and not to_order
        if is_up_to_date and not self._active_orders_of(model):
            self._release_model_lease(model)
            return
        model_lease = self._lease_of(model)
        if not model_lease.acquire_or_renew():
            return
        self._check_active_orders(model)
        if model.is_rollout_paused:
            return
        if to_order:
            self._start_orders(model, model_lease, to_order)
        elif model.next_weights_version:
            self._finish_if_done(model, self._reported_versions(model.name))

    def _lease_of(self, model: config.Model) -> lease.Lease:
        name = f"rollout/{model.name}/{self.settings.data_centre}"
        if name not in self.leases:
            self.leases[name] = self._make_lease(name)
        return self.leases[name]

    def _active_orders_of(self, model: config.Model) -> list[ActiveOrder]:
        return [active for (name, _), active in self.active_orders.items() if name == model.name]

    def _release_model_lease(self, model: config.Model) -> None:
        model_lease = self.leases.pop(f"rollout/{model.name}/{self.settings.data_centre}", None)
        if model_lease is not None:
            model_lease.release()

    def _reported_versions(self, model: str) -> dict[str, str]:
        """Return the weights version that each endpoint reported, by endpoint; empty for none."""
        states = self.dispatcher.fleet.states
        return {name: state.weights.get(model, "") for name, state in states.items()}

    def _endpoints_of(self, model: config.Model) -> list[config.Endpoint]:
        return [e for e in self.document.endpoints if model.name in e.models]

    def _next_order(self, model: config.Model, endpoint: config.Endpoint) -> engine.Order | None:
        """Return the next order for an endpoint; None when it needs none or sent no report yet."""
        state = self.dispatcher.fleet.states.get(endpoint.name)
        return orders.next_order(model, endpoint, state) if state else None

    def _endpoints_to_order(self, model: config.Model) -> list[config.Endpoint]:
        return [
            endpoint
            for endpoint in self._endpoints_of(model)
            if endpoint.data_centre == self.settings.data_centre
            and self._next_order(model, endpoint) is not None
            and (model.name, endpoint.name) not in self.active_orders
        ]

    # Orders

    def _start_orders(self, model: config.Model, model_lease: lease.Lease, to_order) -> None:
        for endpoint in to_order:
            if not endpoint.checks_fencing and not model_lease.is_takeover_wait_over():
                continue
            load_slot = self._acquire_load_slot()
            if load_slot is None:
                return
            order = self._next_order(model, endpoint)
            if not model_lease.is_held(MAX_ORDER_SECONDS) or not self._count_attempt(
                model, endpoint, order
            ):
                return
            active = ActiveOrder(order, endpoint, load_slot, self.clock.monotonic())
            self.active_orders[(model.name, endpoint.name)] = active
            gevent.spawn(self._send_order, order, endpoint, model_lease)

    def _acquire_load_slot(self) -> lease.Lease | None:
        used = {id(active.load_slot) for active in self.active_orders.values()}
        for load_slot in self.load_slots:
            if id(load_slot) not in used and load_slot.acquire_or_renew():
                return load_slot
        return None

    def _count_attempt(self, model: config.Model, endpoint: config.Endpoint, order) -> bool:
        """Count an attempt of an order and return whether it may be made.

        After `MAX_ORDER_ATTEMPTS` the rollout is halted instead.
        """
        attempt_key = (order, endpoint.name)
        self.attempts[attempt_key] = self.attempts.get(attempt_key, 0) + 1
        if self.attempts[attempt_key] <= MAX_ORDER_ATTEMPTS:
            return True
        del self.attempts[attempt_key]
        self._halt(model, f"{endpoint.name} failed {MAX_ORDER_ATTEMPTS} times")
        return False

    def _send_order(
        self, unfenced_order: engine.Order, endpoint: config.Endpoint, model_lease
    ) -> None:
        order = dataclasses.replace(unfenced_order, fencing_token=model_lease.token)
        error = None
        checked_at = self.clock.monotonic()
        try:
            if not model_lease.is_held(MAX_ORDER_SECONDS):
                raise errors.EndpointRefusedError("the lease expired", "its next holder continues")
            logs.event(
                "order_given",
                model=order.model,
                version=order.weights_version,
                adapter=order.adapter,
                role=order.role,
                endpoint=endpoint.name,
                fencing_token=order.fencing_token,
            )
            self.engine_of(endpoint).order(order, lambda: self._check_delay(checked_at))
        except errors.EndpointError as failure:
            error = failure
        self.send(OrderEnded(order.model, endpoint.name, error))

    def _check_delay(self, checked_at: float) -> None:
        """Refuse to send an order that was delayed since its lease was checked.

        Raises:
          errors.EndpointRefusedError: When another router may hold the lease by now.
        """
        if self.clock.monotonic() - checked_at > MAX_SEND_SECONDS:
            raise errors.EndpointRefusedError(
                "the order was delayed before it was sent", "the holder of the lease gives it again"
            )

    def _check_active_orders(self, model: config.Model) -> None:
        """End the orders that endpoints report as executed, and halt the rollout on a late one.

        An order that is no longer wanted, because the configuration has changed, is still being
        executed and keeps its load slot until then. A late one of these halts nothing.

        Also renews the leases of the load slots.
        """
        for (name, endpoint), active in list(self.active_orders.items()):
            if name != model.name:
                continue
            active.load_slot.acquire_or_renew()
            state = self.dispatcher.fleet.states.get(endpoint)
            if state is not None and orders.is_executed(active.order, state):
                logs.event("endpoint_updated", model=name, endpoint=endpoint)
                self._end_order(name, active)
            elif self.clock.monotonic() - active.started_at > self.settings.report_timeout_seconds:
                self._end_order(name, active)
                if self._next_order(model, active.endpoint) == active.order:
                    self._halt(model, f"{endpoint} did not report what was ordered in time")
                else:
                    logs.event("order_abandoned", "warning", model=name, endpoint=endpoint)

    def _end_order(self, model: str, active: ActiveOrder) -> None:
        self.active_orders.pop((model, active.endpoint.name), None)
        try:
            active.load_slot.release()
        except errors.PlatformError as error:
            logs.event("slot_kept", "debug", cause=error.message)

    # End of a rollout

    def _finish_if_done(self, model: config.Model, reported: dict[str, str]) -> None:
        """Put the next version in force once all endpoints of all data centres report it.

        Args:
          model: The model.
          reported: Weights version that each endpoint reported, by endpoint.
        """
        versions = {reported.get(e.name, "") for e in self._endpoints_of(model)}
        if versions == {model.next_weights_version}:
            summary = f"{model.name} {model.next_weights_version} rolled out"
            self._edit_config(model, config_edit.finish_rollout(model.name), summary)

    def _halt(self, model: config.Model, reason: str) -> None:
        logs.event("rollout_halted", "error", model=model.name, reason=reason)
        summary = f"rollout of {model.name} halted: {reason}"
        self._edit_config(model, config_edit.pause_rollout(model.name, True), summary)

    def _edit_config(self, model: config.Model, edit: config_edit.Edit, summary: str) -> None:
        """Edit the configuration if its entry of the model is still the given one.

        Raises:
          errors.ConfigConflictError: When another change was accepted since it was read.
        """
        head = self.store.read()
        current = next(m for m in head.document().models if m.name == model.name)
        if current == model:
            text = config_edit.apply(head.text, edit)
            self.store.apply(config_store.Change(head.version, text, OPERATOR_NAME, summary))
