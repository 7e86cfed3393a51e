"""Steps for rolling updates of weights: the real task on a fake clock, with fake endpoints."""

import gevent
from behave import given, then, when

from bronzemux import clock, lease, table
from bronzemux.gateway import (
    cluster_state,
    endpoints,
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
    """Fake clock whose `sleep` blocks until the scenario has advanced it."""

    def sleep(self, seconds: float) -> None:
        """Wait until the scenario has advanced the clock by the given seconds."""
        until = self.elapsed + seconds
        while self.elapsed < until - 1e-9:
            gevent.sleep(0)


class FakeEndpoint:
    """State of one fake endpoint: its weights and the orders it has accepted."""

    def __init__(self, version: int):
        self.version = version
        self.accepted_count = 0
        self.loaded_versions: list[int] = []
        self.loading: tuple[int, float] | None = None
        self.late_orders: list[tuple[float, orders.WeightsOrder]] = []


class FakeEndpointControl(orders.EndpointControl):
    """Control interface of fake endpoints, with faults.

    Args:
      fake_clock: Clock of the scenario.
    """

    def __init__(self, fake_clock):
        self.clock = fake_clock
        self.fake_endpoints: dict[str, FakeEndpoint] = {}
        self.orders: list[tuple[float, orders.WeightsOrder, orders.Outcome]] = []
        self.fault = ""
        self.max_loading = 0

    def advance(self) -> None:
        """Complete the loads and deliver the late orders that are due."""
        now = self.clock.monotonic()
        for fake_endpoint in self.fake_endpoints.values():
            if fake_endpoint.loading is not None and fake_endpoint.loading[1] <= now:
                fake_endpoint.version, fake_endpoint.loading = fake_endpoint.loading[0], None
            for at, order in [item for item in fake_endpoint.late_orders if item[0] <= now]:
                fake_endpoint.late_orders.remove((at, order))
                self._accept(fake_endpoint, order)
        loading = sum(
            fake_endpoint.loading is not None for fake_endpoint in self.fake_endpoints.values()
        )
        self.max_loading = max(self.max_loading, loading)

    def order_weights(self, order: orders.WeightsOrder) -> orders.Outcome:
        """Accept or reject an order, subject to the current fault."""
        fake_endpoint = self.fake_endpoints[order.endpoint.id]
        if self.fault == "executes orders late":
            self.fault = ""
            fake_endpoint.late_orders.append((self.clock.monotonic() + 1.5, order))
            outcome = orders.Outcome.UNKNOWN
        else:
            outcome = self._accept(fake_endpoint, order)
            if self.fault == "accepts orders but its response is lost":
                self.fault = ""
                outcome = orders.Outcome.UNKNOWN
        self.orders.append((self.clock.monotonic(), order, outcome))
        return outcome

    def _accept(self, fake_endpoint: FakeEndpoint, order: orders.WeightsOrder) -> orders.Outcome:
        if fake_endpoint.version >= order.version:
            return orders.Outcome.HOLDS
        if fake_endpoint.loading is not None or order.expected != fake_endpoint.accepted_count:
            return orders.Outcome.BUSY
        fake_endpoint.accepted_count += 1
        fake_endpoint.loaded_versions.append(order.version)
        fake_endpoint.loading = (order.version, self.clock.monotonic() + LOAD_SECONDS)
        return orders.Outcome.ACCEPTED

    def report(self, endpoint: model.Endpoint) -> orders.Report:
        """Return the status report of an endpoint."""
        fake_endpoint = self.fake_endpoints[endpoint.id]
        return orders.Report(
            {MODEL: fake_endpoint.version},
            fake_endpoint.loading is not None,
            fake_endpoint.accepted_count,
        )


def endpoint_entry(number: int, version: int, born: int = 1) -> model.Endpoint:
    """Return the entry of a model endpoint."""
    address = f"10.0.0.{number}:80"
    return model.Endpoint(f"e{number}", "lm", address, "a", 8, False, {MODEL: version}, born)


def make_task(context, version: int, count: int, had: int, is_starting: bool) -> None:
    """Create the rollout task, its cluster state and its endpoints."""
    context.clock = SteppedClock()
    context.clock.advance(100.0)
    context.lease_table = table.MemoryTable()
    context.control = FakeEndpointControl(context.clock)
    states = endpoints.EndpointTable()
    context.cluster = cluster_state.ClusterState(
        documents.PlatformDocuments(), context.clock, states
    )
    context.states = states
    for number in range(1, count + 1):
        states.put(endpoint_entry(number, had), context.clock.monotonic())
        context.control.fake_endpoints[f"e{number}"] = FakeEndpoint(had)
    context.cluster.record_target(MODEL, version, 0.0)
    context.version = version
    config = settings.GatewaySettings("vm-1", "a", *["127.0.0.1:1"] * 5)
    weights_tracker = weights.WeightsTracker(states, context.clock)
    context.lease = make_lease(context, "vm-1@1")
    context.task = weights.WeightsRollout(
        config,
        context.cluster,
        weights_tracker,
        context.lease,
        context.control,
        meters.GatewayMetrics(),
    )
    if not is_starting:
        context.clock.advance(config.bounds.lease_seconds + 0.1)


def make_lease(context, holder: str) -> lease.Lease:
    """Return the lease for weights orders as one router sees it."""
    lease_settings = lease.LeaseSettings(3.0, weights.LEASE_MARGIN_SECONDS)
    return lease.Lease(
        weights.LEASE_NAME, holder, lease_settings, context.lease_table, context.clock
    )


@given("a rollout of version {version:d} over {count:d} endpoints with weights {had:d}")
def step_rollout(context, version, count, had):
    make_task(context, version, count, had, is_starting=False)


@given(
    "a rollout of version {version:d} over {count:d} endpoints with weights {had:d} by a process "
    "that has just started"
)
def step_starting(context, version, count, had):
    make_task(context, version, count, had, is_starting=True)


@given("endpoint {number:d} has weights {version:d}")
def step_weights(context, number, version):
    context.states.remove(f"e{number}")
    context.states.put(endpoint_entry(number, version), context.clock.monotonic())
    context.control.fake_endpoints[f"e{number}"].version = version


@given("the endpoint {does}")
def step_fault(context, does):
    context.control.fault = does
    if does.startswith("is busy"):
        context.control.fake_endpoints["e1"].loading = (3, context.clock.monotonic() + 1.0)
        context.control.fake_endpoints["e1"].accepted_count = 1


@given("another router holds the lease")
def step_other_holds(context):
    context.other = make_lease(context, "vm-2@1")
    context.other.acquire_or_renew()
    context.other_renews = True


def run_step(context) -> None:
    """Run one tick of the task and advance the clock, the lease and the endpoints."""
    if getattr(context, "other_renews", False):
        context.other.acquire_or_renew()
    context.task.tick()
    for _ in range(5):
        gevent.sleep(0)
    loaded_state = getattr(context, "loaded_state", None)
    if loaded_state is not None:
        now = context.clock.monotonic()
        if context.lease.is_held():
            context.loading_samples.append((now, loaded_state.is_loading(MODEL, now)))
        context.task.weights_tracker.updates_for(routers.Audience.FELLOW)
        if now >= context.requests_end_at:
            loaded_state.in_flight = 0
    context.clock.advance(STEP_SECONDS)
    context.control.advance()
    for _ in range(5):
        gevent.sleep(0)


@when("the rollout task runs for one step")
def step_run_one(context):
    for _ in range(3):
        run_step(context)


@when("the rollout task runs for {count:d} steps")
def step_run(context, count):
    for _ in range(count):
        run_step(context)


@when("the rollout task runs until all endpoints have the weights")
def step_run_all(context):
    for _ in range(MAX_STEPS):
        run_step(context)
        if all(fake.version >= context.version for fake in context.control.fake_endpoints.values()):
            break
    for _ in range(20):
        run_step(context)
    found = {name: fake.version for name, fake in context.control.fake_endpoints.items()}
    assert set(found.values()) == {context.version}, (found, context.control.orders)


@when("version {version:d} is requested while the first endpoints load")
def step_next_version(context, version):
    for _ in range(6):
        run_step(context)
    context.cluster.record_target(MODEL, version, 0.0)
    context.version = version


@when("it is paused for {seconds:g} seconds and another router acquires the lease")
def step_paused(context, seconds):
    other = make_lease(context, "vm-2@1")
    other.read_row()
    context.clock.advance(seconds)
    other.acquire_or_renew()
    assert other.is_held()
    context.other, context.other_renews = other, True
    context.paused_at = context.clock.monotonic()


@when("the rollout task stops")
def step_stops(context):
    context.task.stop_orders()


@when("endpoint {number:d} restarts with weights {version:d}")
def step_restarts(context, number, version):
    context.control.fake_endpoints[f"e{number}"] = FakeEndpoint(version)
    context.states.put(endpoint_entry(number, version, born=2), context.clock.monotonic())


@then("at most {count:d} endpoints loaded at a time")
def step_at_a_time(context, count):
    assert 1 <= context.control.max_loading <= count, context.control.max_loading


@then("every order carries the holder, its fencing token and the number of orders accepted before")
def step_order_fields(context):
    for _, order, _ in context.control.orders:
        assert order.holder == "vm-1" and order.token > 0 and order.expected == 0, order


@then("every endpoint was ordered once")
def step_once(context):
    ordered = [order.endpoint.id for _, order, _ in context.control.orders]
    assert sorted(ordered) == sorted(context.control.fake_endpoints), ordered


@then("at most {count:d} endpoints were ordered to load version {version:d}")
def step_superseded(context, count, version):
    ordered = [order for _, order, _ in context.control.orders if order.version == version]
    assert len(ordered) <= count, ordered


@then("endpoint {number:d} was ordered first")
def step_first(context, number):
    assert context.control.orders[0][1].endpoint.id == f"e{number}", context.control.orders


@then("the endpoint loaded the weights once")
def step_loaded_once(context):
    assert context.control.fake_endpoints["e1"].loaded_versions == [
        context.version
    ], context.control.orders


@then("no order was sent")
def step_nothing(context):
    assert context.control.orders == []


@then("no order was sent after the pause")
def step_nothing_after(context):
    assert context.control.orders
    assert all(
        at < context.paused_at for at, _, _ in context.control.orders
    ), context.control.orders


@then("another router can acquire the lease at once, with a higher token")
def step_next(context):
    other = make_lease(context, "vm-2@1")
    assert other.acquire_or_renew()
    assert other.token > context.lease.token


@then("endpoint {number:d} was ordered in its new incarnation, with no orders accepted before")
def step_new_incarnation(context, number):
    last = [o for _, o, _ in context.control.orders if o.endpoint.id == f"e{number}"][-1]
    assert (last.endpoint.started_at_ms, last.expected) == (2, 0), last


@given("{count:d} requests run at endpoint {number:d} for {seconds:g} seconds")
def step_running(context, count, number, seconds):
    state = context.states.states[f"e{number}"]
    state.in_flight = count
    context.requests_end_at = context.clock.monotonic() + seconds
    context.loaded_state = state
    context.loading_samples = []
    context.drain_began_at = context.clock.monotonic()


@then(
    'endpoint {number:d} was ordered in mode "{mode}" between {first:g} and {last:g} seconds after '
    "the start"
)
def step_mode(context, number, mode, first, last):
    (found,) = [(at, o) for at, o, _ in context.control.orders if o.endpoint.id == f"e{number}"]
    assert found[1].mode.value == mode, found
    assert first <= found[0] - context.drain_began_at <= last, found[0] - context.drain_began_at


@then("endpoint {number:d} got no new request while it was drained")
def step_no_new_requests(context, number):
    ordered_at = [at for at, o, _ in context.control.orders if o.endpoint.id == f"e{number}"][0]
    seen = [is_loading for at, is_loading in context.loading_samples if at <= ordered_at]
    began = seen.index(True) if True in seen else len(seen)
    assert all(seen[began:]), context.loading_samples
    assert began <= 2, context.loading_samples


@given("each endpoint has {count:d} requests")
def step_each_has(context, count):
    for state in context.cluster.endpoints.states.values():
        state.in_flight = count


@given("{count:d} of the endpoints are unreachable")
def step_unreachable(context, count):
    context.unreachable = sorted(context.cluster.endpoints.states)[:count]
    for name in context.unreachable:
        context.cluster.endpoints.states[name].is_suspected = True


@when("the rollout task runs until all reachable endpoints have the weights")
def step_run_reachable(context):
    unreachable = getattr(context, "unreachable", [])
    fake_endpoints = context.control.fake_endpoints
    for _ in range(MAX_STEPS):
        run_step(context)
        if all(
            fake.version >= context.version
            for n, fake in fake_endpoints.items()
            if n not in unreachable
        ):
            break
    found = {name: fake_endpoint.version for name, fake_endpoint in fake_endpoints.items()}
    assert all((found[n] >= context.version) == (n not in unreachable) for n in found), found
