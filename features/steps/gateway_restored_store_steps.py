"""Steps for a store that is restored from an older copy."""

import gevent
from behave import given, then, when

from bronzemux import errors, http_client, store_version, table
from bronzemux.gateway import gossip, rows
from bronzemux.platform import store
from features import gateway_support
from features.steps import gateway_cluster_state_steps as cluster_steps

ENDPOINT = "app-1"


@given("configurations {first:d} to {last:d} were written since the copy of the store")
def step_written_since(context, first, last):
    stand_in = context.site.store
    context.copy = stand_in.copy()
    for version in range(first, last + 1):
        stand_in.put("op", "config", gateway_support.configuration(version))
    found = context.site.gateways[0].cluster_state
    gateway_support.wait_for(lambda: found.configuration.version == last)


@given('the endpoint "{name}" was added since then')
def step_added_since(context, name):
    context.site.add_worker(name, "app")
    found = context.site.gateways[0].cluster_state
    gateway_support.wait_for(lambda: name in found.endpoints.states)


@when("the store is restored from the copy")
def step_restored(context):
    context.site.store.restore(context.copy)


@then("the gateway calls the store at most {count:d} times in {seconds:g} second")
def step_calls(context, count, seconds):
    context.site.store.calls.clear()
    gevent.sleep(seconds)
    calls = sum(context.site.store.calls.values())
    assert calls <= count, calls


# Entries and configurations


def entry_row(text: str, version: int) -> rows.Row | None:
    """Return the row of an entry such as "ready, heartbeat 5", None for a removed one."""
    state, _, detail = text.partition(", ")
    if state in ("nothing", "removed"):
        return None
    if state == "malformed":
        return cluster_steps.row(ENDPOINT, version, b"{")
    name, _, number = detail.partition(" ")
    changes = {"sequence": int(number)} if name == "heartbeat" else {"born": int(number)}
    return cluster_steps.row(
        ENDPOINT, version, cluster_steps.entry(ENDPOINT, state=state, **changes)
    )


def deliver(context, table_name: str, row: rows.Row | None, version: int, is_snapshot: bool):
    """Apply a batch with one row, or without rows, from the store."""
    batch = rows.Batch((row,) if row else (), version, is_snapshot)
    context.cluster_state.apply_rows(table_name, batch, "store")


def set_contact(found, is_up: bool) -> None:
    """Record that the router follows the store, or does not reach it."""
    for name in found.replicas:
        found.record_store_contact(name, is_up)


@when("the router does not reach the store")
def step_not_reached(context):
    set_contact(context.cluster_state, False)


@when("the router reaches the store again")
def step_reached(context):
    set_contact(context.cluster_state, True)


@given("the entry {text} of an endpoint")
def step_entry(context, text):
    found = cluster_steps.make_cluster_state(context)
    set_contact(found, True)
    first = store_version.combine(1, 20)
    row = entry_row(text.replace("removed", "draining"), first)
    deliver(context, "servers", row, first, is_snapshot=True)
    if text.startswith("removed"):
        removed = rows.Row(ENDPOINT, store_version.combine(1, 21), is_deleted=True)
        deliver(context, "servers", removed, removed.version, is_snapshot=False)


@when("the store is restored with the entry {text}")
def step_restored_entry(context, text):
    row = entry_row(text, store_version.combine(2, 3))
    deliver(context, "servers", row, store_version.combine(2, 10), is_snapshot=True)


@when("afterwards it has the entry {text}")
def step_entry_written(context, text):
    if text == "nothing":
        return
    version = store_version.combine(2, 15)
    is_snapshot = text == "removed in a snapshot"
    row = None if is_snapshot else entry_row(text, version)
    if row is None and not is_snapshot:
        row = rows.Row(ENDPOINT, version, is_deleted=True)
    deliver(context, "servers", row, version, is_snapshot)
    if row is None or row.is_deleted:
        context.clock.advance(2.0)
        context.cluster_state.expire()


def endpoint_state(context, expected: str) -> str:
    """Return the state of the endpoint, in the form of the expected one."""
    state = context.endpoint_table.states.get(ENDPOINT)
    if state is None:
        return "gone"
    if expected.startswith("of start"):
        return f"of start {state.endpoint.started_at_ms}"
    return "draining" if state.endpoint.is_draining else "ready"


@then("the endpoint is {state}, and {later} {seconds:g} seconds later")
def step_entry_state(context, state, later, seconds):
    assert endpoint_state(context, state) == state, endpoint_state(context, state)
    context.clock.advance(seconds)
    context.cluster_state.expire()
    assert endpoint_state(context, later) == later, endpoint_state(context, later)


def configuration_row(text: str, version: int) -> rows.Row | None:
    """Return the row of a configuration such as "7 with more teams", None for none."""
    if text == "none":
        return None
    number, _, is_changed = text.partition(" ")
    document = gateway_support.configuration(int(number))
    if is_changed:
        document["tenants"].append({"name": "readers", "api_keys": ["key-readers"]})
    return cluster_steps.row("config", version, document)


@given("configuration {version} of the operator is known")
def step_configuration(context, version):
    cluster_steps.make_cluster_state(context)
    first = store_version.combine(1, 20)
    deliver(context, "op", configuration_row(version, first), first, is_snapshot=True)


@when("the store is restored with configuration {version}")
def step_restored_configuration(context, version):
    row = configuration_row(version, store_version.combine(2, 3))
    deliver(context, "op", row, store_version.combine(2, 10), is_snapshot=True)


@when("the operator writes configuration {version} afterwards")
def step_configuration_written(context, version):
    number = store_version.combine(2, 15)
    row = configuration_row(version, number)
    if row is not None:
        deliver(context, "op", row, number, is_snapshot=False)


@then("configuration {version} is in force after the restore")
def step_configuration_in_force(context, version):
    found = context.cluster_state.configuration
    number, _, is_changed = version.partition(" ")
    assert found.version == int(number)
    assert any(team.name == "readers" for team in found.teams.values()) == bool(is_changed)


# Many routers


@given("configuration {version:d} is written for the routers, and the store is copied")
def step_copied(context, version):
    context.fleet.store.put(version)
    context.copy = context.fleet.store.copy()
    context.fleet.run(1.0)


@given("configuration {version:d} is written for the routers")
def step_written(context, version):
    context.fleet.store.put(version)


@given("the store is copied with configuration {version}")
def step_copied_with(context, version):
    store = context.fleet.store
    if version == "none":
        number, _, entries = store.copy()
        context.copy = (number, (), entries)
    else:
        store.put(int(version))
        context.copy = store.copy()


@when("configuration {version} is written after the restore")
def step_written_after(context, version):
    if version != "none":
        context.fleet.store.put(int(version))


@then("no router requests rows any more")
def step_no_requests(context):
    requests = []
    transmit = context.fleet.transmit

    def count(source, address, frame):
        if isinstance(gossip.decode(frame), gossip.RowsRequest):
            requests.append(source)
        transmit(source, address, frame)

    context.fleet.transmit = count
    context.fleet.run(2.0)
    assert not requests, requests


@when("the store is restored {times:d} times")
def step_fleet_restored(context, times):
    for _ in range(times):
        context.fleet.store.restore(context.copy)
        context.fleet.run(0.15)


@when("the partition from the store ends, and configuration {version:d} is written")
def step_healed(context, version):
    context.fleet.partitioned_from_store.clear()
    context.fleet.store.put(version)


@when("a follower of the store restarts, and hears from no other router for {seconds:g} seconds")
def step_follower_restarts(context, seconds):
    fleet = context.fleet
    context.name = min(name for name in fleet.gateways if fleet.is_follower(name))
    fleet.start(context.name)
    fleet.partitions = {frozenset((context.name, other)) for other in fleet.gateways}
    fleet.run(seconds)
    fleet.partitions = set()


@then("it has configuration {version:d} in force")
def step_router_configuration(context, version):
    assert context.fleet.configuration_versions()[context.name] == version


@then("all routers have the rows of the same era, and know of it when they write their own")
def step_same_era(context):
    eras = {
        replica.era
        for name, member in context.fleet.gateways.items()
        if name not in context.fleet.down
        for replica in member.cluster_state.replicas.values()
    }
    expected = {store_version.era_of(context.fleet.store.version)}
    assert eras == expected, eras
    assert {member.platform.table.era for member in context.fleet.gateways.values()} == expected


# The gateway's own table


@given("a row of the gateway's own table that was written since the copy of the store")
def step_own_row(context):
    context.copy = context.site.store.copy()
    context.own_table = store.StoreTable(context.site.store.address, store.StoreEra())
    context.version = context.own_table.transact([table.Write("a", table.ABSENT, b"1")])


@when("the store is restored, and another row gets the same number")
def step_given_out_again(context):
    stand_in = context.site.store
    stand_in.restore(context.copy)
    stand_in.put(store.OWN_TABLE, "a", b"other")
    assert stand_in.version == store_version.number_of(context.version)


@when("{what} before the row is written again")
def step_write_again(context, what):
    if what == "the router reads the table":
        context.own_table.read(["b"])
    context.site.store.calls.clear()
    context.error = None
    try:
        context.own_table.transact([table.Write("a", context.version, b"2")])
    except errors.PlatformError as error:
        context.error = error


@then("the write {result}")
def step_write_result(context, result):
    is_refused = result.startswith("is refused")
    expected = errors.WriteConflictError if is_refused else errors.AmbiguousWriteError
    assert type(context.error) is expected, context.error
    assert ("/-/rows-tx" in context.site.store.calls) == (not is_refused)


# The era in responses


def response(era: str) -> http_client.Response:
    """Return a response of the store with an era, without the header field for an empty one."""
    return http_client.Response(200, {"Store-Era": era} if era else {}, b"")


@given("responses of the store had the era {era:d}")
def step_known_era(context, era):
    context.era = store.StoreEra()
    assert context.era.read(response("")) == 0
    assert context.era.read(response(str(era))) == era


@when('a response has the era "{era}"')
@when('a response has the era ""')
def step_era(context, era=""):
    context.error = None
    try:
        context.era.read(response(era))
    except errors.PlatformUnavailableError as error:
        context.error = error


@then("the response is not used")
def step_not_used(context):
    assert context.error is not None and context.era.value == 2
