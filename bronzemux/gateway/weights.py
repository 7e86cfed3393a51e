"""Rolling updates of model weights, ordered under a lease with a fencing token."""

import math
from collections.abc import Callable

import gevent

from bronzemux import clock as clocks
from bronzemux import errors, lease, logs, records, supervisor
from bronzemux.gateway import (
    cluster_state,
    endpoint_notices,
    endpoints,
    gossip,
    meters,
    orders,
    routers,
    settings,
)

# Short compared with the 0.7 s that loading weights takes.
TICK_SECONDS = 0.05
# Interval at which a router that may not contend for the lease checks whether it now may.
IDLE_TICK_SECONDS = 0.5
# Status reports of endpoints are about 0.2 s old; two polls in that time detect changes promptly.
REPORT_POLL_SECONDS = 0.12
# How long an endpoint is polled for the outcome of an order; delayed orders arrive within seconds.
ORDER_FOLLOW_SECONDS = 6.0
# Fraction of a model's endpoints that load at the same time while the others serve requests.
MAX_LOADING_FRACTION = 0.4
# From this fraction of occupied slots on, the endpoints that keep serving would receive more
# prompts than they can prefill in time, so fewer endpoints load at once. Four rounds of draining
# and loading take 7 s, and the shortest bound for a rollout is 10 s.
BUSY_SLOT_FRACTION = 0.25
BUSY_MAX_LOADING_FRACTION = 0.25
LEASE_NAME = "orders"
# Time allowed for an order to reach its endpoint while the lease is still held.
ORDER_DELIVERY_SECONDS = 0.3
# Far more than the clocks of two VMs drift apart during one lease.
LEASE_MARGIN_SECONDS = 0.5
# Interval at which the lease is renewed and failed orders are retried: a tenth of the lease length.
RETRY_SECONDS = 0.3
# Time for running requests to finish before their weights are replaced: what loading leaves of the
# 1.5 s during which serving older weights carries no penalty.
DRAIN_SECONDS = 0.8
# An update is repeated for longer than a load takes, so that a router that missed some messages
# still receives it.
UPDATE_TTL_SECONDS = 5.0
# Interval at which a process that has just started reads the lease's row: about three times before
# it may contend for the lease.
LEASE_WATCH_SECONDS = 1.0
# Updates from other routers are forwarded for a few status intervals; their sender repeats them as
# long as they are valid.
FORWARDED_UPDATE_TTL_SECONDS = 3 * routers.STATUS_SECONDS


@records.state
class PendingUpdate:
    """An update that status messages repeat until it expires.

    Attributes:
      item: The update.
      recorded_at: Monotonic seconds at which this router recorded it or last received it.
      audiences: Audiences that receive it.
      ttl_seconds: How long it is repeated.
    """

    item: gossip.WeightsUpdate
    recorded_at: float
    audiences: tuple[routers.Audience, ...] = tuple(routers.Audience)
    ttl_seconds: float = UPDATE_TTL_SECONDS


class WeightsTracker:
    """Tracks the weights versions of endpoints that are newer than the endpoints' entries show.

    Routers exchange these versions in status messages. Also tracks which other router holds the
    lease for weights orders.

    Attributes:
      local_updates: Updates that this router recorded itself, by incarnation and model.
      forwarded_updates: Updates from other routers that this relay forwards, by incarnation and
        model.
      lease_version: Version of the lease's row while this router holds the lease, otherwise 0.
      seen_holder: Name of the other router that last reported that it holds the lease, empty for
        none.
      seen_lease_version: Version of the lease's row in that report.
      seen_lease_at: Monotonic seconds of that report.
      on_update: Called when there is an update to announce to the peers.
      on_change: Called when the version of an endpoint may have changed.

    Args:
      table: State of the endpoints.
      clock: Source of time.
    """

    def __init__(self, table: endpoints.EndpointTable, clock: clocks.Clock):
        self.table = table
        self.clock = clock
        self.local_updates: dict[tuple[str, str], PendingUpdate] = {}
        self.forwarded_updates: dict[tuple[str, str], PendingUpdate] = {}
        self.lease_version = 0
        self.seen_lease_version = 0
        self.seen_lease_at = -1e9
        self.seen_holder = ""
        self.on_update: list[Callable[[], None]] = []
        self.on_change: list[Callable[[], None]] = []

    def updates_for(self, audience: routers.Audience) -> tuple[gossip.WeightsUpdate, ...]:
        """Drop expired updates and return the updates to send to an audience."""
        now = self.clock.monotonic()
        for kept in (self.local_updates, self.forwarded_updates):
            for key in [
                key for key, update in kept.items() if now - update.recorded_at > update.ttl_seconds
            ]:
                del kept[key]
        for update in self.local_updates.values():
            self._apply(update.item)
        found = self._updates_beyond_entries()
        found |= {
            key: update.item
            for key, update in [*self.forwarded_updates.items(), *self.local_updates.items()]
            if audience in update.audiences
        }
        return tuple(found.values())

    def _updates_beyond_entries(self) -> dict[tuple[str, str], gossip.WeightsUpdate]:
        """Return the versions that are newer than in the endpoints' entries.

        A router that has just started knows only the entries.
        """
        return {
            (state.endpoint.incarnation, name): gossip.WeightsUpdate(
                state.endpoint.incarnation, name, version, is_loading=False
            )
            for state in self.table.states.values()
            for name, version in state.weights.items()
            if version > state.endpoint.weights.get(name, 0)
        }

    def record_version(
        self, state: endpoints.EndpointState, name: str, version: int, is_loading
    ) -> None:
        """Record the version that an endpoint is loading or has loaded, and announce it."""
        incarnation = state.endpoint.incarnation
        item = gossip.WeightsUpdate(incarnation, name, version, is_loading)
        self.local_updates[(incarnation, name)] = PendingUpdate(item, self.clock.monotonic())
        self._apply(item)
        for listener in self.on_update:
            listener()

    def discard_loading(self, state: endpoints.EndpointState, name: str) -> None:
        """Discard the record of a load that an endpoint turned out not to perform."""
        self.local_updates.pop((state.endpoint.incarnation, name), None)
        state.loading.pop(name, None)
        for listener in self.on_change:
            listener()

    def apply_updates(self, items: tuple[gossip.WeightsUpdate, ...], audiences=()) -> None:
        """Apply updates that another router sent.

        Args:
          items: The updates.
          audiences: Audiences to which they are forwarded.
        """
        now = self.clock.monotonic()
        for item in items:
            self._apply(item)
            if audiences:
                forwarded = PendingUpdate(item, now, audiences, FORWARDED_UPDATE_TTL_SECONDS)
                self.forwarded_updates[(item.incarnation, item.model)] = forwarded

    def record_lease_holder(self, router: str, version: int, now: float) -> None:
        """Record that another router holds the lease, or that it has released it.

        Args:
          router: Name of the router.
          version: Version of the lease's row, 0 when the router does not hold the lease.
          now: Monotonic seconds.
        """
        if version and version >= self.seen_lease_version:
            self.seen_holder, self.seen_lease_version, self.seen_lease_at = router, version, now
        elif not version and router == self.seen_holder:
            self.seen_holder, self.seen_lease_at = "", -1e9

    def _apply(self, item: gossip.WeightsUpdate) -> None:
        state = self.table.states.get(item.incarnation.rpartition("/")[0])
        if state is None or state.endpoint.incarnation != item.incarnation:
            return
        if not item.is_loading:
            state.record_weights(item.model, item.version)
        elif state.weights.get(item.model, 0) < item.version:
            current = state.loading.get(item.model)
            if current is None or current.version <= item.version:
                now = self.clock.monotonic()
                state.loading[item.model] = endpoints.LoadOrder(item.version, now)
        for listener in self.on_change:
            listener()


def loading_limit(states: list[endpoints.EndpointState], now: float) -> int:
    """Return how many of a model's endpoints may load at the same time.

    Args:
      states: Endpoints of the model that are reachable.
      now: Monotonic seconds.
    """
    slots = sum(state.endpoint.slots for state in states)
    occupied = sum(state.load(now)[0] for state in states)
    fraction = (
        MAX_LOADING_FRACTION if occupied < BUSY_SLOT_FRACTION * slots else BUSY_MAX_LOADING_FRACTION
    )
    return max(1, math.ceil(len(states) * fraction))


def endpoints_to_order(
    states: list[endpoints.EndpointState],
    name: str,
    version: int,
    ordered_incarnations: set[str],
    now: float,
) -> list[endpoints.EndpointState]:
    """Return the endpoints that are to be ordered to load weights now.

    Endpoints with the oldest weights come first, as these are the first on which no new request
    may start; among equals, those with the fewest requests, which are drained soonest.

    Args:
      states: Endpoints of the model that do not leave.
      name: Name of the model.
      version: Version of the weights.
      ordered_incarnations: Incarnations of endpoints with an order in progress.
      now: Monotonic seconds.
    """
    states = [s for s in states if not s.is_suspected]
    outdated = [s for s in states if s.weights.get(name, 0) < version]
    in_progress = [s for s in outdated if s.endpoint.incarnation in ordered_incarnations]
    pending = [s for s in outdated if s.endpoint.incarnation not in ordered_incarnations]
    remaining_count = loading_limit(states, now) - len(in_progress)
    return sorted(pending, key=lambda s: (s.weights.get(name, 0), s.load(now)))[
        : max(0, remaining_count)
    ]


class WeightsRollout(supervisor.Task):
    """Task that orders the endpoints to load the weights that the operator requests.

    Attributes:
      order_greenlets: Greenlets of the orders in progress, by incarnation of the endpoint.
      next_order_at: Monotonic seconds before which an incarnation gets no further order.
      order_counts: Number of orders that an incarnation has accepted, where it is known.
      next_lease_at: Monotonic seconds of the next call to the store for the lease.

    Args:
      config: Settings of this gateway.
      cluster: Replicated state: weights targets and endpoints.
      weights_tracker: Records and announces the versions of the endpoints.
      order_lease: Lease under which orders are sent.
      control: Control interface of the endpoints.
      metrics: Metrics.
      is_candidate: Returns whether this router may contend for the lease; limits the number of
        routers that read the lease's row.
    """

    def __init__(
        self,
        config: settings.GatewaySettings,
        cluster: cluster_state.ClusterState,
        weights_tracker: WeightsTracker,
        order_lease: lease.Lease,
        control: orders.EndpointControl,
        metrics: meters.GatewayMetrics,
        is_candidate: Callable[[], bool] = lambda: True,
    ):
        super().__init__("weights", cluster.clock, TICK_SECONDS)
        self.settings = config
        self.cluster_state = cluster
        self.weights_tracker = weights_tracker
        self.lease = order_lease
        self.control = control
        self.meters = metrics
        self.is_candidate = is_candidate
        self.order_greenlets: dict[str, gevent.Greenlet] = {}
        self.next_order_at: dict[str, float] = {}
        self.order_counts: dict[str, int] = {}
        self.started_at = cluster.clock.monotonic()
        self.next_lease_at = 0.0
        self.was_lease_held = False
        self.lease_greenlet: gevent.Greenlet | None = None
        self.is_stopping = False

    def tick(self) -> None:
        """Maintain the lease and, while it is held, send the orders that are due."""
        now = self.clock.monotonic()
        if self.is_stopping:
            return
        self._maintain_lease(now)
        is_held = self.lease.is_held(ORDER_DELIVERY_SECONDS)
        if is_held != self.was_lease_held:
            self.was_lease_held = is_held
            logs.event("lease", lease=LEASE_NAME, is_held=is_held, token=self.lease.token)
        self.weights_tracker.lease_version = self.lease.token if is_held else 0
        if is_held:
            self._send_due_orders(now)
        elif not self.is_candidate():
            self.next_tick = now + IDLE_TICK_SECONDS

    def _maintain_lease(self, now: float) -> None:
        """Acquire or renew the lease in a separate greenlet, so that a slow store blocks no tick.

        A process does not contend for the lease until one lease length after its start: an earlier
        process of this VM may have held the lease, and orders of two holders must not alternate.
        """
        if self.weights_tracker.seen_lease_at > now - self.settings.bounds.lease_seconds / 2:
            self.lease.observe(
                self.weights_tracker.seen_lease_version, self.weights_tracker.seen_lease_at
            )
            return
        if now < self.next_lease_at or not (self.lease.is_held() or self.is_candidate()):
            return
        if self.lease_greenlet is not None and not self.lease_greenlet.ready():
            return
        is_starting = now - self.started_at < self.settings.bounds.lease_seconds
        self.next_lease_at = now + (LEASE_WATCH_SECONDS if is_starting else RETRY_SECONDS)
        self.lease_greenlet = gevent.spawn(self._try_maintain_lease, is_starting)

    def _try_maintain_lease(self, is_starting: bool) -> None:
        try:
            if is_starting:
                self.lease.read_row()
            else:
                self.lease.acquire_or_renew()
        except errors.PlatformError as error:
            logs.event("lease_failed", "warning", lease=LEASE_NAME, cause=str(error))
            self.next_lease_at = self.clock.monotonic() + 2 * RETRY_SECONDS

    def _send_due_orders(self, now: float) -> None:
        for name, target in self.cluster_state.targets.items():
            states = list(self.cluster_state.endpoints.of_model(name))
            for incarnation in [
                key for key, greenlet in self.order_greenlets.items() if greenlet.ready()
            ]:
                del self.order_greenlets[incarnation]
            for state in endpoints_to_order(
                states, name, target.version, set(self.order_greenlets), now
            ):
                incarnation = state.endpoint.incarnation
                if self.next_order_at.get(incarnation, 0.0) <= now:
                    self.order_greenlets[incarnation] = gevent.spawn(
                        self._update_endpoint, state, name
                    )

    def _update_endpoint(self, state: endpoints.EndpointState, name: str) -> None:
        """Order an endpoint to load the newest weights and follow the order to completion."""
        incarnation = state.endpoint.incarnation
        version = self.cluster_state.targets[name].version
        if incarnation not in self.order_counts:
            report = self._report(state)
            if report is None:
                self.next_order_at[incarnation] = self.clock.monotonic() + RETRY_SECONDS
                return
            self.order_counts[incarnation] = report.order_count
            if report.weights.get(name, 0) >= version:
                self.weights_tracker.record_version(
                    state, name, report.weights[name], is_loading=False
                )
                return
        order_count = self.order_counts[incarnation]
        mode = self._drain(state, name, version)
        is_permitted = self.lease.is_held(ORDER_DELIVERY_SECONDS) and not self.is_stopping
        if not is_permitted or state.is_leaving:
            self.weights_tracker.discard_loading(state, name)
            return
        outcome = self._send_order(state, name, version, order_count, mode)
        now = self.clock.monotonic()
        self.next_order_at[incarnation] = now + RETRY_SECONDS
        if outcome is orders.Outcome.ACCEPTED:
            self.order_counts[incarnation] = order_count + 1
        else:
            # The next report shows whether the endpoint accepted this order or another router's.
            del self.order_counts[incarnation]
        if outcome is orders.Outcome.HOLDS:
            self.weights_tracker.record_version(state, name, version, is_loading=False)
        elif outcome in (orders.Outcome.ACCEPTED, orders.Outcome.UNKNOWN, orders.Outcome.BUSY):
            self._follow_order(state, name, version, outcome)
        else:
            self.weights_tracker.discard_loading(state, name)
            if outcome is orders.Outcome.UNREACHABLE:
                state.record_failure(now)

    def _drain(self, state: endpoints.EndpointState, name: str, version: int) -> orders.SwitchMode:
        """Drain an endpoint for a bounded time and return the mode of the switch.

        Waiting for the longest requests would keep the endpoint from serving for seconds. Requests
        that still run at the end of the bound continue under the new weights: that loses the rest
        of a few responses instead of serving time for all requests.
        """
        self.weights_tracker.record_version(state, name, version, is_loading=True)
        until = self.clock.monotonic() + DRAIN_SECONDS
        while self.clock.monotonic() < until and not state.is_gone:
            if not state.load(self.clock.monotonic())[0]:
                return orders.SwitchMode.QUEUE
            self.clock.sleep(TICK_SECONDS)
        return orders.SwitchMode.HOT_SWAP

    def _send_order(
        self,
        state: endpoints.EndpointState,
        name: str,
        version: int,
        order_count: int,
        mode: orders.SwitchMode,
    ) -> orders.Outcome:
        order = orders.WeightsOrder(
            endpoint=state.endpoint,
            model=name,
            version=version,
            mode=mode,
            holder=self.settings.name,
            token=self.lease.token,
            expected=order_count,
        )
        outcome = self.control.order_weights(order)
        self.meters.orders.labels(outcome.value).inc()
        logs.event(
            "order",
            endpoint=state.endpoint.incarnation,
            model=name,
            version=version,
            had=state.weights.get(name),
            token=order.token,
            expected=order_count,
            mode=mode.value,
            running=state.load(self.clock.monotonic())[0],
            outcome=outcome.value,
        )
        return outcome

    def _report(self, state: endpoints.EndpointState) -> orders.Report | None:
        """Return the status report of an endpoint, which may also announce that it leaves."""
        report = self.control.report(state.endpoint)
        if report is not None and report.is_leaving:
            endpoint_notices.record_leaving(state)
        return report

    def _follow_order(self, state, name: str, version: int, outcome: orders.Outcome) -> None:
        until = self.clock.monotonic() + ORDER_FOLLOW_SECONDS
        failures = 0
        while self.clock.monotonic() < until and not state.is_gone and not self.is_stopping:
            self.clock.sleep(REPORT_POLL_SECONDS)
            if state.weights.get(name, 0) >= version:
                return
            report = self._report(state)
            if report is None:
                failures += 1
                if failures > 3:
                    break
                continue
            if report.weights.get(name, 0) >= version:
                self.weights_tracker.record_version(
                    state, name, report.weights[name], is_loading=False
                )
                logs.event("weights_loaded", endpoint=state.endpoint.incarnation, version=version)
                return
            if not report.is_busy and outcome is not orders.Outcome.ACCEPTED:
                break
        self.weights_tracker.discard_loading(state, name)

    def stop_orders(self) -> None:
        """Stop sending orders and release the lease."""
        self.is_stopping = True
        self.weights_tracker.lease_version = 0
        try:
            self.lease.release()
        except errors.PlatformError as error:
            logs.event("lease_release_failed", "warning", cause=str(error))
