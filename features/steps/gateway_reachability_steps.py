"""Steps for the detection of endpoints that cannot be reached."""

import gevent
from behave import given, then, when

from bronzemux import clock
from bronzemux.gateway import channels, endpoints, model, reachability
from features.steps import gateway_relays_steps

STEP_SECONDS = 0.05


class StubAttempt:
    """Stub of an attempt that records whether it was aborted."""

    def __init__(self):
        self.is_aborted = False

    def abort_if_recoverable(self) -> None:
        """Record the call."""
        self.is_aborted = True


class SteppedClock(clock.FakeClock):
    """Clock that only the scenario advances."""

    def sleep(self, seconds: float) -> None:
        """Wait until the scenario has advanced the clock far enough."""
        until = self.elapsed + seconds
        while self.elapsed < until:
            gevent.sleep(0)


@given("an endpoint that does not answer connections for {seconds:g} seconds")
def step_silent(context, seconds):
    step_refusing(context, seconds)
    context.connect_seconds = channels.CONNECT_SECONDS


@given("an endpoint that refuses connections for {seconds:g} seconds")
def step_refusing(context, seconds):
    context.connect_seconds = 0.0
    context.clock = SteppedClock()
    context.clock.advance(100.0)
    back_at = context.clock.monotonic() + seconds
    context.probes, context.notified, context.woken = [], [], []

    def connect(address: str) -> bool:
        context.clock.sleep(context.connect_seconds)
        context.probes.append(context.clock.monotonic())
        return context.clock.monotonic() >= back_at

    prober = reachability.Reachability(context.clock, lambda: context.woken.append(1), connect)
    prober.on_suspect.append(context.notified.append)
    context.reachability = prober
    context.endpoints = endpoints.EndpointTable()
    entry = model.Endpoint("app-1", "app", "10.0.0.1:80", "a", 8, started_at_ms=1)
    context.endpoints.put(entry, 100.0)
    context.state = context.endpoints.states["app-1"]
    context.receives = False


def advance_clock(context, seconds: float) -> None:
    """Advance the clock in small steps, and let the probes run after each."""
    for _ in range(round(seconds / STEP_SECONDS)):
        context.clock.advance(STEP_SECONDS)
        if context.receives:
            context.state.last_received_at = context.clock.monotonic()
        gevent.sleep(0)
        gevent.sleep(0)


@given("an attempt in progress there, which {receives}")
def step_attempt(context, receives):
    context.attempt = StubAttempt()
    context.state.attempts.add(context.attempt)
    context.receives = receives.startswith("continues")
    silence = 1.0 if receives.endswith("for 1 second") else 0.1
    context.state.last_received_at = context.clock.monotonic() - silence


@when("a connection of a request fails")
@when("{count:d} connections of requests fail")
def step_fails(context, count=1):
    for _ in range(count):
        context.reachability.report(context.state, "refused")
    gevent.sleep(0)


@when("{seconds:g} seconds pass for the probes")
def step_probes_pass(context, seconds):
    advance_clock(context, seconds)


@then("it gets no request, and is probed at most {most:d} times in {seconds:g} seconds")
def step_not_usable(context, most, seconds):
    for _ in range(round((seconds - STEP_SECONDS) / STEP_SECONDS)):
        assert not context.endpoints.usable("app", context.clock.monotonic())
        advance_clock(context, STEP_SECONDS)
    assert 1 <= len(context.probes) <= most, context.probes


@then("it gets requests again within {seconds:g} seconds")
def step_usable(context, seconds):
    advance_clock(context, seconds)
    gevent.sleep(0)
    assert context.endpoints.usable("app", context.clock.monotonic())
    assert context.woken


@then("the listeners are notified once, and {count:d} failures are counted")
def step_notified_once(context, count):
    assert len(context.notified) == 1
    assert round(context.state.failure_level(context.clock.monotonic())) == count


@then("the attempt is {state}")
def step_attempt_state(context, state):
    assert context.attempt.is_aborted == (state == "aborted")


@when("its entry is removed from the table")
def step_entry_removed(context):
    context.endpoints.remove("app-1")


@then("the probes end")
def step_probes_end(context):
    advance_clock(context, 3.0)
    count = len(context.probes)
    advance_clock(context, 10.0)
    assert len(context.probes) == count


@when("another router reports {count:d} failures at endpoint {number:d}")
def step_reported_failures(context, count, number):
    state = context.states[number - 1]
    load = endpoints.EndpointLoad(failures=float(count))
    state.peer_loads[endpoints.LoadSource("vm-2")] = (load, 0.2)


@when("a low-capacity router has {count:d} failures at an endpoint, and cannot connect to it")
def step_meets(context, count):
    fleet = context.fleet
    for gateway in fleet.gateways.values():
        gateway.endpoints.put(gateway_relays_steps.endpoint(), 0.0)
        gateway.components.reachability.connect = lambda address: False
    gateway = fleet.gateways["a02"]
    state = gateway.endpoints.states["lm-1"]
    for _ in range(count):
        state.record_failure(fleet.clock.monotonic())
    gateway.components.reachability.report(state, "refused")


@then("all routers count at least {count:g} failures there, and probe it")
def step_all_count(context, count):
    now = context.fleet.clock.monotonic()
    for name, gateway in context.fleet.gateways.items():
        state = gateway.endpoints.states["lm-1"]
        assert state.failure_level(now) >= count, (name, state.failure_level(now))
        assert state.is_suspected, name
        gateway.endpoints.remove("lm-1")
