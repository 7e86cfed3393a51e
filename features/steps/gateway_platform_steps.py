"""Steps for a gateway on the platform, with a stand-in store and stand-in endpoints."""

import json
import os
import time
import urllib.error
import urllib.request

import gevent
from behave import given, then, when
from gevent import monkey

from bronzemux import clock, errors, lease, logs, store_version, table
from bronzemux.gateway import admission, channels, http1
from bronzemux.platform import boot, fields, standin_store, store
from features import gateway_support

# Blocks the event loop too, unlike `time.sleep`, which gevent replaces.
BLOCK = monkey.get_original("time", "sleep")
LEASE_KEY = "lease/test"
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
def step_without_configuration(context):
    context.site.stop()
    context.site = gateway_support.Site()
    context.cleanups.append(context.site.stop)
    context.site.add_gateway(is_ready_expected=False)


@given('the store has the fault "{fault}" for the first gateway')
def step_fault_for_first_gateway(context, fault):
    first_gateway = context.site.gateways[0]
    second_gateway = context.site.gateways[1]
    gateway_support.wait_for(lambda: len(second_gateway.routers.known) == 1)
    gateway_support.wait_for(lambda: len(first_gateway.routers.known) == 1)
    faulty = standin_store.StandInStore()
    faulty.start()
    context.faulty = faulty
    faulty.fault = standin_store.Fault(fault)
    context.cleanups.append(faulty.stop)
    host, _, port = faulty.address.rpartition(":")
    for source in first_gateway.platform.feeds.values():
        for client in (source.read_client, source.feed_client):
            timeouts = client.settings.timeouts
            client.settings = type(client.settings)(host, int(port), timeouts)
            client.idle_connections.clear()
    # Restarts the feeds, which aborts their calls in progress at the healthy store. A store that
    # rejects a VM aborts its calls as well.
    for child in list(first_gateway.supervisor.children):
        if child.name.startswith("feed-"):
            first_gateway.supervisor.remove(child.name)
            first_gateway.supervisor.add(child)


@when('the operator writes configuration {version:d} that adds the route "{prefix}"')
@when(
    'the store discards its history while the operator writes configuration {version:d} with "{prefix}"'
)
def step_write_configuration(context, version, prefix):
    routes = [*gateway_support.configuration()["routes"], LATE_ROUTE]
    context.site.store.put("op", "config", gateway_support.configuration(version, routes))
    context.site.store.forget_history()


@when('the operator writes configuration {version:d} without the team "{name}"')
def step_revoke_team(context, version, name):
    document = gateway_support.configuration(version)
    document["tenants"] = [team for team in document["tenants"] if team["name"] != name]
    context.site.store.put("op", "config", document)


@then('the first gateway serves "{path}" within {seconds:g} seconds')
def step_serves(context, path, seconds):
    gateway_support.wait_for(lambda: context.site.send(path).status == 200, seconds)


@then('the second gateway serves "{path}" within {seconds:g} seconds')
def step_second_serves(context, path, seconds):
    gateway_support.wait_for(lambda: context.site.send(path, 1).status == 200, seconds)


@then("the first gateway responds with status {status:d} within {seconds:g} seconds")
def step_responds(context, status, seconds):
    gateway_support.wait_for(lambda: context.site.send("/filing/1").status == status, seconds)


@then("configuration {version:d} was received from a peer")
def step_from_peer(context, version):
    first_gateway = context.site.gateways[0]
    assert first_gateway.cluster_state.configuration.version == version
    assert ("op", "config") not in context.faulty.rows
    for source in first_gateway.platform.feeds.values():
        for client in (source.read_client, source.feed_client):
            assert f"{client.settings.host}:{client.settings.port}" == context.faulty.address


@given("the store is unavailable")
def step_store_unavailable(context):
    context.site.store.fault = standin_store.Fault.BUSY


@given('the store has the fault "{fault}"')
def step_store_fault(context, fault):
    context.site.store.fault = standin_store.Fault(fault)


@when("another gateway starts")
def step_starts(context):
    context.site.add_gateway(is_ready_expected=False)


@then("the second gateway is ready within {seconds:g} seconds")
def step_ready(context, seconds):
    gateway_support.wait_for(context.site.gateways[1].is_ready, seconds)


def fetch_page(address: str, path: str) -> tuple[int, bytes]:
    """Return the status and body of a page of the readiness or directory server."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2.0) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


@when(
    "a request arrives, and the operator writes the first configuration {seconds:g} seconds later"
)
def step_first_configuration(context, seconds):
    request_greenlet = gevent.spawn(context.site.send, "/status/1")
    gevent.sleep(seconds)
    context.site.store.put("op", "config", gateway_support.configuration())
    context.site.add_worker("app-1", "app")
    context.replies = [request_greenlet.get(timeout=5.0)]


@then("the gateway is not ready")
@then("the first gateway is not ready")
def step_not_ready(context):
    first_gateway = context.site.gateways[0]
    assert fetch_page(first_gateway.settings.ready_address, "/-/ready")[0] == 503


def directory_addresses(context, index: int) -> set[str]:
    """Return the addresses that the directory of a gateway lists."""
    address = context.site.gateways[index].settings.directory_address
    status, body = fetch_page(address, "/-/resolve?name=x&region=r&zone=a")
    context.directory = json.loads(body) if status == 200 else {}
    return set(context.directory.get("addresses", []))


@then("the directory of each gateway lists both routers")
def step_lists_both(context):
    expected = {started.settings.ingress_address for started in context.site.gateways}
    for index in range(2):
        gateway_support.wait_for(
            lambda index=index: directory_addresses(context, index) == expected
        )


@then("the TTL of the directory's response is at most {seconds:g} seconds")
def step_directory_ttl(context, seconds):
    assert 0 < context.directory["ttl_s"] <= seconds


@given("the endpoints execute a request in {seconds:g} second")
def step_execution_time(context, seconds):
    for worker in context.site.workers.values():
        worker.execution_seconds = seconds
    gateways = context.site.gateways
    gateway_support.wait_for(lambda: len(directory_addresses(context, 1)) == len(gateways))


@when("the first gateway shuts down while a request is in progress")
def step_shut_down(context):
    context.request_greenlet = gevent.spawn(context.site.send, "/filing/1")
    gateway_support.wait_for(lambda: context.site.gateways[0].ingress.in_flight == 1)
    context.shutdown_greenlet = gevent.spawn(context.site.gateways[0].stop)


@then("the request gets a complete response")
def step_complete_response(context):
    reply = context.request_greenlet.get(timeout=5.0)
    assert (reply.status, reply.is_whole) == (200, True), reply
    assert reply.head.get("connection") == "close", reply.head


@then("the directory of the second gateway lists only the second router within {seconds:g} second")
def step_lists_only_second(context, seconds):
    expected = {context.site.gateways[1].settings.ingress_address}
    gateway_support.wait_for(lambda: directory_addresses(context, 1) == expected, seconds)


@given("the first gateway is {elapsed:g} seconds into a shutdown of {total:g} seconds")
def step_in_shutdown(context, elapsed, total):
    admission_control = context.site.gateways[0].ingress.admission
    now = admission_control.clock.monotonic()
    admission_control.shutdown = admission.Shutdown(now - 0.2, now + total - elapsed)


@when("a request with {seconds:g} seconds to its deadline arrives")
@when("a request with {seconds:g} second to its deadline arrives")
def step_deadline(context, seconds):
    routes = [gateway_support.route("filing", "unsafe", "app", timeout_ms=30_000)]
    first_gateway = context.site.gateways[0]
    if first_gateway.cluster_state.configuration.version == 1:
        context.site.store.put("op", "config", gateway_support.configuration(2, routes))
        gateway_support.wait_for(lambda: first_gateway.cluster_state.configuration.version == 2)
    context.replies = [context.site.send("/filing/1", Deadline_Ms=str(int(seconds * 1000)))]


@given("a lease was released in the store")
def step_released_lease(context):
    stand_in = context.site.store
    context.released = lease.encode(lease.LeaseRow(lease.RELEASED, stand_in.era))
    stand_in.put(store.OWN_TABLE, LEASE_KEY, context.released)


@when("a router tries to acquire a lease")
def step_lease(context):
    context.own_table = store.StoreTable(context.site.store.address, store.StoreEra())
    context.own_table.client.settings = type(context.own_table.client.settings)(
        *context.site.store.server.address[:2],
        type(context.own_table.client.settings.timeouts)(connect=0.5, progress=0.3),
    )
    settings = lease.LeaseSettings(3.0, 0.5)
    context.lease = lease.Lease("test", "vm-1", settings, context.own_table, clock.BootClock())
    try:
        context.lease.acquire_or_renew()
    except errors.PlatformError as error:
        context.error = error


@when("as many rows as one transaction may write are written, and then removed")
def step_write_most(context):
    service = store.StoreTable(context.site.store.address, store.StoreEra())
    context.own_table = service
    keys = [f"row-{number}" for number in range(service.max_writes)]
    version = service.transact([table.Write(key, table.ABSENT, b"1") for key in keys])
    assert len(service.scan("row-", len(keys))) == len(keys)
    service.transact([table.Write(key, version, None) for key in keys])


@then("the store has none of them")
def step_none_left(context):
    assert not context.own_table.scan("row-", 1)


@then("the lease is {state}, and {effect}")
def step_lease_state(context, state, effect):
    assert context.lease.is_held() == (state == "held")
    context.site.store.fault = standin_store.Fault.NONE
    rows = context.site.store.rows
    row = rows[(store.OWN_TABLE, LEASE_KEY)]
    if effect.startswith("its token"):
        assert store_version.combine(context.site.store.era, row.version) == context.lease.token
    if effect.startswith("nothing"):
        assert row.value == context.released
    if effect.startswith("the row may"):
        gateway_support.wait_for(
            lambda: rows[(store.OWN_TABLE, LEASE_KEY)].value != context.released
        )


@given('{count:d} idle connections to "{name}"')
def step_idle_connections(context, count, name):
    context.pool = channels.ChannelPool(clock.SystemClock())
    address = context.site.workers[name].address
    opened = [context.pool.open(address) for _ in range(channels.MAX_IDLE_CHANNELS)]
    for channel in opened:
        channel.send_until_response(b"GET /-/report HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
        head = channel.read_head()
        channel.read_body(http1.response_framing(head, "GET"), 1 << 20)
        context.pool.release(name, channel, None)
    assert len(context.pool.idle[name]) == len(opened)
    context.incarnation = name


@when("connections are acquired while others are pruned")
def step_acquire_while_pruning(context):
    context.acquired = []

    def acquire() -> None:
        for _ in range(channels.MAX_IDLE_CHANNELS // 2):
            context.acquired.append(context.pool.acquire(context.incarnation))
            gevent.sleep(0)

    def prune() -> None:
        for _ in range(20):
            context.pool.prune()
            gevent.sleep(0)

    gevent.joinall([gevent.spawn(prune), gevent.spawn(acquire), gevent.spawn(prune)], timeout=5.0)


@then("no connection is both acquired and idle")
def step_not_acquired_and_idle(context):
    idle = {id(item.channel) for item in context.pool.idle.get(context.incarnation, [])}
    assert all(channel is not None for channel in context.acquired)
    assert not idle & {id(channel) for channel in context.acquired}
    assert len(idle) + len(context.acquired) == channels.MAX_IDLE_CHANNELS


@when('the settings have "{field}" as {value}')
def step_settings(context, field, value):
    context.error, context.decoded_settings = None, None
    try:
        context.decoded_settings = boot.decode(SETTINGS | {field: json.loads(value)})
    except fields.DocumentError as error:
        context.error = error


@then('the settings are rejected with an error that names "{field}" and a remedy')
def step_settings_rejected(context, field):
    assert context.error is not None and field in str(context.error), context.error
    assert context.error.remedy


@then("the settings are accepted")
def step_settings_accepted(context):
    assert context.error is None
    assert context.decoded_settings.bounds.stop_seconds == 8
    assert context.decoded_settings.cpu_cores == 1.0


@when("{count:d} lines are logged to a pipe that nobody reads")
def step_log_to_unread_pipe(context, count):
    reader, writer = os.pipe()
    context.cleanups.append(lambda: os.close(reader))
    stream = logs.BoundedStream(os.fdopen(writer, "w"))
    destination = logs.KeyValueDestination(stream)
    started_at = time.monotonic()
    message = {"timestamp": 1.0, "message_type": "request", "id": "x" * 100}
    for _ in range(count):
        destination(message)
    context.seconds = time.monotonic() - started_at
    context.stream = stream


@then("logging takes less than {seconds:g} seconds and counts dropped lines")
def step_lines_dropped(context, seconds):
    assert context.seconds < seconds
    assert context.stream.dropped > 0
    assert len(context.stream.buffered) <= logs.MAX_BUFFERED_BYTES


@given("the store never answers the next long poll")
def step_unanswered_long_poll(context):
    stand_in_store, worker = context.site.store, context.site.workers["app-2"]
    before = stand_in_store.calls.get("/-/rows-feed", 0)
    stand_in_store.fault = standin_store.Fault.SILENT
    stand_in_store.put("servers", "app-2", worker.entry(sequence=2))
    gateway_support.wait_for(lambda: stand_in_store.calls.get("/-/rows-feed", 0) > before)
    gevent.sleep(0.05)
    stand_in_store.fault = standin_store.Fault.NONE


@when('the endpoint "{name}" registers the state "{state}" in the store')
def step_register_state(context, name, state):
    entry = context.site.workers[name].entry(state=state, sequence=2)
    context.site.store.put("servers", name, entry)


@then('the gateway detects within {seconds:g} seconds that "{name}" is draining')
def step_detects_draining(context, seconds, name):
    states = context.site.gateways[0].endpoints.states
    gateway_support.wait_for(lambda: states[name].endpoint.is_draining, seconds)


@given("a long poll of the endpoint table for {seconds:g} seconds")
def step_long_poll(context, seconds):
    context.polled = standin_store.StandInStore()
    context.polled.start()
    context.cleanups.append(context.polled.stop)
    context.source = store.StoreRows(context.polled.address, seconds, store.StoreEra())
    version = context.source.read("servers").version
    context.poll_seconds = seconds
    context.poll = gevent.spawn(context.source.changes, "servers", version)
    gateway_support.wait_for(lambda: "/-/rows-feed" in context.polled.calls)


@when('the endpoint "{name}" registers in the instant before the poll times out')
def step_register_at_timeout(context, name):
    # Both timers are then due when the event loop continues, that of this step first.
    gevent.spawn(BLOCK, 1.5 * context.poll_seconds)
    gevent.sleep(context.poll_seconds / 2)
    context.polled.put("servers", name, {})


@then('the poll or the one after it returns the entry of "{name}"')
def step_poll_returns(context, name):
    batch = context.poll.get()
    if not batch.rows:
        batch = context.source.changes("servers", batch.version)
    assert [row.key for row in batch.rows] == [name], batch
