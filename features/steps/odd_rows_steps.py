"""Steps of odd_entries.feature for the rows and messages that routers read."""

import dataclasses
import io
import json
import math
import types

import cbor2
import gevent.queue
from behave import given, then, when

from bronzemux import (
    claim_reconciler,
    claim_rows,
    cli_ctl,
    clock,
    config_store,
    errors,
    logs,
    mesh,
    operator_api,
    quarantine,
    signing,
    table,
    watcher,
    wire,
)
from bronzemux.gateway import verdict_store
from features import odd_cbor, odd_entries, odd_values, router_decoders, support
from features.steps import restored_store_steps, sweeper_steps

VM_ROW = router_decoders.VM_ROW
ODD_VM_ROWS = {
    "without a name": {name: value for name, value in VM_ROW.items() if name != "name"},
    "that is a number": 7,
    "with a name of 5000 digits": VM_ROW | {"name": 10**5000},
    "with a name of a megabyte": VM_ROW | {"name": "x" * 1_000_000},
    "with a state that is a text": VM_ROW | {"is_leaving": "no"},
    "with port 70000": VM_ROW | {"address": "127.0.0.1:70000"},
    "with peer port 70000": VM_ROW | {"peer_address": "127.0.0.1:70000"},
    "with a peer port of 5000 digits": VM_ROW | {"peer_address": "127.0.0.1:" + "9" * 5000},
    "with a tagged data centre": VM_ROW | {"data_centre": cbor2.CBORTag(258, ["north"])},
    "with a role that is nested": VM_ROW | {"role": [[["router"]]]},
}
ODD_VM_LISTS = {
    "empty": b"",
    "no CBOR": b"\xff",
    "a number": cbor2.dumps(10**5000),
    "nested in 900 lists": odd_cbor.NESTED[0],
    "nested in 100000 lists": odd_cbor.NESTED[1],
}


def start_log(context) -> None:
    """Collect the log lines of the scenario."""
    context.log = io.StringIO()
    destination = logs.start("info", context.log)
    context.cleanups.append(lambda: logs.stop(destination))


def assert_one_line(context, event: str) -> None:
    """Check that one short log line tells of an event and names a remedy."""
    lines = context.log.getvalue().splitlines()
    assert len(lines) == 1 and f"event={event} " in lines[0], lines
    assert "; " in lines[0] and len(lines[0]) < 1000, lines


@given("a router that polls the VM list")
def step_vm_watcher(context):
    start_log(context)
    context.clock = clock.FakeClock()
    context.client = router_decoders.FakeClient(cbor2.dumps([VM_ROW]))
    source = router_decoders.vm_list(b"", context.clock)
    source.client = context.client
    context.task = watcher.VmWatcher(
        source, context.clock, lambda *found: None, router_decoders.METERS, "a"
    )
    context.task.tick()


@when("a VM's row {what} is listed between two sound ones")
def step_odd_vm(context, what):
    context.client.body = router_decoders.odd_vm_list(ODD_VM_ROWS[what])
    context.task.tick()


@when("the VM list is {what}")
def step_odd_vm_list(context, what):
    context.client.body = ODD_VM_LISTS[what]
    context.task.tick()


def known_vms(context) -> list[str]:
    """Return the names of the VMs that the router knows."""
    return [vm.name for vm in context.task.vms]


@then("the router knows the two sound VMs only")
def step_sound_vms(context):
    assert known_vms(context) == ["vm-1", "vm-2"]


@then("the router keeps the VMs that it knew")
def step_same_vms(context):
    assert known_vms(context) == ["vm-1"]
    assert_one_line(context, "vm_list_rejected")


@then("one log line in {count:d} polls tells of the malformed row and names a remedy")
def step_one_vm_line(context, count):
    for _ in range(count - 1):
        context.task.tick()
    assert_one_line(context, "vm_row_rejected")


@then("the router still follows the VM list")
def step_follows_vms(context):
    context.client.body = cbor2.dumps([dict(VM_ROW, name="vm-9")])
    context.task.tick()
    assert known_vms(context) == ["vm-9"]


# Type of the message, path in its fields, and the odd value there, by what the message has.
ODD_MESSAGES = {
    "a port of 70000": (wire.Ping, (1, 0, 2), "127.0.0.1:70000"),
    "a port with a superscript digit": (wire.Ping, (1, 0, 2), "127.0.0.1:\u00b2"),
    "an address without a port": (wire.Ping, (1, 0, 2), "b"),
    "an incarnation of 5000 digits": (wire.Ping, (1, 2, 1, 3), 10**5000),
    "an incarnation of -1": (wire.Ping, (1, 2, 0, 3), -1),
    "a member that is a tagged set": (wire.Ping, (1, 2, 0), cbor2.CBORTag(258, ["b"])),
    "a sequence of 300 digits": (wire.Ping, (0,), 10**300),
    "a version of 5000 digits": (wire.Ping, (1, 1), 10**5000),
    "a target without a port": (wire.PingRequest, (2, 2), "b"),
    "a known version of -1": (wire.ConfigRequest, (1,), -1),
    "a rate that is no number": (wire.Demand, (1, 0, 1), math.nan),
    "an infinite rate": (wire.Demand, (1, 0, 1), math.inf),
    "a rate in a text": (wire.Demand, (1, 0, 1), "nan"),
    "a share of 0": (wire.Grant, (0, 0, 1), 0.0),
    "a share of 1e300": (wire.Grant, (0, 0, 1), 1e300),
    "a share that is no number": (wire.Grant, (0, 0, 1), math.nan),
    "an infinite duration": (wire.Grant, (1,), math.inf),
    "a VM with port 70000": (wire.VmChanges, (0, 0, 2), "127.0.0.1:70000"),
    "a list nested in 900 lists": (wire.VmChanges, (0,), odd_cbor.Encoded(odd_cbor.NESTED[0])),
    "a list that contains itself": (wire.VmChanges, (0,), odd_cbor.Encoded(odd_cbor.CYCLE)),
}


def message_fields(kind: type) -> list:
    """Return the fields of a sound message in the mesh, as CBOR encodes them."""
    return router_decoders.PEER_MESSAGES[wire.TYPES.index(kind)]


def receive(context, kind: type, fields: list) -> None:
    """Let the router receive a message with given fields."""
    content = odd_cbor.encode([wire.WIRE_VERSION, wire.TYPES.index(kind), *fields])
    key = context.task.settings.mesh_keys[0].encode()
    context.task.handle(mesh.Frame(signing.sign(content, key)))


@given("a router in the mesh that knows another one")
def step_mesh(context):
    start_log(context)
    context.clock = clock.FakeClock()
    context.vm_changes = []
    context.task = router_decoders.OpenMesh(context.clock, on_vms=context.vm_changes.append)
    receive(context, wire.Sync, message_fields(wire.Sync))


@when("it receives {message} with {what}")
def step_odd_message(context, message, what):
    kind, path, value = ODD_MESSAGES[what]
    context.fields = odd_values.replaced(message_fields(kind), path, value)
    context.kind = kind
    receive(context, kind, context.fields)


@then("one log line in {count:d} copies rejects the message and names a remedy")
def step_one_message_line(context, count):
    for _ in range(count - 1):
        receive(context, context.kind, context.fields)
    assert_one_line(context, "peer_message_refused")


@then("it keeps no odd value, and still answers the other one")
def step_still_answers(context):
    assert not context.vm_changes
    members = context.task.membership.members()
    assert [member.address for member in members] == ["127.0.0.1:3", "127.0.0.1:4"], members
    assert not context.task.granted_shares.grants and not context.task.share_allocator.reports
    context.task.sent.clear()
    receive(context, wire.Ping, message_fields(wire.Ping))
    context.clock.advance(1.0)
    context.task.tick()
    answers = [wire.decode(frame) for _, frame in context.task.sent]
    assert any(isinstance(answer, wire.Ack) for answer in answers), answers


@given("an unexpected error occurs at it for each demand")
def step_failing_demands(context):
    allocate = context.task.share_allocator.allocate

    def fail_for_other(demand, routers: int, now: float) -> wire.Grant:
        if demand.sender.name == "b":
            raise ArithmeticError("an error that no decoder foresees")
        return allocate(demand, routers, now)

    context.task.share_allocator.allocate = fail_for_other


@when("it receives {count:d} demands")
def step_demands(context, count):
    for _ in range(count):
        receive(context, wire.Demand, message_fields(wire.Demand))


LATER_VERSION = 10**11
# Content of the head row, or of the history row of version 2.
ODD_CONFIG_ROWS = {
    "that is empty": b"",
    "with a version of 5000 digits": cbor2.dumps(10**5000),
    "with a version of -5": cbor2.dumps(-5),
    "with a text": cbor2.dumps("2"),
    "nested in 900 lists": odd_cbor.NESTED[0],
    "nested in 100000 lists": odd_cbor.NESTED[1],
    "without a summary": cbor2.dumps([2, "", "id", "operator", "now"]),
    "of a much later version": cbor2.dumps([LATER_VERSION, "", "id", "operator", "now", "x"]),
    "with a tagged document": cbor2.dumps([2, cbor2.CBORTag(258, []), "id", "o", "now", "x"]),
}


def put_config_row(context, key: str, value: bytes) -> None:
    """Write a row, whatever its version."""
    version = context.service.rows[key].version + 1 if key in context.service.rows else 1
    context.service.rows[key] = table.Row(key, version, value)


def put_config(context, version: int) -> None:
    """Write a sound configuration as the newest one."""
    head = config_store.Head(version, support.example("centre"), "id", "operator", "now", "test")
    put_config_row(context, config_store.HEAD_KEY, cbor2.dumps(version))
    put_config_row(context, config_store.history_key(version), config_store.encode(head))


def poll_config(context) -> None:
    """Poll the configuration as the task does, and wait for the result."""
    context.task.tick()
    try:
        context.task.handle(context.task.mailbox.get(timeout=1.0))
    except gevent.queue.Empty:
        raise AssertionError("the poll ended without a result") from None


@given("a router that polls the configuration, with version 1 in force")
def step_config_watcher(context):
    start_log(context)
    context.clock = clock.FakeClock()
    context.service = table.MemoryTable()
    context.store = config_store.ConfigStore(context.service, context.clock)
    context.task = watcher.ConfigWatcher(
        context.store, context.clock, lambda *found: None, router_decoders.METERS, "a"
    )
    put_config(context, 1)
    poll_config(context)
    context.log.truncate(0)
    context.log.seek(0)


@when("another writer leaves the head row {what}")
def step_odd_head(context, what):
    put_config_row(context, config_store.HEAD_KEY, ODD_CONFIG_ROWS[what])


@when("another writer leaves the history row {what}")
def step_odd_history(context, what):
    put_config_row(context, config_store.HEAD_KEY, cbor2.dumps(2))
    put_config_row(context, config_store.history_key(2), ODD_CONFIG_ROWS[what])


@then("the router keeps version 1")
def step_config_kept(context):
    poll_config(context)
    assert context.task.version == 1


@then("one log line in {count:d} polls tells of the config row and names a remedy")
def step_one_config_line(context, count):
    for _ in range(count - 1):
        poll_config(context)
    assert_one_line(context, "config_row_rejected")


@then("it applies version 3 once the rows are sound")
def step_config_follows(context):
    put_config(context, 3)
    poll_config(context)
    assert context.task.version == 3


@then("the history shows version 1 only")
def step_history(context):
    assert [head.version for head in context.store.history()] == [1]
    assert_one_line(context, "config_row_rejected")


def engine_state(**changes) -> bytes:
    """Return the state of an engine with other values; bytes stand for JSON text."""
    texts = {name: value for name, value in changes.items() if isinstance(value, bytes)}
    values = router_decoders.ENGINE_STATE | changes | dict.fromkeys(texts, odd_entries.MARK)
    data = json.dumps(values).encode()
    for text in texts.values():
        data = data.replace(json.dumps(odd_entries.MARK).encode(), text, 1)
    return data


ODD_ENGINE_STATES = {
    "with 400 digits of waiting": engine_state(waiting=10**400),
    "with -1 running": engine_state(running=-1),
    "with 1e400 running": engine_state(running=b"1e400"),
    "with events up to infinity": engine_state(last=b"Infinity"),
    "with a lone surrogate in its role": engine_state(role="\ud800"),
    "with a nested incarnation": engine_state(incarnation=[["e"]]),
    "with a key of 5000 digits": engine_state(stored=["f" * 5000]),
    "without its events": b'{"incarnation": "e/1", "running": 1, "waiting": 0}',
    "with 5000 digits of waiting": engine_state(waiting=b"9" * 5000),
    "nested in 900 lists": engine_state(waiting=odd_entries.nested(900)),
    "nested in 100000 lists": odd_entries.nested(100_000),
    "that is empty": b"",
}


@given("a router that polls an engine")
def step_engine_watcher(context):
    start_log(context)
    context.clock = clock.FakeClock()
    context.target = router_decoders.open_dispatcher(context.clock)
    context.engine = router_decoders.FakeEngine(engine_state())
    endpoint = router_decoders.DOCUMENT.endpoints[0]
    context.task = watcher.EndpointWatcher(
        endpoint, lambda _: context.engine, context.target, context.clock
    )


def poll_engine(context) -> None:
    """Poll the engine, and let the dispatcher handle what the poll sent."""
    context.task.tick()
    while not context.target.mailbox.empty():
        context.target.handle(context.target.mailbox.get())


@when("the engine reports a state {what}")
def step_odd_state(context, what):
    context.engine.body = ODD_ENGINE_STATES[what]
    poll_engine(context)


@then("one log line in {count:d} polls rejects the state and names a remedy")
def step_one_state_line(context, count):
    for _ in range(count - 1):
        poll_engine(context)
    assert_one_line(context, "endpoint_report_rejected")


@then("the router still chooses an endpoint")
def step_fleet_view(context):
    view = context.target.fleet.view(context.clock.monotonic(), 2, {})
    assert len(view.names) == len(router_decoders.DOCUMENT.endpoints)


@then("it takes the next sound state")
def step_sound_state(context):
    context.engine.body = engine_state(incarnation="e/2")
    poll_engine(context)
    assert context.target.fleet.states[context.task.endpoint.name].incarnation == "e/2"


CLAIM_FIELDS = ["done", "n", "digest", "vm-1@1", 0.0, [200, "text/plain", [b"x"]], ""]


def claim_value(position: int, value) -> bytes:
    """Return the value of a claim's row with one odd field."""
    return cbor2.dumps(odd_values.replaced(CLAIM_FIELDS, (position,), value))


ODD_CLAIMS = {
    "that is empty": b"",
    "that is a number": cbor2.dumps(10**5000),
    "with an unknown state": claim_value(0, "sleeping"),
    "with a start that is no number": claim_value(4, math.nan),
    "with a start of 5000 digits": claim_value(4, 10**5000),
    "with a start in a text": claim_value(4, "0"),
    "with a nonce that is tagged": claim_value(1, cbor2.CBORTag(258, ["n"])),
    "with a status of 5000 digits": claim_value(5, [10**5000, "text/plain", [b"x"]]),
    "with a part that is a text": claim_value(5, [200, "text/plain", ["x"]]),
    "with a line break in its type": claim_value(5, [200, "text/plain\r\nX: y", [b"x"]]),
    "without its last field": cbor2.dumps(CLAIM_FIELDS[:-1]),
    "nested in 900 lists": odd_cbor.NESTED[0],
    "nested in 100000 lists": odd_cbor.NESTED[1],
}
SWEPT_HOURS = 49


@given("a claim's row {what} beside an expired one in the same shard")
def step_odd_claim(context, what):
    sweeper_steps.set_up(context)
    start_log(context)
    odd_key = claim_rows.row_key(sweeper_steps.TEAM, sweeper_steps.KEY)
    context.odd_claim = claim_rows.Claim(
        odd_key, 1, claim_rows.State.STARTED, "other", "digest", "vm-1@1", 0.0
    )
    context.sound_key = odd_key[:-1] + ("0" if odd_key[-1] != "0" else "1")
    sound = cbor2.dumps([*CLAIM_FIELDS[:4], context.clock.now().timestamp(), *CLAIM_FIELDS[5:]])
    for key, value in ((odd_key, ODD_CLAIMS[what]), (context.sound_key, sound)):
        context.service.rows[key] = table.Row(key, 1, value)
    context.clock.advance(SWEPT_HOURS * 3600.0)


@when("all shards are swept")
def step_sweep(context):
    for _ in range(sweeper_steps.SHARDS):
        context.sweeper.tick()


@then("the response of the expired one is removed")
def step_response_removed(context):
    found = claim_rows.decode(context.service.rows[context.sound_key])
    assert found.response is None, found


@then("a request with the key of the odd row gets a typed error and does not run")
def step_odd_key(context):
    arguments = sweeper_steps.TEAM, sweeper_steps.KEY
    for call in (
        lambda: context.claims.begin(*arguments, "digest"),
        lambda: context.claims.find(*arguments),
    ):
        try:
            found = call()
        except errors.OutcomeUnknownError as error:
            assert error.remedy
        else:
            raise AssertionError(found)


@then("the writes that wait behind one of the odd row are carried out")
def step_writes_behind(context):
    task = context.claims.claim_reconciler
    key = context.sound_key[:-1] + "f"
    behind = dataclasses.replace(context.odd_claim, key=key)
    for message in (
        claim_reconciler.ReleaseUncertain(context.odd_claim),
        claim_reconciler.RewriteLost(context.odd_claim),
        claim_reconciler.RetryWrite(behind),
    ):
        task.handle(message)
    task.tick()
    assert key in context.service.rows and not task.pending


@then("one log line of each task names the odd row and a remedy")
def step_claim_line(context):
    key = context.odd_claim.key
    lines = [line for line in context.log.getvalue().splitlines() if "claim_row_rejected" in line]
    # The sweeper, the claims of requests and the claim reconciler.
    assert len(lines) == 3, lines
    for line in lines:
        assert f"row={key}" in line and "; " in line and len(line) < 1000, line


VERDICT_FIELDS = [["a", "b"], "lm-1/1000", 1_767_225_600_000, 60_000]


def verdict_value(position: int, value) -> bytes:
    """Return the value of a verdict's row with one odd field."""
    return cbor2.dumps(odd_values.replaced(VERDICT_FIELDS, (position,), value))


ODD_VERDICTS = {
    "that is empty": b"",
    "that is a number": cbor2.dumps(10**5000),
    "with a term of 300 digits": verdict_value(3, 10**300),
    "with a term of 5000 digits": verdict_value(3, 10**5000),
    "with a term that is no number": verdict_value(3, math.nan),
    "with a decision of 300 digits": verdict_value(2, -(10**300)),
    "with members in a text": verdict_value(0, "ab"),
    "with tagged members": verdict_value(0, cbor2.CBORTag(258, ["a"])),
    "with a cause that is nested": verdict_value(1, [["lm-1"]]),
    "without its term": cbor2.dumps(VERDICT_FIELDS[:-1]),
    "nested in 900 lists": odd_cbor.NESTED[0],
    "nested in 100000 lists": odd_cbor.NESTED[1],
}


@given("a gateway that starts, with a verdict's row {what} beside a sound one")
def step_odd_verdict(context, what):
    start_log(context)
    context.clock = clock.FakeClock()
    context.service = table.MemoryTable()
    context.task = restored_store_steps.make_verdict_store(context, is_following=True)
    now = context.clock.monotonic()
    context.verdicts = [
        quarantine.Verdict(frozenset(members), "lm-1/1000", now, 60.0) for members in ("ab", "cd")
    ]
    odd, sound = context.verdicts
    context.odd_key = verdict_store.row_key(odd)
    for key, value in (
        (context.odd_key, ODD_VERDICTS[what]),
        (verdict_store.row_key(sound), context.task._encode(sound)),
    ):
        context.service.rows[key] = table.Row(key, 1, value)


@when("it loads the verdicts and writes one whose row is the odd one")
def step_load_verdicts(context):
    context.task.tick()
    context.loaded = {found.members for found in context.task._in_force()}
    context.task.pending.append(context.verdicts[0])
    context.task.tick()


@then("the sound verdict is in force, and the odd row is replaced")
def step_sound_verdict(context):
    assert context.loaded == {context.verdicts[1].members}, context.loaded
    assert not context.task.pending
    written = context.service.rows[context.odd_key]
    assert written.version == 2, written


@then("one log line of a verdict's row names a remedy")
def step_verdict_lines(context):
    lines = [line for line in context.log.getvalue().splitlines() if "verdict_row_rejected" in line]
    assert len(lines) == 1, lines
    assert "; " in lines[0] and len(lines[0]) < 1000, lines


CHANGE = {"expected": 0, "text": support.example("centre"), "summary": "s", "change_id": "c"}
CHANGE_BODIES = {
    "a change with 1e400": json.dumps(CHANGE).replace(": 0,", ": 1e400,", 1).encode(),
    "a change nested deeply": odd_entries.nested(100_000),
    "a change that is a list": b"[]",
    "a change with a surrogate": json.dumps(CHANGE | {"summary": "\ud800"}).encode(),
}
OPERATOR_PATHS = {
    "a history of 5000 digits": ("history", "9" * 5000),
    "a history of -1": ("history", "-1"),
    "a history of a superscript": ("history", "\u00b2"),
    "version 5000 digits": ("version/" + "9" * 5000, ""),
    "version superscript": ("version/\u00b2", ""),
    "version -1": ("version/-1", ""),
}


def operator_call(method: str, path: str, limit: str = "", body: bytes = b""):
    """Return the WSGI call of an operator's request."""
    return types.SimpleNamespace(
        method=method,
        path=operator_api.PREFIX + path,
        query={"limit": limit} if limit else {},
        body=lambda: body,
    )


@when("an operator requests {what}")
def step_operator_request(context, what):
    store = config_store.ConfigStore(table.MemoryTable(), clock.FakeClock())
    operator = types.SimpleNamespace(name="o")
    if what in CHANGE_BODIES:
        call = operator_call("POST", "config", body=CHANGE_BODIES[what])
        context.action = lambda: operator_api._dispatch(store, call, operator)
    elif what in OPERATOR_PATHS:
        call = operator_call("GET", *OPERATOR_PATHS[what])
        context.action = lambda: operator_api._dispatch(store, call, operator)
    elif what == "ctl expect superscript":
        flags = types.SimpleNamespace(expect="\u00b2")
        original, cli_ctl.FLAGS = cli_ctl.FLAGS, flags
        context.cleanups.append(lambda: setattr(cli_ctl, "FLAGS", original))
        context.action = cli_ctl.expected_version
    else:
        number = "\u00b2" if what.endswith("superscript") else "9" * 5000
        context.action = lambda: cli_ctl.parse_version(number)
