"""New weights: which endpoint loads them when, under a lease with a fencing token."""

import dataclasses
import math
from collections.abc import Callable

import gevent

from bronzemux import clock as clocks
from bronzemux import errors, lease, logs, supervisor
from bronzemux.gateway import endpoints, gossip, knowledge, meters, orders, routers, settings

# Fine against the 0.7 s that a load takes.
TICK_SECONDS = 0.05
# A router that may not contend for the lease looks this often whether it may.
IDLE_SECONDS = 0.5
# Reports are some 0.2 s old; asking twice in that time finds each change soon.
REPORT_SECONDS = 0.12
# An order whose fate is unknown is looked into for this long; late ones arrive within seconds.
FOLLOW_SECONDS = 6.0
# Part of the endpoints that load at the same time; the others serve meanwhile.
LOADING_SHARE = 0.4
# With this part of all slots taken, the endpoints that go on serving would get more than they can
# read in time, so that fewer load at once: four rounds of draining and loading take 7 s, and the
# shortest bound is 10 s.
BUSY_SHARE = 0.25
BUSY_LOADING_SHARE = 0.25
LEASE_NAME = "orders"
# Time that an order needs until it has arrived.
ORDER_SECONDS = 0.3
# Clocks of two VMs differ by far less over the length of a lease.
MARGIN_SECONDS = 0.5
# A tenth of a lease.
RETRY_SECONDS = 0.3
# Time for running requests to end before weights are changed under them: what is left of the
# 1.5 s in which older weights cost nothing, after loading.
DRAIN_SECONDS = 0.8
# Longer than a load, so that a router that missed messages still hears of it.
NEWS_SECONDS = 5.0
# A young process only watches the lease, about three times until it may contend.
WATCH_SECONDS = 1.0


# What others told is passed on for a few of their messages, which repeat it as long as it holds.
PASS_ON_SECONDS = 3 * routers.STATUS_SECONDS


@dataclasses.dataclass
class News:
    """News to tell.

    Attributes:
      item: The news.
      at: Monotonic seconds at which it was found out, or last heard of another router.
      audiences: Who is told.
      seconds: How long it is told.
    """

    item: gossip.WeightsNews
    at: float
    audiences: tuple[routers.Audience, ...] = tuple(routers.Audience)
    seconds: float = NEWS_SECONDS


class WeightsBoard:
    """What is known of weights beyond the endpoints' entries; shared between routers.

    Args:
      table: State of the endpoints.
      clock: Source of time.
    """

    def __init__(self, table: endpoints.EndpointTable, clock: clocks.Clock):
        self.table = table
        self.clock = clock
        self.recent: dict[tuple[str, str], News] = {}
        self.passing: dict[tuple[str, str], News] = {}
        self.lease_version = 0
        self.seen_lease = 0
        self.seen_lease_at = -1e9
        self.seen_holder = ""
        self.on_news: list[Callable[[], None]] = []
        self.on_change: list[Callable[[], None]] = []

    def news(self, audience: routers.Audience) -> tuple[gossip.WeightsNews, ...]:
        """Return what an audience is to be told: what is known since a moment."""
        now = self.clock.monotonic()
        for kept in (self.recent, self.passing):
            for key in [key for key, news in kept.items() if now - news.at > news.seconds]:
                del kept[key]
        for news in self.recent.values():
            self._apply(news.item)
        found = self._ahead_of_entries()
        found |= {
            key: news.item
            for key, news in [*self.passing.items(), *self.recent.items()]
            if audience in news.audiences
        }
        return tuple(found.values())

    def _ahead_of_entries(self) -> dict[tuple[str, str], gossip.WeightsNews]:
        """Return what is known beyond the entries: a router that just started knows only these."""
        return {
            (state.endpoint.incarnation, name): gossip.WeightsNews(
                state.endpoint.incarnation, name, version, is_loading=False
            )
            for state in self.table.states.values()
            for name, version in state.weights.items()
            if version > state.endpoint.weights.get(name, 0)
        }

    def record(self, state: endpoints.EndpointState, name: str, version: int, is_loading) -> None:
        """Note what an endpoint was found to load or to have loaded, and tell the others."""
        incarnation = state.endpoint.incarnation
        item = gossip.WeightsNews(incarnation, name, version, is_loading)
        self.recent[(incarnation, name)] = News(item, self.clock.monotonic())
        self._apply(item)
        for listener in self.on_news:
            listener()

    def abandon(self, state: endpoints.EndpointState, name: str) -> None:
        """Note that an endpoint is not loading weights after all."""
        self.recent.pop((state.endpoint.incarnation, name), None)
        state.loading.pop(name, None)
        for listener in self.on_change:
            listener()

    def take_news(self, items: tuple[gossip.WeightsNews, ...], audiences=()) -> None:
        """Take in what another router told.

        Args:
          items: What it told.
          audiences: Who is told in turn.
        """
        now = self.clock.monotonic()
        for item in items:
            self._apply(item)
            if audiences:
                passed = News(item, now, audiences, PASS_ON_SECONDS)
                self.passing[(item.incarnation, item.model)] = passed

    def take_lease(self, router: str, version: int, now: float) -> None:
        """Note that another router holds the lease, or that it has given it back.

        Args:
          router: Name of the router.
          version: Version of the lease's row, 0 when it does not hold it.
          now: Monotonic seconds.
        """
        if version and version >= self.seen_lease:
            self.seen_holder, self.seen_lease, self.seen_lease_at = router, version, now
        elif not version and router == self.seen_holder:
            self.seen_holder, self.seen_lease_at = "", -1e9

    def _apply(self, item: gossip.WeightsNews) -> None:
        state = self.table.states.get(item.incarnation.rpartition("/")[0])
        if state is None or state.endpoint.incarnation != item.incarnation:
            return
        if not item.is_loading:
            state.learn_weights(item.model, item.version)
        elif state.weights.get(item.model, 0) < item.version:
            known = state.loading.get(item.model)
            if known is None or known.version <= item.version:
                now = self.clock.monotonic()
                state.loading[item.model] = endpoints.Loading(item.version, now)
        for listener in self.on_change:
            listener()


def loading_limit(states: list[endpoints.EndpointState], now: float) -> int:
    """Return how many of a model's endpoints load at the same time.

    Args:
      states: Endpoints that can be reached.
      now: Monotonic seconds.
    """
    slots = sum(state.endpoint.slots for state in states)
    busy = sum(state.load(now)[0] for state in states)
    share = LOADING_SHARE if busy < BUSY_SHARE * slots else BUSY_LOADING_SHARE
    return max(1, math.ceil(len(states) * share))


def due(
    states: list[endpoints.EndpointState], name: str, version: int, followed: set[str], now: float
) -> list[endpoints.EndpointState]:
    """Return the endpoints that are to be ordered now.

    The oldest weights go first, as they are the first that no request may begin on; then those
    with the fewest requests, which are free soonest.

    Args:
      states: Endpoints of the model that are not leaving.
      name: Name of the model.
      version: Version of the weights.
      followed: Lifetimes whose orders are under way.
      now: Monotonic seconds.
    """
    states = [s for s in states if not s.is_suspected]
    behind = [s for s in states if s.weights.get(name, 0) < version]
    busy = [s for s in behind if s.endpoint.incarnation in followed]
    free = [s for s in behind if s.endpoint.incarnation not in followed]
    room = loading_limit(states, now) - len(busy)
    return sorted(free, key=lambda s: (s.weights.get(name, 0), s.load(now)))[: max(0, room)]


class Weights(supervisor.Task):
    """Brings the endpoints to the weights that the operator asks for.

    Args:
      config: Settings of this gateway.
      known: What is believed.
      board: Where news goes.
      held: Lease under which orders are given.
      calls: Endpoints' controls.
      meters_: Metrics.
      is_candidate: Returns whether this router may contend for the lease, so that not all of
        many routers read its row.
    """

    def __init__(
        self,
        config: settings.GatewaySettings,
        known: knowledge.Knowledge,
        board: WeightsBoard,
        held: lease.Lease,
        calls: orders.Orderer,
        meters_: meters.GatewayMetrics,
        is_candidate: Callable[[], bool] = lambda: True,
    ):
        super().__init__("weights", known.clock, TICK_SECONDS)
        self.settings = config
        self.knowledge = known
        self.board = board
        self.lease = held
        self.calls = calls
        self.meters = meters_
        self.is_candidate = is_candidate
        self.followed: dict[str, gevent.Greenlet] = {}
        self.not_before: dict[str, float] = {}
        self.order_counts: dict[str, int] = {}
        self.started_at = known.clock.monotonic()
        self.next_lease_at = 0.0
        self.was_held = False
        self.maintainer: gevent.Greenlet | None = None
        self.is_stopping = False

    def tick(self) -> None:
        """Keep the lease and give the orders that are due."""
        now = self.clock.monotonic()
        if self.is_stopping:
            return
        self._maintain_lease(now)
        is_held = self.lease.is_held(ORDER_SECONDS)
        if is_held != self.was_held:
            self.was_held = is_held
            logs.event("lease", lease=LEASE_NAME, is_held=is_held, token=self.lease.token)
        self.board.lease_version = self.lease.token if is_held else 0
        if is_held:
            self._give_orders(now)
        elif not self.is_candidate():
            self.next_tick = now + IDLE_SECONDS

    def _maintain_lease(self, now: float) -> None:
        """Renew the lease in a greenlet of its own, so that a slow store stops no tick.

        A process waits for the length of a lease after its start: an earlier process of this VM
        may have held it, and its orders and those of others must not alternate.
        """
        if self.board.seen_lease_at > now - self.settings.bounds.lease_seconds / 2:
            self.lease.observe(self.board.seen_lease, self.board.seen_lease_at)
            return
        if now < self.next_lease_at or not (self.lease.is_held() or self.is_candidate()):
            return
        if self.maintainer is not None and not self.maintainer.ready():
            return
        is_young = now - self.started_at < self.settings.bounds.lease_seconds
        self.next_lease_at = now + (WATCH_SECONDS if is_young else RETRY_SECONDS)
        self.maintainer = gevent.spawn(self._try_maintain, is_young)

    def _try_maintain(self, is_young: bool) -> None:
        try:
            if is_young:
                self.lease.watch()
            else:
                self.lease.maintain()
        except errors.PlatformError as error:
            logs.event("lease_failed", "warning", lease=LEASE_NAME, cause=str(error))
            self.next_lease_at = self.clock.monotonic() + 2 * RETRY_SECONDS

    def _give_orders(self, now: float) -> None:
        for name, target in self.knowledge.targets.items():
            states = list(self.knowledge.endpoints.of_model(name))
            for incarnation in [key for key, greenlet in self.followed.items() if greenlet.ready()]:
                del self.followed[incarnation]
            for state in due(states, name, target.version, set(self.followed), now):
                incarnation = state.endpoint.incarnation
                if self.not_before.get(incarnation, 0.0) <= now:
                    self.followed[incarnation] = gevent.spawn(self._bring, state, name)

    def _bring(self, state: endpoints.EndpointState, name: str) -> None:
        """Order an endpoint to load the newest weights and follow the order to its end."""
        incarnation = state.endpoint.incarnation
        version = self.knowledge.targets[name].version
        if incarnation not in self.order_counts:
            report = self.calls.report(state.endpoint)
            if report is None:
                self.not_before[incarnation] = self.clock.monotonic() + RETRY_SECONDS
                return
            self.order_counts[incarnation] = report.order_count
            if report.weights.get(name, 0) >= version:
                self.board.record(state, name, report.weights[name], is_loading=False)
                return
        known = self.order_counts[incarnation]
        mode = self._drain(state, name, version)
        if not self.lease.is_held(ORDER_SECONDS) or self.is_stopping:
            self.board.abandon(state, name)
            return
        outcome = self._order(state, name, version, known, mode)
        now = self.clock.monotonic()
        self.not_before[incarnation] = now + RETRY_SECONDS
        if outcome is orders.Outcome.ACCEPTED:
            self.order_counts[incarnation] = known + 1
        else:
            # Whether it was accepted, or by whom, shows in the next report.
            del self.order_counts[incarnation]
        if outcome is orders.Outcome.HOLDS:
            self.board.record(state, name, version, is_loading=False)
        elif outcome in (orders.Outcome.ACCEPTED, orders.Outcome.UNKNOWN, orders.Outcome.BUSY):
            self._follow(state, name, version, outcome)
        else:
            self.board.abandon(state, name)
            if outcome is orders.Outcome.UNREACHABLE:
                state.record_failure(now)

    def _drain(self, state: endpoints.EndpointState, name: str, version: int) -> orders.SwitchMode:
        """Keep requests away until few run, for a bounded time; return how to switch.

        The longest runs would keep an endpoint from serving for seconds; past the bound they go on
        under the new weights, which loses the rest of a few answers instead of the time of all.
        """
        self.board.record(state, name, version, is_loading=True)
        until = self.clock.monotonic() + DRAIN_SECONDS
        while self.clock.monotonic() < until and not state.is_gone:
            if not state.load(self.clock.monotonic())[0]:
                return orders.SwitchMode.QUEUE
            self.clock.sleep(TICK_SECONDS)
        return orders.SwitchMode.HOT_SWAP

    def _order(
        self,
        state: endpoints.EndpointState,
        name: str,
        version: int,
        known: int,
        mode: orders.SwitchMode,
    ) -> orders.Outcome:
        order = orders.WeightsOrder(
            endpoint=state.endpoint,
            model=name,
            version=version,
            mode=mode,
            holder=self.settings.name,
            token=self.lease.token,
            expected=known,
        )
        outcome = self.calls.order_weights(order)
        self.meters.orders.labels(outcome.value).inc()
        logs.event(
            "order",
            endpoint=state.endpoint.incarnation,
            model=name,
            version=version,
            had=state.weights.get(name),
            token=order.token,
            expected=known,
            mode=mode.value,
            running=state.load(self.clock.monotonic())[0],
            outcome=outcome.value,
        )
        return outcome

    def _follow(self, state, name: str, version: int, outcome: orders.Outcome) -> None:
        until = self.clock.monotonic() + FOLLOW_SECONDS
        failures = 0
        while self.clock.monotonic() < until and not state.is_gone and not self.is_stopping:
            self.clock.sleep(REPORT_SECONDS)
            if state.weights.get(name, 0) >= version:
                return
            report = self.calls.report(state.endpoint)
            if report is None:
                failures += 1
                if failures > 3:
                    break
                continue
            if report.weights.get(name, 0) >= version:
                self.board.record(state, name, report.weights[name], is_loading=False)
                logs.event("weights_loaded", endpoint=state.endpoint.incarnation, version=version)
                return
            if not report.is_busy and outcome is not orders.Outcome.ACCEPTED:
                break
        self.board.abandon(state, name)

    def stop_orders(self) -> None:
        """Give no further order and give the lease back."""
        self.is_stopping = True
        self.board.lease_version = 0
        try:
            self.lease.release()
        except errors.PlatformError as error:
            logs.event("lease_release_failed", "warning", cause=str(error))
