"""Steps of rollout.feature that drive one rollout task on a fake clock."""

import socket
import types
from collections.abc import Callable

import gevent
from behave import given, then, when

from bronzemux import (
    clock,
    config,
    config_edit,
    config_store,
    engine,
    engine_http,
    errors,
    fleet,
    http_client,
    messages,
    rollout,
    snapshot,
    table,
)
from features import support
from features.steps import rollout_steps

MODEL = rollout_steps.MODEL
DATA_CENTRE = "tbilisi-1"
VERSION_IN_FORCE = "2026-11"
TICK_SECONDS = rollout.TICK_SECONDS
ROLLOUT_SECONDS = 20.0


class RecordingEngine:
    """Engine that accepts orders and executes them only when the test says so.

    Args:
      state: State of the endpoint as the router sees it.
      clock: Source of time.

    Attributes:
      connect_seconds: Time until an order can be sent.
    """

    def __init__(self, state: fleet.EndpointState, clock: clock.FakeClock):
        self.state = state
        self.clock = clock
        self.connect_seconds = 0.0
        self.executing: list[engine.Order] = []

    def order(self, order: engine.Order, check: Callable[[], None] = lambda: None) -> None:
        """Accept an order."""
        self.clock.advance(self.connect_seconds)
        check()
        self.executing.append(order)

    def finish(self) -> None:
        """Execute the accepted orders and report the result."""
        for order in self.executing:
            if order.weights_version:
                self.state.weights = {MODEL: order.weights_version}
            name, _, version = order.adapter.partition("@")
            if name:
                self.state.adapters[engine.adapter_key(MODEL, name)] = version
        self.executing.clear()


def stored(context) -> config_store.ConfigStore:
    """Return the configurations that the task reads and writes."""
    return config_store.ConfigStore(context.service, context.clock)


def tell(context) -> None:
    """Tell the task the stored configuration."""
    head = stored(context).read()
    built = snapshot.build(head.version, head.document())
    context.task.handle(messages.SnapshotChanged(built))


def edit(context, change: config_edit.Edit) -> None:
    """Edit the stored configuration and tell it to the task."""
    head = stored(context).read()
    text = config_edit.apply(head.text, change)
    stored(context).apply(config_store.Change(head.version, text, "nino", "test"))
    tell(context)


def tick(context) -> None:
    """Let the task tick, send its orders and handle their outcomes."""
    context.task.tick()
    gevent.sleep(0)
    while not context.task.mailbox.empty():
        context.task.handle(context.task.mailbox.get())


def run_task(context, seconds: float) -> None:
    """Let the task tick for some seconds, in which no engine reports anything new."""
    for _ in range(round(seconds / TICK_SECONDS)):
        context.clock.advance(TICK_SECONDS)
        tick(context)
        count = sum(len(item.executing) for item in context.recording.values())
        context.most_executing = max(context.most_executing, count)


@given("a rollout task for the {count:d} engines of a data centre")
def step_task(context, count):
    text = support.example("centre")
    for other in ("tbilisi-2", "tbilisi-3"):
        text = text.replace(f'data_centre = "{other}"', f'data_centre = "{DATA_CENTRE}"')
    document = config.loads(text)
    engines = [item for item in document.endpoints if item.kind == "model"]
    assert len(engines) == count, engines
    adapters = {engine.adapter_key(MODEL, a.name): a.version for a in document.models[0].adapters}
    states = {
        item.name: fleet.EndpointState(
            item, weights={MODEL: VERSION_IN_FORCE}, adapters=dict(adapters)
        )
        for item in engines
    }
    context.clock, context.service = clock.FakeClock(), table.MemoryTable()
    context.recording = {
        name: RecordingEngine(state, context.clock) for name, state in states.items()
    }
    context.most_executing = 0
    dispatcher = types.SimpleNamespace(fleet=types.SimpleNamespace(states=states))
    context.task = rollout.RolloutTask(
        rollout.RolloutSettings("vm-1", DATA_CENTRE),
        context.service,
        dispatcher,
        lambda endpoint: context.recording[endpoint.name],
        context.clock,
    )
    stored(context).apply(config_store.Change(0, text, "nino", "first"))
    tell(context)


@when('a rollout of version "{version}" is started')
def step_start_rollout(context, version):
    edit(context, config_edit.set_rollout(MODEL, version))


@when("the rollout is stopped")
def step_stop_rollout(context):
    edit(context, config_edit.set_rollout(MODEL, ""))


@when('adapter "{name}" is configured in version "{version}"')
def step_configure_adapter(context, name, version):
    edit(context, config_edit.set_adapter(MODEL, name, version))


@when('the rollout is stopped and adapter "{name}" is configured in version "{version}"')
def step_stop_and_configure(context, name, version):
    step_stop_rollout(context)
    step_configure_adapter(context, name, version)


@when("the rollout task runs for {seconds:g} seconds")
def step_run(context, seconds):
    run_task(context, seconds)


@when("the engines report what they loaded")
def step_report(context):
    for item in context.recording.values():
        item.finish()


@when("the engines lose what they were loading")
def step_lose(context):
    for item in context.recording.values():
        item.executing.clear()


@then("{count:d} engines are executing orders")
def step_executing(context, count):
    found = {name: i.executing for name, i in context.recording.items() if i.executing}
    assert len(found) == count, found


@then("at no time were more than {count:d} orders being executed")
def step_most_executing(context, count):
    assert context.most_executing == count, context.most_executing


@then('the engines get orders until all have version "{version}"')
def step_until_all(context, version):
    for _ in context.recording:
        run_task(context, 1.0)
        step_report(context)
    states = [item.state for item in context.recording.values()]
    assert {state.weights[MODEL] for state in states} == {version}, states


@when('the engines execute orders until all have version "{version}"')
def step_execute_until_all(context, version):
    engines = context.recording.values()
    while {item.state.weights[MODEL] for item in engines} != {version}:
        run_task(context, 1.0)
        step_report(context)
        assert context.clock.monotonic() < ROLLOUT_SECONDS, "not all engines got their orders"


@then("the rollout is not paused")
def step_not_paused(context):
    assert not stored(context).read().document().models[0].is_rollout_paused


@when("the process is paused for {seconds:g} seconds while it connects to the engines")
def step_pause_at_connect(context, seconds):
    for item in context.recording.values():
        item.connect_seconds = seconds
    tick(context)
    for item in context.recording.values():
        item.connect_seconds = 0.0


@when("an order is checked and rejected at a connection to an engine")
def step_reject_at_connection(context):
    def reject() -> None:
        context.is_connected = bool(listener.accept())
        raise errors.EndpointRefusedError("delayed", "none")

    timeouts = http_client.Timeouts(connect=1.0, progress=1.0)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(1.0)
        client = engine_http.HttpEngine("e", *listener.getsockname(), timeouts)
        context.error = None
        try:
            client.order(engine.Order(MODEL, "2026-12", 1), reject)
        except errors.EndpointRefusedError as error:
            context.error = error


@then("the engine was connected and got no order")
def step_no_order(context):
    assert context.is_connected
    assert context.error is not None


@when('a rollout of version "{version}" will start just after the task reads the configuration')
def step_start_after_read(context, version):
    read = context.task.store.read

    def read_then_start():
        context.task.store.read = read
        head = read()
        step_start_rollout(context, version)
        return head

    context.task.store.read = read_then_start


@then('version "{version}" is in force and "{next_version}" is being rolled out')
def step_in_force(context, version, next_version):
    found = stored(context).read().document().models[0]
    assert (found.weights_version, found.next_weights_version) == (version, next_version), found
