"""Steps for a gateway on the platform."""

import json
import os
import time
import urllib.error
import urllib.request

import gevent
from behave import given, then, when

from bronzemux import clock, errors, lease, logs
from bronzemux.gateway import admission, channels
from bronzemux.platform import boot, fields, standin_store, store
from features import gateway_support

LATE_ROUTE = gateway_support.route("late", "safe", "app")
SETTINGS = {
    "node_name": "front-a-1",
    "zone": "a",
    "zones": {"a": "r", "b": "r"},
    "listen": {
        "front": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "control": "10.0.0.1:3",
        "directory": "10.0.0.1:4",
    },
    "port_range": [7340, 7355],
    "seeds": ["10.0.0.1:3"],
    "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 150, "max_fds": 4100},
    "bounds": {"grace_s": 8, "config_ms": 2000},
    "platform": {"address": "10.200.1.7:8784"},
}


@given("a platform without a configuration")
def step_empty(context):
    context.site.stop()
    context.site = gateway_support.Site()
    context.cleanups.append(context.site.stop)
    context.site.add_gateway(is_waited_for=False)


@given('the store has the fault "{fault}" for the first gateway')
def step_partial_fault(context, fault):
    made = context.site.gateways[0]
    second = context.site.gateways[1]
    gateway_support.wait_for(lambda: len(second.routers.known) == 1)
    gateway_support.wait_for(lambda: len(made.routers.known) == 1)
    faulty = standin_store.StandInStore()
    faulty.start()
    context.faulty = faulty
    faulty.fault = standin_store.Fault(fault)
    context.cleanups.append(faulty.stop)
    host, _, port = faulty.address.rpartition(":")
    for source in made.platform.feeds.values():
        for client in (source.read_client, source.feed_client):
            timeouts = client.settings.timeouts
            client.settings = type(client.settings)(host, int(port), timeouts)
            client.idle.clear()
    # What is under way at the true store is cut, as the store does when it turns a VM away.
    for child in list(made.supervisor.children):
        if child.name.startswith("feed-"):
            made.supervisor.remove(child.name)
            made.supervisor.add(child)


@when('the operator writes configuration {version:d} that adds the route "{prefix}"')
@when(
    'the store forgets its history while the operator writes configuration {version:d} with "{prefix}"'
)
def step_write(context, version, prefix):
    routes = [*gateway_support.configuration()["routes"], LATE_ROUTE]
    context.site.store.put("op", "config", gateway_support.configuration(version, routes))
    context.site.store.forget_history()


@when('the operator writes configuration {version:d} without the team "{name}"')
def step_revoke(context, version, name):
    document = gateway_support.configuration(version)
    document["tenants"] = [team for team in document["tenants"] if team["name"] != name]
    context.site.store.put("op", "config", document)


@then('the first gateway serves "{path}" within {seconds:g} seconds')
def step_serves(context, path, seconds):
    gateway_support.wait_for(lambda: context.site.send(path).status == 200, seconds)


@then('the second gateway serves "{path}" within {seconds:g} seconds')
def step_second_serves(context, path, seconds):
    gateway_support.wait_for(lambda: context.site.send(path, 1).status == 200, seconds)


@then("the first gateway answers {status:d} within {seconds:g} seconds")
def step_answers(context, status, seconds):
    gateway_support.wait_for(lambda: context.site.send("/filing/1").status == status, seconds)


@then("configuration {version:d} came from a peer")
def step_from_peer(context, version):
    made = context.site.gateways[0]
    assert made.knowledge.configuration.version == version
    assert ("op", "config") not in context.faulty.rows
    for source in made.platform.feeds.values():
        for client in (source.read_client, source.feed_client):
            assert f"{client.settings.host}:{client.settings.port}" == context.faulty.address


@given("the store is away")
def step_away(context):
    context.site.store.fault = standin_store.Fault.BUSY


@given('the store has the fault "{fault}"')
def step_store_fault(context, fault):
    context.site.store.fault = standin_store.Fault(fault)


@when("another gateway starts")
def step_starts(context):
    context.site.add_gateway(is_waited_for=False)


@then("the second gateway is ready within {seconds:g} seconds")
def step_ready(context, seconds):
    gateway_support.wait_for(context.site.gateways[1].is_ready, seconds)


def ask(address: str, path: str) -> tuple[int, bytes]:
    """Return status and body of a small page."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2.0) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


@when(
    "a request arrives, and the operator writes the first configuration {seconds:g} seconds later"
)
def step_first_configuration(context, seconds):
    sender = gevent.spawn(context.site.send, "/status/1")
    gevent.sleep(seconds)
    context.site.store.put("op", "config", gateway_support.configuration())
    context.site.add_worker("app-1", "app")
    context.replies = [sender.get(timeout=5.0)]


@then("the gateway is not ready")
@then("the first gateway is not ready")
def step_not_ready(context):
    made = context.site.gateways[0]
    assert ask(made.settings.ready_address, "/-/ready")[0] == 503


def named(context, position: int) -> set[str]:
    """Return the addresses that the directory of a gateway names."""
    address = context.site.gateways[position].settings.directory_address
    status, body = ask(address, "/-/resolve?name=x&region=r&zone=a")
    context.directory = json.loads(body) if status == 200 else {}
    return set(context.directory.get("addresses", []))


@then("the directory of each gateway names both routers")
def step_both(context):
    both = {made.settings.ingress_address for made in context.site.gateways}
    for position in range(2):
        gateway_support.wait_for(lambda position=position: named(context, position) == both)


@then("the directory answers within its lifetime of at most {seconds:g} seconds")
def step_ttl(context, seconds):
    assert 0 < context.directory["ttl_s"] <= seconds


@given("the endpoints take {seconds:g} second")
def step_slow(context, seconds):
    for worker in context.site.workers.values():
        worker.execution_seconds = seconds
    gateways = context.site.gateways
    gateway_support.wait_for(lambda: len(named(context, 1)) == len(gateways))


@when("a request is under way and the first gateway is stopped")
def step_stop(context):
    context.sender = gevent.spawn(context.site.send, "/filing/1")
    gateway_support.wait_for(lambda: context.site.gateways[0].ingress.in_flight == 1)
    context.stopper = gevent.spawn(context.site.gateways[0].stop)


@then("the request gets a whole answer")
def step_whole(context):
    reply = context.sender.get(timeout=5.0)
    assert (reply.status, reply.is_whole) == (200, True), reply
    assert reply.head.get("connection") == "close", reply.head


@then("the directory of the second gateway names only the second router within {seconds:g} second")
def step_only_second(context, seconds):
    only = {context.site.gateways[1].settings.ingress_address}
    gateway_support.wait_for(lambda: named(context, 1) == only, seconds)


@given("the first gateway has been stopping for {began:g} seconds of {whole:g}")
def step_stopping(context, began, whole):
    served = context.site.gateways[0].ingress.admission
    now = served.clock.monotonic()
    served.stop = admission.Stop(now - 0.2, now + whole - began)


@when("a request with {seconds:g} seconds to its deadline arrives")
@when("a request with {seconds:g} second to its deadline arrives")
def step_deadline(context, seconds):
    routes = [gateway_support.route("filing", "unsafe", "app", timeout_ms=30_000)]
    made = context.site.gateways[0]
    if made.knowledge.configuration.version == 1:
        context.site.store.put("op", "config", gateway_support.configuration(2, routes))
        gateway_support.wait_for(lambda: made.knowledge.configuration.version == 2)
    context.replies = [context.site.send("/filing/1", Deadline_Ms=str(int(seconds * 1000)))]


@when("the lease is taken")
def step_lease(context):
    context.own_table = store.StoreTable(context.site.store.address)
    context.own_table.client.settings = type(context.own_table.client.settings)(
        *context.site.store.server.address[:2],
        type(context.own_table.client.settings.timeouts)(connect=0.5, progress=0.3),
    )
    settings = lease.LeaseSettings(3.0, 0.5)
    context.lease = lease.Lease("test", "vm-1", settings, context.own_table, clock.BootClock())
    try:
        context.lease.maintain()
    except errors.PlatformError as error:
        context.error = error


@then("the lease is {state}, and {remark}")
def step_lease_state(context, state, remark):
    assert context.lease.is_held() == (state == "held")
    context.site.store.fault = standin_store.Fault.NONE
    row = context.site.store.rows.get((store.OWN_TABLE, "lease/test"))
    if remark.startswith("its token"):
        assert row.version == context.lease.token
    if remark.startswith("nothing"):
        assert row is None
    if remark.startswith("the row may"):
        gateway_support.wait_for(lambda: (store.OWN_TABLE, "lease/test") in context.site.store.rows)


@given('{count:d} kept connections to "{name}"')
def step_kept(context, count, name):
    context.pool = channels.ChannelPool(clock.SystemClock())
    address = context.site.workers[name].address
    opened = [context.pool.open(address) for _ in range(channels.MAX_IDLE_CHANNELS)]
    for channel in opened:
        context.pool.release(name, channel, None)
    context.incarnation = name


@when("connections are taken while others are pruned")
def step_prune(context):
    context.taken = []

    def take() -> None:
        for _ in range(channels.MAX_IDLE_CHANNELS // 2):
            context.taken.append(context.pool.acquire(context.incarnation))
            gevent.sleep(0)

    def prune() -> None:
        for _ in range(20):
            context.pool.prune()
            gevent.sleep(0)

    gevent.joinall([gevent.spawn(prune), gevent.spawn(take), gevent.spawn(prune)], timeout=5.0)


@then("no connection is both taken and kept")
def step_not_both(context):
    kept = {id(item.channel) for item in context.pool.idle.get(context.incarnation, [])}
    assert all(channel is not None for channel in context.taken)
    assert not kept & {id(channel) for channel in context.taken}
    assert len(kept) + len(context.taken) == channels.MAX_IDLE_CHANNELS


@when('the settings have "{field}" as {value}')
def step_settings(context, field, value):
    context.error, context.found = None, None
    try:
        context.found = boot.decode(SETTINGS | {field: json.loads(value)})
    except fields.DocumentError as error:
        context.error = error


@then('they are rejected with the field "{field}" and a remedy')
def step_settings_rejected(context, field):
    assert context.error is not None and field in str(context.error), context.error
    assert context.error.remedy


@then("they are accepted")
def step_settings_accepted(context):
    assert context.error is None
    assert context.found.bounds.stop_seconds == 8
    assert context.found.cpu_cores == 1.0


@when("{count:d} lines are logged to a pipe that nobody reads")
def step_log(context, count):
    reader, writer = os.pipe()
    context.cleanups.append(lambda: os.close(reader))
    stream = logs.BoundedStream(os.fdopen(writer, "w"))
    destination = logs.KeyValueDestination(stream)
    began_at = time.monotonic()
    message = {"timestamp": 1.0, "message_type": "request", "id": "x" * 100}
    for _ in range(count):
        destination(message)
    context.seconds = time.monotonic() - began_at
    context.stream = stream


@then("it took less than {seconds:g} seconds, and lines were counted as dropped")
def step_dropped(context, seconds):
    assert context.seconds < seconds
    assert context.stream.dropped > 0
    assert len(context.stream.waiting) <= logs.MAX_WAITING_CHARACTERS


@given("the store never answers the call that is made next")
def step_unanswered(context):
    store_, worker = context.site.store, context.site.workers["app-2"]
    before = store_.calls.get("/-/rows-feed", 0)
    store_.fault = standin_store.Fault.SILENT
    store_.put("servers", "app-2", worker.entry(sequence=2))
    gateway_support.wait_for(lambda: store_.calls.get("/-/rows-feed", 0) > before)
    gevent.sleep(0.05)
    store_.fault = standin_store.Fault.NONE


@when('the endpoint "{name}" reports "{state}" to the store')
def step_report(context, name, state):
    entry = context.site.workers[name].entry(state=state, sequence=2)
    context.site.store.put("servers", name, entry)


@then('the gateway knows within {seconds:g} seconds that "{name}" leaves')
def step_knows(context, seconds, name):
    states = context.site.gateways[0].endpoints.states
    gateway_support.wait_for(lambda: states[name].endpoint.is_draining, seconds)
