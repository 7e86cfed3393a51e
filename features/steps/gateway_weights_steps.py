"""Steps for new weights: the real task on a fake clock, with orders that take effect in time."""

import gevent
from behave import given, then, when

from bronzemux import clock, lease, table
from bronzemux.gateway import (
    endpoints,
    knowledge,
    meters,
    model,
    orders,
    routers,
    settings,
    weights,
)
from bronzemux.platform import documents

MODEL = "m1"
LOAD_SECONDS = 0.7
STEP_SECONDS = 0.05
MAX_STEPS = 2000


class SteppedClock(clock.FakeClock):
    """Clock that only the scenario moves; who sleeps waits for it."""

    def sleep(self, seconds: float) -> None:
        """Wait until the scenario has moved the clock far enough."""
        until = self.elapsed + seconds
        while self.elapsed < until - 1e-9:
            gevent.sleep(0)


class FakeEngine:
    """What an endpoint does with orders."""

    def __init__(self, version: int):
        self.version = version
        self.count = 0
        self.loads: list[int] = []
        self.loading: tuple[int, float] | None = None
        self.late: list[tuple[float, orders.WeightsOrder]] = []


class FakeCalls(orders.Orderer):
    """Controls of fake endpoints.

    Args:
      clock_: The scenario's clock.
    """

    def __init__(self, clock_):
        self.clock = clock_
        self.engines: dict[str, FakeEngine] = {}
        self.orders: list[tuple[float, orders.WeightsOrder, orders.Outcome]] = []
        self.fault = ""
        self.most_loading = 0

    def advance(self) -> None:
        """Let loads end and late orders take effect."""
        now = self.clock.monotonic()
        for engine in self.engines.values():
            if engine.loading is not None and engine.loading[1] <= now:
                engine.version, engine.loading = engine.loading[0], None
            for at, order in [item for item in engine.late if item[0] <= now]:
                engine.late.remove((at, order))
                self._accept(engine, order)
        loading = sum(engine.loading is not None for engine in self.engines.values())
        self.most_loading = max(self.most_loading, loading)

    def order_weights(self, order: orders.WeightsOrder) -> orders.Outcome:
        """Treat an order as the fault says."""
        engine = self.engines[order.endpoint.id]
        if self.fault == "carries orders out late":
            self.fault = ""
            engine.late.append((self.clock.monotonic() + 1.5, order))
            outcome = orders.Outcome.UNKNOWN
        else:
            outcome = self._accept(engine, order)
            if self.fault == "accepts orders and loses the answer":
                self.fault = ""
                outcome = orders.Outcome.UNKNOWN
        self.orders.append((self.clock.monotonic(), order, outcome))
        return outcome

    def _accept(self, engine: FakeEngine, order: orders.WeightsOrder) -> orders.Outcome:
        if engine.version >= order.version:
            return orders.Outcome.HOLDS
        if engine.loading is not None or order.expected != engine.count:
            return orders.Outcome.BUSY
        engine.count += 1
        engine.loads.append(order.version)
        engine.loading = (order.version, self.clock.monotonic() + LOAD_SECONDS)
        return orders.Outcome.ACCEPTED

    def report(self, endpoint: model.Endpoint) -> orders.Report:
        """Return the report of an endpoint."""
        engine = self.engines[endpoint.id]
        return orders.Report({MODEL: engine.version}, engine.loading is not None, engine.count)


def entry(number: int, version: int, born: int = 1) -> model.Endpoint:
    """Return the entry of an endpoint."""
    address = f"10.0.0.{number}:80"
    return model.Endpoint(f"e{number}", "lm", address, "a", 8, False, {MODEL: version}, born)


def make(context, version: int, count: int, had: int, is_young: bool) -> None:
    """Build the task with its beliefs."""
    context.clock = SteppedClock()
    context.clock.advance(100.0)
    context.lease_table = table.MemoryTable()
    context.calls = FakeCalls(context.clock)
    states = endpoints.EndpointTable()
    context.known = knowledge.Knowledge(documents.PlatformDocuments(), context.clock, states)
    context.states = states
    for number in range(1, count + 1):
        states.put(entry(number, had), context.clock.monotonic())
        context.calls.engines[f"e{number}"] = FakeEngine(had)
    context.known.note_target(MODEL, version, 0.0)
    context.version = version
    config = settings.GatewaySettings("vm-1", "a", *["127.0.0.1:1"] * 5)
    board = weights.WeightsBoard(states, context.clock)
    context.lease = make_lease(context, "vm-1@1")
    context.task = weights.Weights(
        config, context.known, board, context.lease, context.calls, meters.GatewayMetrics()
    )
    if not is_young:
        context.clock.advance(config.bounds.lease_seconds + 0.1)


def make_lease(context, holder: str) -> lease.Lease:
    """Return the lease as one router sees it."""
    length = lease.LeaseSettings(3.0, weights.MARGIN_SECONDS)
    return lease.Lease(weights.LEASE_NAME, holder, length, context.lease_table, context.clock)


@given("a rollout of version {version:d} over {count:d} endpoints with weights {had:d}")
def step_rollout(context, version, count, had):
    make(context, version, count, had, is_young=False)


@given(
    "a rollout of version {version:d} over {count:d} endpoints with weights {had:d} by a process "
    "that has just started"
)
def step_young(context, version, count, had):
    make(context, version, count, had, is_young=True)


@given("endpoint {number:d} has weights {version:d}")
def step_weights(context, number, version):
    context.states.remove(f"e{number}")
    context.states.put(entry(number, version), context.clock.monotonic())
    context.calls.engines[f"e{number}"].version = version


@given("the endpoint {does}")
def step_fault(context, does):
    context.calls.fault = does
    if does.startswith("is busy"):
        context.calls.engines["e1"].loading = (3, context.clock.monotonic() + 1.0)
        context.calls.engines["e1"].count = 1


@given("another router holds the lease")
def step_other_holds(context):
    context.other = make_lease(context, "vm-2@1")
    context.other.maintain()
    context.keeps_other = True


def run_step(context) -> None:
    """Let the task tick once and everyone else act."""
    if getattr(context, "keeps_other", False):
        context.other.maintain()
    context.task.tick()
    for _ in range(5):
        gevent.sleep(0)
    busy = getattr(context, "busy", None)
    if busy is not None:
        now = context.clock.monotonic()
        if context.lease.is_held():
            context.loading_seen.append((now, busy.is_loading(MODEL, now)))
        context.task.board.news(routers.Audience.FELLOW)
        if now >= context.ends_at:
            busy.in_flight = 0
    context.clock.advance(STEP_SECONDS)
    context.calls.advance()
    for _ in range(5):
        gevent.sleep(0)


@when("the orderer runs for one step")
def step_run_one(context):
    for _ in range(3):
        run_step(context)


@when("the orderer runs for {count:d} steps")
def step_run(context, count):
    for _ in range(count):
        run_step(context)


@when("the orderer runs until all have the weights")
def step_run_all(context):
    for _ in range(MAX_STEPS):
        run_step(context)
        if all(e.version >= context.version for e in context.calls.engines.values()):
            break
    for _ in range(20):
        run_step(context)
    found = {name: e.version for name, e in context.calls.engines.items()}
    assert set(found.values()) == {context.version}, (found, context.calls.orders)


@when("version {version:d} is named while the first endpoints load")
def step_named(context, version):
    for _ in range(6):
        run_step(context)
    context.known.note_target(MODEL, version, 0.0)
    context.version = version


@when("it is paused for {seconds:g} seconds and another router takes the lease over")
def step_paused(context, seconds):
    other = make_lease(context, "vm-2@1")
    other.watch()
    context.clock.advance(seconds)
    other.maintain()
    assert other.is_held()
    context.other, context.keeps_other = other, True
    context.paused_at = context.clock.monotonic()


@when("it stops")
def step_stops(context):
    context.task.stop_orders()


@when("endpoint {number:d} starts again with weights {version:d}")
def step_restarts(context, number, version):
    context.calls.engines[f"e{number}"] = FakeEngine(version)
    context.states.put(entry(number, version, born=2), context.clock.monotonic())


@then("at most {count:d} endpoints loaded at a time")
def step_at_a_time(context, count):
    assert 1 <= context.calls.most_loading <= count, context.calls.most_loading


@then("every order names the holder, its token and the orders accepted before")
def step_names(context):
    for _, order, _ in context.calls.orders:
        assert order.holder == "vm-1" and order.token > 0 and order.expected == 0, order


@then("every endpoint was ordered once")
def step_once(context):
    ordered = [order.endpoint.id for _, order, _ in context.calls.orders]
    assert sorted(ordered) == sorted(context.calls.engines), ordered


@then("at most {count:d} endpoints were ordered to load version {version:d}")
def step_superseded(context, count, version):
    ordered = [order for _, order, _ in context.calls.orders if order.version == version]
    assert len(ordered) <= count, ordered


@then("endpoint {number:d} was ordered first")
def step_first(context, number):
    assert context.calls.orders[0][1].endpoint.id == f"e{number}", context.calls.orders


@then("the endpoint loaded the weights once")
def step_loaded_once(context):
    assert context.calls.engines["e1"].loads == [context.version], context.calls.orders


@then("nothing was ordered")
def step_nothing(context):
    assert context.calls.orders == []


@then("nothing was ordered after the pause")
def step_nothing_after(context):
    assert context.calls.orders
    assert all(at < context.paused_at for at, _, _ in context.calls.orders), context.calls.orders


@then("another router can take the lease at once, with a higher token")
def step_next(context):
    other = make_lease(context, "vm-2@1")
    assert other.maintain()
    assert other.token > context.lease.token


@then("endpoint {number:d} was ordered in its new lifetime, with no order before")
def step_new_lifetime(context, number):
    last = [o for _, o, _ in context.calls.orders if o.endpoint.id == f"e{number}"][-1]
    assert (last.endpoint.started_at_ms, last.expected) == (2, 0), last


@given("{count:d} requests run at endpoint {number:d} for {seconds:g} seconds")
def step_running(context, count, number, seconds):
    state = context.states.states[f"e{number}"]
    state.in_flight = count
    context.ends_at = context.clock.monotonic() + seconds
    context.busy = state
    context.loading_seen = []
    context.began_at = context.clock.monotonic()


@then(
    'endpoint {number:d} was ordered in mode "{mode}" between {first:g} and {last:g} seconds after '
    "the start"
)
def step_mode(context, number, mode, first, last):
    (found,) = [(at, o) for at, o, _ in context.calls.orders if o.endpoint.id == f"e{number}"]
    assert found[1].mode.value == mode, found
    assert first <= found[0] - context.began_at <= last, found[0] - context.began_at


@then("endpoint {number:d} got no new request meanwhile")
def step_kept_away(context, number):
    ordered_at = [at for at, o, _ in context.calls.orders if o.endpoint.id == f"e{number}"][0]
    seen = [is_loading for at, is_loading in context.loading_seen if at <= ordered_at]
    began = seen.index(True) if True in seen else len(seen)
    assert all(seen[began:]), context.loading_seen
    assert began <= 2, context.loading_seen


@given("each endpoint has {count:d} requests")
def step_each_has(context, count):
    for state in context.known.endpoints.states.values():
        state.in_flight = count


@given("{count:d} of the endpoints are out of reach")
def step_away(context, count):
    context.away = sorted(context.known.endpoints.states)[:count]
    for name in context.away:
        context.known.endpoints.states[name].is_suspected = True


@when("the orderer runs until all that can be reached have the weights")
def step_run_reachable(context):
    away = getattr(context, "away", [])
    engines = context.calls.engines
    for _ in range(MAX_STEPS):
        run_step(context)
        if all(e.version >= context.version for n, e in engines.items() if n not in away):
            break
    found = {name: engine.version for name, engine in engines.items()}
    assert all((found[n] >= context.version) == (n not in away) for n in found), found
