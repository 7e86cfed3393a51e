"""Steps of rollout.feature."""

import gevent
from behave import given, then, when

from bronzemux import (
    clock,
    config,
    config_store,
    engine,
    errors,
    fleet,
    lease,
    orders,
    standin_response,
    table,
)
from features import support
from features.steps import callers_steps, streams_steps

MODEL = "statute-7b"
STEP_SECONDS = 0.5
ADAPTER_SECONDS = 60.0


class FaultyTable(table.MemoryTable):
    """Table in memory that can be down, or lose the response to the next write."""

    is_down = False
    loses_response = False

    def read(self, keys):
        """Return rows, or fail while down."""
        if self.is_down:
            raise errors.PlatformUnavailableError("down", "wait")
        return super().read(keys)

    def transact(self, writes):
        """Write, then lose the response when `loses_response` is set."""
        if self.is_down:
            raise errors.PlatformUnavailableError("down", "wait")
        version = super().transact(writes)
        if self.loses_response:
            self.loses_response = False
            raise errors.AmbiguousWriteError("lost", "read back")
        return version


@given("two contenders for a lease of {seconds:d} seconds")
def step_contenders(context, seconds):
    context.lease_table = FaultyTable()
    context.clocks = [clock.FakeClock(), clock.FakeClock()]
    settings = lease.LeaseSettings(seconds, 2.0)
    context.leases = [
        lease.Lease("x", f"c{n}", settings, context.lease_table, context.clocks[n]) for n in (0, 1)
    ]
    context.active = {0, 1}
    context.overlaps = 0


def advance(context, seconds: float) -> None:
    """Let time pass while the active contenders acquire or renew the lease.

    Counts in `context.overlaps` the moments at which both held it.
    """
    for _ in range(round(seconds / STEP_SECONDS)):
        for number in (0, 1):
            context.clocks[number].advance(STEP_SECONDS)
        for number in sorted(context.active):
            try:
                context.leases[number].acquire_or_renew()
            except errors.PlatformError:
                continue
        context.overlaps += all(item.is_held() for item in context.leases)


@when("contender 1 acquires the lease")
def step_acquire(context):
    assert context.leases[0].acquire_or_renew()
    context.lease_table.read([context.leases[0].key])


@when("contender 1 renews it every second")
def step_renew(context):
    context.active = {0, 1}


@when("contender 1 is paused")
def step_pause(context):
    context.active = {1}


@when("contender 1 releases it")
def step_release(context):
    context.leases[0].release()
    context.active = {1}


@when("the clocks of both differ by an hour")
def step_skew(context):
    context.clocks[1].advance(3600.0)
    context.leases[1].acquire_or_renew()


@when("the answer of a renewal is lost")
def step_lost(context):
    advance(context, 3.5)
    context.lease_table.loses_response = True


@when("the table service is down for 20 seconds")
def step_down(context):
    context.lease_table.is_down = True
    advance(context, 20)
    context.lease_table.is_down = False
    context.active = {1}


@then("contender 2 holds the lease {seconds:d} seconds later: {holds}")
def step_holds(context, seconds, holds):
    advance(context, seconds)
    assert context.leases[1].is_held() == (holds == "yes")


@then("contender 1 and contender 2 never hold it at the same time")
def step_never_both(context):
    assert context.overlaps == 0


@when("contender 2 takes over the lease")
def step_take_over(context):
    advance(context, 12)
    assert context.leases[1].is_held()


@then("the fencing token of contender 2 is higher")
def step_token(context):
    assert context.leases[1].token > context.leases[0].token


@then("contender 2 waits for orders of contender 1 to end")
def step_takeover_wait(context):
    context.leases[1].taken_over_at = context.clocks[1].monotonic()
    assert not context.leases[1].is_takeover_wait_over()
    advance(context, 10)
    assert context.leases[1].is_takeover_wait_over()


def in_force(context) -> str:
    """Return the weights version that the stored configuration has in force."""
    store = config_store.ConfigStore(context.deployment.platform.table, clock.SystemClock())
    return store.read().document().models[0].weights_version


def versions(context) -> set[str]:
    """Return the weights versions that engines have loaded."""
    return {item.weights[MODEL] for item in context.deployment.engines.values()}


@then('model "{model}" has version "{version}" in force everywhere')
def step_in_force(context, model, version):
    assert context.status == 0, context.output

    def is_done() -> bool:
        routers = context.deployment.routers
        known = {r.status.snapshot.models[model].weights_version for r in routers}
        return versions(context) == {version} and known == {version}

    streams_steps.wait_for(is_done, 60.0)


@then("at most {count:d} engines loaded weights at once")
def step_at_once(context, count):
    most = max(item.loader.peak_concurrent_loads for item in context.deployment.engines.values())
    assert 1 <= most <= count, most


@when('team "{team}" streams chats until version "{version}" is in force')
def step_stream_until(context, team, version):
    context.texts = []
    client = support.openai_client(context.deployment, team)
    with gevent.Timeout(60.0, TimeoutError("not done in time")):
        while in_force(context) != version or len(context.texts) < 20:
            context.texts.append(support.stream_text(client, MODEL, "short", "question")[0])
            gevent.sleep(0.15)


@then("all of the responses were complete")
def step_all_complete(context):
    wrong = [text for text in context.texts if not standin_response.is_complete_response(text, 16)]
    assert not wrong, wrong


@given("engines take {seconds:g} seconds to load weights")
def step_slow_load(context, seconds):
    for item in context.deployment.engines.values():
        object.__setattr__(item.settings, "load_seconds", seconds)


@when('the first engine has version "{version}"')
def step_first(context, version):
    streams_steps.wait_for(lambda: version in versions(context))


@then('every engine reverts to version "{version}"')
def step_reverted(context, version):
    assert context.status == 0, context.output
    streams_steps.wait_for(lambda: versions(context) == {version}, 60.0)
    gevent.sleep(3.0)
    assert versions(context) == {version}


@given('engine "{name}" fails to load weights')
def step_failing(context, name):
    context.deployment.engines[name].faults.fails_to_load = True


@then('the rollout of "{model}" is paused by "{who}"')
def step_paused(context, model, who):
    store = config_store.ConfigStore(context.deployment.platform.table, clock.SystemClock())
    streams_steps.wait_for(lambda: store.read().operator == who, 60.0)
    found = store.read().document().models[0]
    assert found.name == model and found.is_rollout_paused


@then('model "{model}" still has version "{version}" in force')
def step_still(context, model, version):
    assert in_force(context) == version


@when('engine "{name}" gets orders with fencing tokens {first:d} then {second:d}')
def step_orders(context, name, first, second):
    owner = context.deployment.routers[0]
    target = owner.engines(owner.status.snapshot.endpoints[name])
    target.order(engine.Order(MODEL, "2026-11", first))
    context.error = None
    try:
        target.order(engine.Order(MODEL, "2026-10", second))
    except errors.EndpointError as error:
        context.error = error


@then("the second order is refused as not run")
def step_order_refused(context):
    assert isinstance(context.error, errors.EndpointRefusedError), context.error
    assert context.deployment.engines["worker-1"].weights[MODEL] == "2026-11"


@when('every engine but "{name}" has other weights and a chat is sent')
def step_other_weights(context, name):
    for item in context.deployment.engines.values():
        if item.settings.name != name:
            item.weights[MODEL] = "2026-10"
    client = support.openai_client(context.deployment, "caseworkers")
    context.texts = [support.stream_text(client, MODEL, "short", "question")[0]]


@then('only "{name}" ran it')
def step_only(context, name):
    assert {item.endpoint for item in context.deployment.executions()} == {name}


def has_adapter(item, name: str, version: str) -> bool:
    """Return whether an engine has loaded a version of an adapter."""
    return item.loader.adapters.get(engine.adapter_key(MODEL, name)) == version


@then('every engine has adapter "{name}" in version "{version}"')
def step_adapter(context, name, version):
    assert context.status == 0, context.output
    engines = context.deployment.engines.values()
    streams_steps.wait_for(
        lambda: all(has_adapter(item, name, version) for item in engines), ADAPTER_SECONDS
    )


@then('every engine but "{other}" has adapter "{name}" in version "{version}"')
def step_adapter_but(context, other, name, version):
    engines = [e for e in context.deployment.engines.values() if e.settings.name != other]
    streams_steps.wait_for(
        lambda: all(has_adapter(item, name, version) for item in engines), ADAPTER_SECONDS
    )


@given('engine "{name}" can load weights again')
def step_loads_again(context, name):
    context.deployment.engines[name].faults.fails_to_load = False


def ask(context, team: str, model: str) -> None:
    """Repeat a request for a model until a router knows where the model is loaded."""
    address = support.router_address(context.deployment)
    body = callers_steps.chat(model=model, max_tokens=4)
    key = context.deployment.key(team)

    def is_answered() -> bool:
        return support.send(address, "POST", callers_steps.CHAT, key, body).status == 200

    streams_steps.wait_for(is_answered)


@then('team "{team}" gets a response from "{model}"')
def step_response(context, team, model):
    ask(context, team, model)


@then('team "{team}" gets {count:d} responses from "{model}", none of "{name}"')
def step_responses(context, team, count, model, name):
    ask(context, team, model)
    before = len(context.deployment.engines[name].executions)
    for _ in range(count):
        ask(context, team, model)
    assert len(context.deployment.engines[name].executions) == before


@then('engine "{name}" has the role "{role}"')
def step_role(context, name, role):
    assert context.status == 0, context.output
    target = context.deployment.engines[name]
    streams_steps.wait_for(lambda: target.loader.role == role, ADAPTER_SECONDS)


@given('an endpoint with weights "{weights}", adapters "{adapters}" and role "{role}"')
def step_endpoint(context, weights, adapters, role):
    context.endpoint = config.Endpoint("e", "dc", "127.0.0.1:1", models=(MODEL,), role="prefill")
    state = fleet.EndpointState(context.endpoint)
    state.weights = {} if weights == "unknown" else {MODEL: weights}
    name, _, version = adapters.partition("@")
    if adapters != "unknown":
        state.adapters = {engine.adapter_key(MODEL, name): version}
    state.role = "" if role == "unknown" else role
    context.state = state


@when(
    'version "{version}", adapter "{name}" in version "{adapter}" and role "{role}" are configured'
)
def step_configured(context, version, name, adapter, role):
    assert context.endpoint.role == role
    model = config.Model(MODEL, version, (config.Adapter(name, adapter),))
    context.order = orders.next_order(model, context.endpoint, context.state)


@then('the next order is "{kind}"')
def step_next_order(context, kind):
    order = context.order
    found = "nothing"
    if order is not None:
        found = "weights" if order.weights_version else "adapter" if order.adapter else "role"
    assert found == kind, order
