"""Steps for the replicated state and the membership of a gateway."""

import json
import random

from behave import given, then, when

from bronzemux import clock, errors
from bronzemux.gateway import (
    budget,
    cluster_state,
    endpoints,
    gossip,
    routers,
    rows,
    settings,
)
from bronzemux.platform import boot, documents
from features import gateway_support
from features.steps import gateway_platform_steps


def make_cluster_state(context) -> cluster_state.ClusterState:
    """Return an empty cluster state with a fake clock."""
    context.clock = clock.FakeClock()
    context.clock.advance(100.0)
    context.endpoint_table = endpoints.EndpointTable()
    found = cluster_state.ClusterState(
        documents.PlatformDocuments(), context.clock, context.endpoint_table
    )
    context.cluster_state = found
    return found


def row(key: str, version: int, document) -> rows.Row:
    """Return a row that holds a JSON document, or the given bytes unchanged."""
    value = document if isinstance(document, bytes) else json.dumps(document).encode()
    return rows.Row(key, version, value)


def configuration_row(version: int, config_version: int) -> rows.Row:
    """Return a row that holds a configuration."""
    return row("config", version, gateway_support.configuration(config_version))


@given("the operator's table at version {version:d} with configuration {config:d}")
def step_table(context, version, config):
    found = make_cluster_state(context)
    batch = rows.Batch((configuration_row(version, config),), version, is_snapshot=True)
    found.apply_rows("op", batch, "store")


@when("{source} delivers the table at version {version:d} with configuration {config:d}")
def step_delivers(context, source, version, config):
    batch = rows.Batch(
        (configuration_row(version, config),), version, is_snapshot=source != "a feed"
    )
    context.cluster_state.apply_rows("op", batch, source)


@when("a feed delivers bytes that are not a configuration at version {version:d}")
def step_malformed(context, version):
    batch = rows.Batch((row("config", version, b"\xff{"),), version, is_snapshot=False)
    context.cluster_state.apply_rows("op", batch, "store")


@then("configuration {version:d} is in force")
def step_in_force(context, version):
    assert context.cluster_state.configuration.version == version


def entry(identity: str, **changes) -> dict:
    """Return an entry of an endpoint."""
    return {
        "service": "lm" if identity.startswith("lm") else "app",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "models": [],
        "sequence": 1,
        "born": 1000,
    } | changes


@given('the endpoint "{name}" is known')
def step_known(context, name):
    found = make_cluster_state(context)
    context.name = name
    found.record_store_contact("servers", True)
    found.apply_rows("servers", rows.Batch((row(name, 1, entry(name)),), 1, True), "store")


@given("the followed store {state}")
def step_store(context, state):
    if state != "answers":
        context.cluster_state.record_store_contact("servers", False)
        context.clock.advance(5.0)
    if state == "has just recovered":
        context.cluster_state.record_store_contact("servers", True)
        context.clock.advance(0.1)


@when("its entry is removed")
def step_removed(context):
    gone = rows.Row(context.name, 2, is_deleted=True)
    context.cluster_state.apply_rows("servers", rows.Batch((gone,), 2, False), "store")


@when("its entry appears again after {seconds:g} seconds")
def step_appears(context, seconds):
    context.clock.advance(seconds)
    found = row(context.name, 3, entry(context.name))
    context.cluster_state.apply_rows("servers", rows.Batch((found,), 3, False), "store")


@then("it is {now}, and {later} {seconds:g} seconds later")
def step_kept(context, now, later, seconds):
    assert (context.name in context.endpoint_table.states) == (now == "kept")
    context.clock.advance(seconds)
    context.cluster_state.expire()
    assert (context.name in context.endpoint_table.states) == (later == "kept")


@given('the endpoint "{name}" is known with weights {version:d} and {count:d} requests in flight')
def step_loaded(context, name, version, count):
    found = make_cluster_state(context)
    context.name = name
    models = [{"name": "m1", "version": version, "adapters": []}]
    found.apply_rows(
        "servers", rows.Batch((row(name, 1, entry(name, models=models)),), 1, True), "s"
    )
    context.state = context.endpoint_table.states[name]
    context.state.in_flight = count


@when("it registers with a later start and weights {version:d}")
def step_restarts(context, version):
    models = [{"name": "m1", "version": version, "adapters": []}]
    found = row(context.name, 2, entry(context.name, models=models, born=2000))
    context.cluster_state.apply_rows("servers", rows.Batch((found,), 2, False), "store")


@then("it has weights {version:d}, no requests in flight and another incarnation")
def step_fresh(context, version):
    state = context.endpoint_table.states[context.name]
    assert state is not context.state and context.state.is_gone
    assert (state.weights, state.in_flight) == ({"m1": version}, 0)
    assert state.endpoint.incarnation != context.state.endpoint.incarnation


def router(name: str, **changes) -> gossip.Router:
    """Return the state of a router that accepts callers."""
    values = {
        "name": name,
        "boot": 1,
        "peer_address": f"10.0.0.{ord(name)}:1",
        "ingress_address": name,
        "data_centre": "x",
        "is_ready": True,
    }
    return gossip.Router(**(values | changes))


@given('routers "{first}" and "{second}" from which "{own}" has received messages')
def step_routers(context, first, second, own):
    context.now = 10.0
    context.routers = routers.RouterTable(router(own))
    for name in (first, second):
        context.routers.record_status(router(name, sequence=5), context.now)


@when('"{silent}" stops sending and "{other}" exchanges rosters with "{own}", {how}')
def step_stops_sending(context, silent, other, own, how):
    tables = {own: context.routers, other: routers.RouterTable(router(other))}
    tables[other].record_status(router(silent, sequence=5), context.now)
    for step in range(1, 20):
        context.now += routers.STATUS_SECONDS
        tables[own].record_status(router(other, sequence=5 + step), context.now)
        tables[other].record_status(router(own, sequence=5 + step), context.now)
        if how.startswith('while "b" still gets messages'):
            tables[other].record_status(router(silent, sequence=5 + step), context.now)
        rosters = {n: t.roster(routers.Audience.FELLOW, context.now) for n, t in tables.items()}
        heard = routers.ListKind.HEARD
        tables[own].apply_roster(other, rosters[other], heard, context.now)
        tables[other].apply_roster(own, rosters[own], heard, context.now)


@when("all stop sending")
def step_all_silent(context):
    context.now += 2 * routers.FAILURE_TIMEOUT_SECONDS


@when('"{name}" announces that it is shutting down')
def step_stops(context, name):
    context.routers.record_status(router(name, sequence=6, is_ready=False), context.now)


@then('"{own}" advertises the routers {names}')
def step_advertised(context, own, names):
    found = context.routers.addresses("x", context.now)
    assert found == names.split(","), found


@given("version {version:d} of the weights has been known here for {seconds:g} second")
def step_version(context, version, seconds):
    make_cluster_state(context).record_target("m1", version, seconds)


@when("a peer reports that it was requested {seconds:g} seconds ago")
def step_peer_reports(context, seconds):
    context.cluster_state.record_target("m1", 2, seconds)


@when("version {version:d} is requested")
def step_next_version(context, version):
    context.cluster_state.record_target("m1", version, 0.0)


@then(
    "version {old:d} was requested more than {seconds:g} seconds ago, and version {new:d} was not"
)
def step_requested_before(context, old, seconds, new):
    target = context.cluster_state.target("m1")
    assert target.version == new
    assert target.newest_before(context.clock.monotonic() - seconds) == old


@when('the message "{text}" is decoded')
@when('the message "" is decoded')
def step_decode(context, text=""):
    context.error = None
    try:
        gossip.decode(bytes.fromhex(text[: len(text) // 2 * 2]))
    except gossip.GossipError as error:
        context.error = error


@then("it is rejected with a remedy")
def step_rejected(context):
    assert context.error is not None and context.error.remedy, context.error


@then("a status with every field set decodes to an equal status")
def step_status(context):
    status = gossip.Status(
        router("b", sequence=7),
        "all",
        {"op": 5, "servers": 9},
        True,
        12345,
        (gossip.Load("lm-1", 3, 120, 250, 9000),),
        (gossip.WeightsUpdate("lm-1/1", "m1", 4, True),),
        (gossip.PrefixUpdate(b"12345678", 50, "lm-1/1", 250),),
        (gossip.CrashUpdate("lm-1/1", ("aa", "bb")),),
        17,
        (("m1", 4, 2500),),
        (("10.0.0.1:1", 77),),
        ("lm-2/5",),
    )
    assert gossip.decode(gossip.encode(status)) == status


@then("rosters and requests for rosters and rows decode to equal messages")
def step_rosters(context):
    messages = [
        gossip.RosterRequest(router("b")),
        gossip.RosterReply("b", "view", (router("c"), router("d", is_ready=False))),
        gossip.RowsRequest("op", "10.0.0.1:1"),
    ]
    for message in messages:
        assert gossip.decode(gossip.encode(message)) == message


@then("rows with arbitrary bytes decode to equal rows")
def step_rows(context):
    batch = rows.Batch((rows.Row("k", 3, b"\xff\x00"), rows.Row("l", 4, b"", True)), 9, True)
    for message in (gossip.RowsReply("op", batch), gossip.RowsChange("op", 4, batch)):
        assert gossip.decode(gossip.encode(message)) == message


@given(
    "{count:d} routers that share a budget of {ratio:g} retries per request plus {slack:d} in "
    "10 seconds"
)
def step_budgets(context, count, ratio, slack):
    bounds = settings.Bounds(retry_ratio=ratio, retry_slack=slack)
    context.budgets = [budget.ServiceRetryBudget(bounds) for _ in range(count)]


@when("each of them attempts {asked:d} retries after {requests:d} requests")
def step_retries(context, asked, requests):
    count = len(context.budgets)
    context.allowed = 0.2 * requests * count + 52
    context.granted = 0
    for router_budget in context.budgets:
        for _ in range(requests):
            router_budget.record_request("lm", 1.0)
        context.granted += sum(router_budget.try_retry("lm", count, 1.5) for _ in range(asked))


@then("together they grant at most what the budget allows, and at least {share:g} of it")
def step_granted(context, share):
    assert context.granted <= context.allowed, context.granted
    assert context.granted >= share * context.allowed, context.granted


def mutate(data: bytes, source: random.Random) -> bytes:
    """Return a copy of some bytes with up to four changed, and sometimes truncated."""
    changed = bytearray(data)
    for _ in range(source.randint(1, 4)):
        index = source.randrange(len(changed))
        changed[index] = source.randrange(256)
    return bytes(changed[: source.randint(1, len(changed))]) if source.random() < 0.2 else changed


@then("{count:d} messages with changed bytes are decoded or rejected")
def step_fuzz_messages(context, count):
    source = random.Random(20261204)
    batch = rows.Batch((rows.Row("k", 3, b"v"),), 9, True)
    status = gossip.Status(
        router("b", sequence=7), "own", {"op": 5}, loads=(gossip.Load("lm-1", 3, 1),)
    )
    messages = [
        status,
        gossip.RowsReply("op", batch),
        gossip.RowsChange("op", 4, batch),
        gossip.RosterRequest(router("b")),
        gossip.RosterReply("b", "view", (router("c"),)),
    ]
    samples = [gossip.encode(message) for message in messages]
    for number in range(count):
        try:
            gossip.decode(bytes(mutate(samples[number % len(samples)], source)))
        except gossip.GossipError:
            continue


def replace_value(document, source: random.Random):
    """Return a document with one value replaced by an unexpected one."""
    unexpected = [None, True, -1, 1e300, "", "x" * 300, [], {}, [[]], {"a": None}]
    if isinstance(document, dict) and document and source.random() < 0.8:
        key = source.choice(list(document))
        return document | {key: replace_value(document[key], source)}
    if isinstance(document, list) and document and source.random() < 0.8:
        index = source.randrange(len(document))
        changed = replace_value(document[index], source)
        return [*document[:index], changed, *document[index + 1 :]]
    return source.choice(unexpected)


@then("{count:d} entries, configurations and settings with changed values are decoded or rejected")
def step_fuzz_documents(context, count):
    source = random.Random(20261204)
    decoder = documents.PlatformDocuments()
    samples = [
        (lambda d: decoder.decode_endpoint("e", json.dumps(d).encode()), entry("e")),
        (
            lambda d: decoder.decode_operator("config", json.dumps(d).encode()),
            gateway_support.configuration(),
        ),
        (
            lambda d: decoder.decode_operator("version/m", json.dumps(d).encode()),
            {"model": "m", "version": 2},
        ),
        (boot.decode, gateway_platform_steps.SETTINGS),
    ]
    for number in range(count):
        decode, sample = samples[number % len(samples)]
        changed = replace_value(sample, source)
        try:
            decode(changed if isinstance(changed, dict) else {})
        except (errors.BronzemuxError, ValueError):
            continue


@when('"{name}" restarts with an earlier start time')
def step_earlier(context, name):
    for step in range(1, 12):
        context.now += routers.STATUS_SECONDS
        context.routers.record_status(router("b", sequence=5 + step), context.now)
        context.routers.record_status(router(name, boot=0, sequence=step), context.now)
