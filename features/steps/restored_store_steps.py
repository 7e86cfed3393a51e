"""Steps of restored_store.feature."""

import dataclasses
import types

import cbor2
import eliot
import gevent
from behave import given, then, when

from bronzemux import (
    clock,
    config_store,
    errors,
    http_client,
    lease,
    metrics,
    quarantine,
    standin_platform,
    store_version,
    table,
    watcher,
)
from bronzemux.gateway import (
    gateway,
    gossip,
    routers,
    verdict_store,
)
from features import gateway_support, head_model
from features.steps import claims_steps, rollout_steps

KEY = "key"


@then("number {number:d} of era {era:d} is greater than number {lower:d} of era {earlier:d}")
def step_greater(context, number, era, lower, earlier):
    version = store_version.combine(era, number)
    assert version > store_version.combine(earlier, lower)
    assert (store_version.era_of(version), store_version.number_of(version)) == (era, number)
    assert version < 2**63


@then("number {number:d} of era {era:d} is rejected")
def step_out_of_range(context, number, era):
    try:
        version = store_version.combine(era, number)
    except ValueError:
        return
    raise AssertionError(version)


@given("a table whose row was written 3 times, copied after the first time")
def step_table(context):
    context.service = table.MemoryTable()
    version = context.service.transact([table.Write(KEY, table.ABSENT, cbor2.dumps(1))])
    context.copied = context.service.copy()
    for value in (2, 3):
        version = context.service.transact([table.Write(KEY, version, cbor2.dumps(value))])
    context.version = version


@when("the table is restored from the copy")
def step_restore(context):
    context.service.restore(context.copied)


@then("the row has its first value, and a version greater than any before")
def step_restored(context):
    row = context.service.read([KEY])[0]
    assert cbor2.loads(row.value) == 1 and row.version > context.version, row
    assert context.service.era == 1


@then("a write that expects a version from before the restore conflicts")
def step_conflict(context):
    for version in range(context.version + 1):
        try:
            context.service.transact([table.Write(KEY, version, cbor2.dumps(4))])
        except errors.WriteConflictError:
            continue
        raise AssertionError(version)


# Leases


def third_contender(context) -> lease.Lease:
    """Return a contender that only leaves a row behind."""
    settings = context.leases[0].settings
    return lease.Lease("x", "c3", settings, context.lease_table, clock.FakeClock())


@given("a copy of their table in which there is {row}")
def step_copy_leases(context, row):
    service = context.lease_table
    if row.startswith("no row"):
        context.copied = service.copy()
        if row.endswith("long ago"):
            context.leases[1].read_row()
            context.clocks[1].advance(context.leases[1].settings.duration_seconds)
        return
    left = third_contender(context) if "third" in row else context.leases[1]
    assert left.acquire_or_renew()
    if "released" in row:
        left.release()
    context.copied = service.copy()
    if "released" not in row:
        left.release()
    if row.endswith("a while"):
        context.leases[1].read_row()
        context.clocks[1].advance(context.leases[1].settings.duration_seconds)


@when("their table is restored from the copy")
def step_restore_leases(context):
    context.token_before = context.leases[0].token
    context.lease_table.restore(context.copied)


@then("contender 1 keeps the lease for {seconds:d} seconds, first with a higher token")
def step_keeps(context, seconds):
    for _ in range(seconds):
        rollout_steps.advance(context, 1.0)
        assert context.leases[0].is_held()
    assert store_version.era_of(context.leases[0].token) == 1
    assert context.leases[0].token > context.token_before


@when(
    "contender 1 acquires the lease and the table is restored while contender 2 reads for "
    "{seconds:d} seconds"
)
def step_restore_during_read(context, seconds):
    service = context.lease_table
    original = service.read

    def read(keys):
        rows = original(keys)
        service.read = original
        for item in context.clocks:
            item.advance(seconds)
        assert context.leases[0].acquire_or_renew()
        service.restore(context.copied)
        return rows

    service.read = read
    assert not context.leases[1].acquire_or_renew()


@when("contender 1 releases the lease of the era before")
def step_release_late(context):
    context.active = {1}
    try:
        context.leases[0].release()
    except errors.WriteConflictError:
        return
    raise AssertionError("the release took effect in the later era")


@given("the lease's row holds {value}")
def step_malformed_row(context, value):
    write = table.Write(context.leases[0].key, table.ABSENT, bytes.fromhex(value))
    context.lease_table.transact([write])


@then("contender 1 cannot acquire it, and the log names the row")
def step_row_error(context):
    logged = []
    eliot.add_destinations(logged.append)
    context.cleanups.append(lambda: eliot.remove_destination(logged.append))
    try:
        context.leases[0].acquire_or_renew()
    except errors.PlatformError as error:
        assert error.remedy
    else:
        raise AssertionError("a malformed row was taken")
    lines = [item for item in logged if item["message_type"] == "lease_row_rejected"]
    assert [item["key"] for item in lines] == [context.leases[0].key], logged


# Registration of routers


def router_named(name: str, boot_ms: int) -> gossip.Router:
    """Return a ready router."""
    return gossip.Router(name, boot_ms, "127.0.0.1:1", "127.0.0.1:2", "a", True, 1.0)


@given("a router whose row is in the table, and a copy {copied}")
def step_registered(context, copied):
    context.service = service = table.MemoryTable()
    context.clock = clock.FakeClock()
    context.clock.advance(100.0)
    own = router_named("vm-1", 2)
    context.routers = routers.RouterTable(own)
    owner = types.SimpleNamespace(
        clock=context.clock,
        routers=context.routers,
        platform=types.SimpleNamespace(table=service),
        peering=types.SimpleNamespace(
            store_following=types.SimpleNamespace(is_needed=lambda: True)
        ),
    )
    context.registration = gateway.Registration(owner)
    if "earlier process" in copied or "left" in copied:
        earlier = router_named("vm-1" if "earlier" in copied else "vm-2", 1)
        value = gossip.encode_router(earlier)
        key = gateway.ROUTER_KEY_PREFIX + earlier.name
        service.transact([table.Write(key, table.ABSENT, value)])
    context.copied = service.copy()
    if "left" in copied:
        service.transact([table.Write(key, 1, None)])
    context.registration.tick()
    if "after" in copied:
        context.copied = service.copy()


@then("the router's row is back after a tick")
def step_row_back(context):
    context.registration.tick()
    own = context.routers.own
    row = context.service.read([gateway.ROUTER_KEY_PREFIX + own.name])[0]
    assert row is not None and gossip.decode_router(row.value) == own, row


@then("further ticks write nothing")
def step_no_writes(context):
    transactions = context.service.transactions
    for _ in range(100):
        context.clock.advance(1.0)
        context.registration.tick()
    assert context.service.transactions == transactions


@then("the router that left is known as not ready, and forgotten when it stays silent")
def step_left(context):
    assert "vm-2" not in context.routers.known
    context.clock.advance(gateway.ROUTER_LOOKUP_SECONDS + 1.0)
    context.registration.tick()
    assert not context.routers.known["vm-2"].router.is_ready
    context.clock.advance(routers.FORGET_SECONDS + 1.0)
    context.routers.remove_silent(context.clock.monotonic())
    assert "vm-2" not in context.routers.known


# Verdicts


def make_verdict_store(context, is_following: bool) -> verdict_store.VerdictStore:
    """Return the task of a router that has reached no verdict yet."""
    crashes = gateway_support.crash_attribution_of(context.clock)
    following = types.SimpleNamespace(is_needed=lambda: is_following)
    return verdict_store.VerdictStore(crashes, context.service, following, context.clock)


@given(
    "a router that {follows} the store, with an own verdict, one of another router and one that ended"
)
def step_verdicts(context, follows):
    context.service = table.MemoryTable()
    context.clock = clock.FakeClock()
    context.clock.advance(1000.0)
    context.copied = context.service.copy()
    now = context.clock.monotonic()
    context.verdicts = {
        "own": quarantine.Verdict(frozenset(["a" * 32]), "e1/1", now, 480.0),
        "other": quarantine.Verdict(frozenset(["b" * 32]), "e2/1", now, 480.0),
        "ended": quarantine.Verdict(frozenset(["c" * 32]), "e3/1", now, 120.0),
    }
    context.verdict_store = task = make_verdict_store(context, follows == "follows")
    for name, verdict in context.verdicts.items():
        task.crashes.apply_verdict(verdict, "test")
        if name != "other":
            task.crashes.on_verdict[0](verdict)
    task.tick()
    context.clock.advance(200.0)
    task.crashes.expire()


def stored_members(context) -> list[frozenset[str]]:
    """Return the members of the verdicts whose rows are in the table."""
    rows = context.service.scan(verdict_store.KEY_PREFIX, 10)
    return [frozenset(cbor2.loads(row.value)[0]) for row in rows]


@when("the table is restored from a copy without them")
def step_restore_verdicts(context):
    context.service.restore(context.copied)
    context.verdict_store.tick()


@then("these verdicts are in the table again: {names}")
def step_stored_verdicts(context, names):
    expected = {context.verdicts[name].members for name in names.split(" and ")}
    assert set(stored_members(context)) == expected, stored_members(context)
    transactions = context.service.transactions
    context.verdict_store.tick()
    assert context.service.transactions == transactions


@when("the table is restored from a copy with a shorter own verdict")
def step_shorter_verdict(context):
    shorter = dataclasses.replace(context.verdicts["own"], term_seconds=300.0)
    other = table.MemoryTable()
    other.transact(
        [
            table.Write(
                verdict_store.row_key(shorter),
                table.ABSENT,
                context.verdict_store._encode(shorter),
            )
        ]
    )
    context.service.restore(other.copy())
    context.verdict_store.tick()


@then("a router that starts learns both verdicts in force, with their ends")
def step_learns(context):
    started = make_verdict_store(context, True)
    started.tick()
    found = started.crashes.quarantine.active(context.clock.monotonic())
    ends = {verdict.members: round(verdict.ends_at, 1) for verdict in found}
    expected = {
        verdict.members: round(verdict.ends_at, 1)
        for name, verdict in context.verdicts.items()
        if name != "ended"
    }
    assert ends == expected, (ends, expected)


# Table service over HTTP


@given("a table service over HTTP whose row was written 3 times, copied after the first time")
def step_http_table(context):
    context.platform = standin_platform.StandinPlatform(clock.SystemClock())
    context.platform.start()
    context.cleanups.append(context.platform.stop)
    settings = http_client.PlatformServiceSettings("127.0.0.1", context.platform.port)
    context.service = table.HttpTable(settings)
    context.version = context.service.transact([table.Write(KEY, table.ABSENT, cbor2.dumps(1))])
    context.copied = context.platform.table.copy()
    for value in (2, 3):
        write = table.Write(KEY, context.version, cbor2.dumps(value))
        context.version = context.service.transact([write])


@when("the table service is restored from the copy")
def step_restore_http(context):
    context.platform.table.restore(context.copied)


@then("a write that expects the last version is ambiguous or conflicts, and so do later ones")
def step_stale_writes(context):
    for _ in range(3):
        write = table.Write(KEY, context.version, cbor2.dumps(4))
        try:
            context.service.transact([write])
        except (errors.WriteConflictError, errors.AmbiguousWriteError):
            continue
        raise AssertionError("a write of the earlier era succeeded")


@then("the client reads the first value with a version greater than any before")
def step_http_restored(context):
    row = context.service.read([KEY])[0]
    assert cbor2.loads(row.value) == 1 and row.version > context.version, row
    assert context.service.era == 1
    assert context.service.transact([table.Write(KEY, row.version, b"")]) == row.version + 1
    assert context.service.scan(KEY, 1)[0].version == row.version + 1


@then("an insertion of another row is ambiguous, and its repeat conflicts")
def step_ambiguous_insertion(context):
    for error in (errors.AmbiguousWriteError, errors.WriteConflictError):
        try:
            context.service.transact([table.Write("other", table.ABSENT, b"")])
        except error:
            continue
        raise AssertionError(error)
    assert context.service.read(["other"])[0].version == store_version.combine(1, 1)


@when('the service sends the era "{era}"')
def step_malformed_era(context, era):
    exchange = context.service.client.exchange

    def exchange_with_era(*arguments):
        response = exchange(*arguments)
        return dataclasses.replace(response, headers={table.ERA_HEADER: era})

    context.service.client.exchange = exchange_with_era


@then("reads and writes of the client fail with an error of the platform")
def step_platform_errors(context):
    for call, error in (
        (lambda: context.service.read([]), errors.PlatformUnavailableError),
        (
            lambda: context.service.transact([table.Write("other", table.ABSENT, b"")]),
            errors.AmbiguousWriteError,
        ),
    ):
        try:
            call()
        except error:
            continue
        raise AssertionError(error)


# Claims


@given("a copy of the platform's table")
def step_copy_platform(context):
    context.copied = context.deployment.platform.table.copy()


@when("the platform's table is restored from the copy")
def step_restore_platform(context):
    context.deployment.platform.table.restore(context.copied)


@when(
    'team "{team}" submits a filing with key "{key}" through router {number:d} for {seconds:g} seconds'
)
def step_submit_for(context, team, key, number, seconds):
    ends_at = clock.SystemClock().monotonic() + seconds
    while clock.SystemClock().monotonic() < ends_at:
        context.reply = claims_steps.submit_filing(context, team, key, number - 1)
        assert context.reply.status in (200, 409, 503), context.reply
        gevent.sleep(0.2)


@then('team "{team}" gets 200 for key "{key}" through router {number:d} within {seconds:g} seconds')
def step_gets_response(context, team, key, number, seconds):
    with gevent.Timeout(seconds, AssertionError(f"no response within {seconds:g} s")):
        while claims_steps.submit_filing(context, team, key, number - 1).status != 200:
            gevent.sleep(0.2)


@then("a filing with a new key runs within {seconds:g} seconds")
def step_new_filing(context, seconds):
    step_gets_response(context, "caseworkers", "k-new", 2, seconds)
    claims_steps.step_executed_filings(context, 2)


# Configuration


def change_config(context, expected: int) -> config_store.Head:
    """Apply a change to a configuration."""
    text = head_model.TEXT.format(name=f"after-{expected}")
    return context.store.apply(config_store.Change(expected, text, "nino", "test"))


@given("a router with configuration 3 in force, and a copy of the table with configuration 1")
def step_config(context):
    context.service = table.MemoryTable()
    context.clock = clock.FakeClock()
    context.store = config_store.ConfigStore(context.service, context.clock)
    change_config(context, 0)
    context.copied = context.service.copy()
    change_config(context, 1)
    head = change_config(context, 2)
    context.watcher = watcher.ConfigWatcher(
        context.store, context.clock, lambda *_: None, metrics.Metrics(), "vm-1"
    )
    assert context.watcher.apply_if_newer(head)


@when("the router polls the configuration")
def step_poll_config(context):
    context.watcher._poll(context.watcher.version)


@then("configuration 3 is the newest in the table")
def step_newest_config(context):
    assert context.store.newest_version() == 3
    assert context.store.read() == context.watcher.head


@then("a change of version 1 fails with a conflict that names version 3")
def step_stale_change(context):
    try:
        change_config(context, 1)
    except errors.ConfigConflictError as error:
        assert "found 3" in error.message, error.message
        return
    raise AssertionError("a change of a lost version was accepted")


@then("a change of version 3 is accepted as version 4")
def step_next_change(context):
    assert change_config(context, 3).version == 4
