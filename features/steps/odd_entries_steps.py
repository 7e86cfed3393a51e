"""Steps of odd_entries.feature."""

import io
import math
import types

import cbor2
from behave import given, then, when

from bronzemux import clock, config, errors, logs, operator_api, settings, web
from bronzemux.gateway import (
    cache_index,
    cluster_state,
    endpoints,
    gossip,
    model,
    peering,
    placement,
)
from bronzemux.platform import documents, standin_store, store
from features import environment, gateway_fleet, odd_entries

PLAIN_SERVICE, ENGINE_SERVICE, MODEL = "app", "lm", "m1"


def make_state(context) -> cluster_state.ClusterState:
    """Return an empty cluster state."""
    return cluster_state.ClusterState(
        documents.PlatformDocuments(), context.clock, endpoints.EndpointTable()
    )


def put_sound(context, identity: str) -> None:
    """Write the sound entry of an endpoint to the store."""
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    found = odd_entries.sound_entry(identity, models=models)
    context.store.put(documents.ENDPOINT_TABLE, identity, found)


def follow(context) -> None:
    """Apply the changes in the store since the last call, as the feed does."""
    name = documents.ENDPOINT_TABLE
    version = context.router.replicas[name].version
    batch = context.source.read(name) if version < 0 else context.source.changes(name, version)
    context.router.apply_rows(name, batch, "store")


@given("a router that follows the endpoints of a store, with a peer that gets its rows")
def step_router(context):
    context.clock = clock.FakeClock()
    context.clock.advance(100.0)
    context.store = standin_store.StandInStore()
    context.store.start()
    context.cleanups.append(context.store.stop)
    context.source = store.StoreRows(context.store.address, 0.1, store.StoreEra())
    context.router, context.peer = make_state(context), make_state(context)

    def send_rows(change: cluster_state.AppliedRows) -> None:
        message = gossip.decode(
            gossip.encode(gossip.RowsChange(change.table, change.after, change.batch))
        )
        context.peer.apply_rows(message.table, message.batch, "peer")

    context.router.on_rows.append(send_rows)
    follow(context)
    context.log = io.StringIO()
    destination = logs.start("info", context.log)
    context.cleanups.append(lambda: logs.stop(destination))


def fail_once(function, is_odd):
    """Return a function that raises an untyped error at its first call for the odd entry."""
    calls = []

    def wrapper(*arguments):
        if not calls and is_odd(*arguments):
            calls.append(arguments)
            raise ArithmeticError("an error that no decoder foresees")
        return function(*arguments)

    return wrapper


@given("an unexpected error occurs at the router when the odd entry is {what}")
def step_unexpected_error(context, what):
    router = context.router
    if what == "decoded":
        decode = router.documents.decode_endpoint
        router.documents.decode_endpoint = fail_once(decode, lambda key, data: key == "lm-odd")
    elif what == "put in use":
        put = router.endpoints.put
        router.endpoints.put = fail_once(put, lambda found, now: found.id == "lm-odd")
    elif what == "sent to peers":
        router.on_rows[:] = [fail_once(router.on_rows[0], lambda change: True)]
    else:
        router.on_change.append(fail_once(lambda: None, lambda: True))


@when("an endpoint's entry {what} is written between two sound ones")
def step_odd_entry(context, what):
    context.odd_key, value = odd_entries.ODD_ENTRIES[what]
    put_sound(context, "lm-1")
    context.store.put(documents.ENDPOINT_TABLE, context.odd_key, value)
    put_sound(context, "app-1")
    follow(context)


@then("the router and its peer use the two sound endpoints only")
def step_sound_only(context):
    for found in (context.router, context.peer):
        assert set(found.endpoints.states) == {"lm-1", "app-1"}, set(found.endpoints.states)


@then("the router uses the endpoints {names}")
def step_uses(context, names):
    assert set(context.router.endpoints.states) == set(names.split(","))


@then("one log line tells the error and names a remedy")
def step_unexpected_error_line(context):
    lines = [line for line in context.log.getvalue().splitlines() if "level=error" in line]
    assert len(lines) == 1, lines
    assert "kind=ArithmeticError" in lines[0] and "remedy=" in lines[0], lines


@then("the router can choose an endpoint for requests of both kinds")
def step_choose(context):
    now = context.clock.monotonic()
    view = placement.GatewayView("a", cache_index.CacheIndex())
    parts = (model.PromptPart("a", 50), model.PromptPart("b", 50))
    requirements = placement.Requirements(
        model.Prompt(MODEL, 100, 10, parts), "", 1.0, 0, 1, 10, needs_backup=True
    )
    table = context.router.endpoints
    plain = placement.choose_plain(table.usable(PLAIN_SERVICE, now), view, now)
    engine = placement.choose_engine(table.usable(ENGINE_SERVICE, now), requirements, view, now)
    assert (plain.state.endpoint.id, engine.state.endpoint.id) == ("app-1", "lm-1")


@then("one log line rejects the odd entry and names a remedy")
def step_log_line(context):
    lines = [
        line
        for line in context.log.getvalue().splitlines()
        if "event=entry_rejected" in line and "lm-" in line
    ]
    # One of the router and one of its peer, which does not get a row whose key is malformed.
    assert len(lines) == (2 if context.odd_key.isascii() else 1), lines
    for line in lines:
        assert "; " in line and len(line) < 1000, line


@then("the router still follows the table")
def step_still_follows(context):
    put_sound(context, "lm-2")
    follow(context)
    for found in (context.router, context.peer):
        assert "lm-2" in found.endpoints.states, set(found.endpoints.states)


HUGE = 10**400
# Path in the values of a status message, and the odd value there.
ODD_STATUS_VALUES = {
    "a load of -1 requests": ((1, 5, 0, 1), -1),
    "a load of 400 digits": ((1, 5, 0, 1), HUGE),
    "prompt tokens of 400 digits": ((1, 5, 0, 2), HUGE),
    "failures of 400 digits": ((1, 5, 0, 3), HUGE),
    "a prefix of 400 digits": ((1, 7, 0, 1), HUGE),
    "a prefix ready in 400 digits": ((1, 7, 0, 3), HUGE),
    "a table version of 400 digits": ((1, 2, "servers"), HUGE),
    "a weights version of 400 digits": ((1, 6, 0, 2), HUGE),
    "a target requested 400 digits ago": ((1, 10, 0, 2), HUGE),
    "an epoch of 400 digits": ((1, 11, 0, 1), HUGE),
    "a lease version of 400 digits": ((1, 9), HUGE),
    "a start of 400 digits": ((1, 0, 1), HUGE),
    "a CPU capacity that is no number": ((1, 0, 6), math.nan),
    "an infinite CPU capacity": ((1, 0, 6), math.inf),
    "a CPU capacity in a text": ((1, 0, 6), "nan"),
    "a peer address without a port": ((1, 0, 2), "b"),
    "a kind of 5000 digits": ((0,), 10**5000),
    "a scope of 5000 digits": ((1, 1), 10**5000),
    "nested lists in place of its loads": ((1, 5), [[[[[]]]]]),
}


def status_values(router: gossip.Router) -> list:
    """Return the values of a status message with an item in each list, as CBOR encodes them."""
    incarnation = f"{gateway_fleet.ENDPOINT}/1000"
    status = gossip.Status(
        router,
        "own",
        {"op": 1, "servers": 2},
        loads=(gossip.Load(gateway_fleet.ENDPOINT, 3, 120, 250, 9000),),
        weights=(gossip.WeightsUpdate(incarnation, MODEL, 1, False),),
        prefixes=(gossip.PrefixUpdate(b"12345678", 50, incarnation, 250),),
        weights_targets=((MODEL, 1, 2500),),
        cache_store_epochs=(("10.0.0.1:1", 77),),
    )
    return cbor2.loads(gossip.encode(status))


def replace(values, path: tuple, value) -> None:
    """Replace the value at a path of nested lists and dictionaries."""
    for key in path[:-1]:
        values = values[key]
    values[path[-1]] = value


@given("two routers that know an endpoint, and the log of the first")
def step_two_routers(context):
    context.fleet = gateway_fleet.Fleet({"a1": 1.0, "b1": 1.0})
    context.fleet.store.put(1)
    context.fleet.store.put_entry()
    context.fleet.run(2.0)
    context.clock = context.fleet.clock
    context.router = context.fleet.gateways["a1"].cluster_state
    context.log = io.StringIO()
    destination = logs.start("info", context.log)
    context.cleanups.append(lambda: logs.stop(destination))


@when("the first receives a status of the second with {what}")
def step_odd_status(context, what):
    values = status_values(context.fleet.gateways["b1"].routers.advance_sequence())
    replace(values, *ODD_STATUS_VALUES[what])
    context.fleet.gateways["a1"].peering.handle(peering.Frame(cbor2.dumps(values)))


@then("it rejects the message and names a remedy")
def step_message_rejected(context):
    lines = [line for line in context.log.getvalue().splitlines() if "peer_message" in line]
    assert len(lines) == 1 and "event=peer_message_rejected" in lines[0], lines
    assert "run the same version on all VMs" in lines[0] and len(lines[0]) < 1000, lines


@then("both routers still exchange messages")
def step_exchange(context):
    context.fleet.run(5.0)
    assert context.fleet.alive_view("a1") == context.fleet.alive_view("b1") == {"a1", "b1"}
    context.fleet.store.put(2)
    context.fleet.run(2.0)
    assert set(context.fleet.configuration_versions().values()) == {2}


@then("the first can choose an endpoint")
def step_first_chooses(context):
    now = context.clock.monotonic()
    states = context.router.endpoints.usable(ENGINE_SERVICE, now)
    prompt = model.Prompt(MODEL, 100, 10, (model.PromptPart("a", 50), model.PromptPart("b", 50)))
    requirements = placement.Requirements(prompt, "", 1.0, 0, 1, 10, max_memory_tokens=1000)
    view = placement.GatewayView("a", cache_index.CacheIndex())
    assert placement.choose_engine(states, requirements, view, now) is not None


@given("an unexpected error occurs at the first for each status with suspects")
def step_unexpected_message_error(context):
    def fail(item, audiences=()) -> None:
        raise ArithmeticError("an error that no decoder foresees")

    context.fleet.gateways["a1"].peering.suspects.add = fail


@when("the first receives {count:d} statuses with a suspect")
def step_statuses(context, count):
    for _ in range(count):
        status = gossip.Status(
            context.fleet.gateways["b1"].routers.advance_sequence(), "own", {}, suspects=("x/1",)
        )
        context.fleet.gateways["a1"].peering.handle(peering.Frame(gossip.encode(status)))


@when("the address of an endpoint holds a superscript digit")
def step_config_address(context):
    text = (environment.EXAMPLES / "centre.toml").read_text(encoding="utf-8")
    context.action = lambda: config.loads(text.replace("127.0.0.1:7101", "127.0.0.1:7\u00b2"))


@when("the address in a flag holds a superscript digit")
def step_flag_address(context):
    def check() -> None:
        if not settings.is_address_or_empty("127.0.0.1:7\u00b2"):
            raise errors.SettingError("the address is invalid")

    context.action = check


@when("the address of the table service holds a superscript digit")
def step_table_address(context):
    context.action = lambda: operator_api.open_config_access("", "", "127.0.0.1:7\u00b2")


@when("a Content-Length holds a superscript digit")
def step_content_length(context):
    limits = types.SimpleNamespace(max_body_bytes=100)
    components = types.SimpleNamespace(clock=clock.FakeClock(), settings=limits)
    environ = {"REQUEST_METHOD": "POST", "PATH_INFO": "/", "CONTENT_LENGTH": "7\u00b2"}
    context.action = web.Call(components, environ, None).body


@then("it is rejected with a typed error")
def step_typed_error(context):
    try:
        context.action()
    except (errors.BronzemuxError, errors.ConfigError):
        return
    raise AssertionError("the number was taken")
