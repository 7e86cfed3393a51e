"""Decoders of the routers for documents of other writers, each with what follows a decoded value.

Each function raises the decoder's typed error, or nothing.
"""

import dataclasses
import json
import types

import cbor2
from hypothesis import strategies as st

from bronzemux import (
    claim_rows,
    config,
    config_store,
    dispatcher,
    engine,
    engine_http,
    http_client,
    locate,
    logs,
    mesh,
    messages,
    metrics,
    settings,
    snapshot,
    store_version,
    table,
    vms,
    watcher,
    wire,
)
from bronzemux import clock as clocks
from features import odd_cbor, support

VM_ROW = {
    "name": "vm-1",
    "data_centre": "north",
    "address": "127.0.0.1:1",
    "role": "router",
    "is_leaving": False,
    "peer_address": "127.0.0.1:2",
}
MEMBER = ["b", "north", "127.0.0.1:4", 7, 0, False, 5]
DEAD_SELF = ["a", "north", "127.0.0.1:3", 9, 2, False, 5]
GOSSIP = [MEMBER, 3, [MEMBER, DEAD_SELF], ["x"]]
HEAD = config_store.Head(2, "", "id", "operator", "now", "summary")
# Fields of one message of each type, in the order of `wire.TYPES`.
PEER_MESSAGES = (
    [1, GOSSIP],
    [2, GOSSIP, "b"],
    [3, GOSSIP, MEMBER],
    [GOSSIP],
    [GOSSIP],
    [MEMBER, 1],
    [config_store.encode(HEAD)],
    [2, 1, 2, b"middle", b"digest"],
    [MEMBER, [["team", 1.5]]],
    [[["team", 0.5]], 3.0],
    [[list(VM_ROW.values())], ["vm-2"]],
)
TABLE_KEYS = ("first", "second")
TABLE_ROWS = [["first", 3, b"value"], None]
ENGINE_STATE = {
    "incarnation": "e/1",
    "running": 1,
    "waiting": 0,
    "first": 3,
    "last": 4,
    "stored": ["ab"],
    "evicted": ["cd"],
    "weights": {"m1": "v1"},
    "adapters": {"m1/a": "v1"},
    "role": "decode",
    "software": "2.1",
}
DOCUMENT = config.loads(support.example("centre"))
CLAIM_FIELDS = ["done", "n", "digest", "vm-1@1", 0.0, [200, "text/plain", [b"x"]], "answer/n"]
METERS = metrics.Metrics()


class FakeClient:
    """Client of a platform service whose responses have given bytes.

    Args:
      body: Body of the responses.
    """

    def __init__(self, body: bytes):
        self.body = body

    def exchange(self, method, path, body, is_write) -> http_client.Response:
        """Return the response."""
        return http_client.Response(200, {}, self.body)


def log(**pairs) -> None:
    """Write a log line as the router would."""
    message = {"timestamp": 1.0, "message_type": "generated", **pairs}
    logs.format_line(message).encode()


def vm_list(body: bytes, clock: clocks.Clock) -> vms.HttpVmList:
    """Return a VM list whose service responds with given bytes."""
    found = vms.HttpVmList(http_client.PlatformServiceSettings("127.0.0.1", 1), clock)
    found.client = FakeClient(body)
    return found


def use_vm_list(body: bytes) -> None:
    """Read a VM list, publish it, and forward its changes to another router."""
    clock, published = clocks.FakeClock(), []
    task = watcher.VmWatcher(
        vm_list(body, clock), clock, lambda *found: published.append(found), METERS, "a"
    )
    task.vms = (vms.Vm("vm-0", "north", "127.0.0.1:3", "router"),)
    task.tick()
    for listed, changes in published:
        locate.encode(locate.candidates(listed, frozenset()))
        message = wire.VmChanges(changes.listed, changes.gone)
        assert wire.decode(wire.encode(message)) == message
        log(names=[vm.name for vm in listed], addresses=[vm.peer_address for vm in listed])


def vm_lists():
    """Return a strategy for VM lists with an odd row, or with odd bytes."""
    return odd_cbor.changed([dict(VM_ROW, name="vm-2"), VM_ROW]) | odd_cbor.ODD_BYTES


def odd_vm_list(row) -> bytes:
    """Return a VM list with an odd row between two sound ones."""
    return cbor2.dumps([dict(VM_ROW, name="vm-1"), row, dict(VM_ROW, name="vm-2")])


class FakeDispatcher:
    """Dispatcher that checks the shares of limits and has admitted requests of one team."""

    def send(self, message) -> None:
        """Check the shares of a message."""
        if isinstance(message, messages.LimitShares):
            assert all(0 < share <= 1 for _, share in message.shares), message

    def call(self, message, timeout) -> types.SimpleNamespace:
        """Return the status."""
        return types.SimpleNamespace(team_requests=(("team", 100.0),))


class OpenMesh(mesh.Mesh):
    """Mesh task that is not run; keeps what it would send.

    Args:
      clock: Source of time.
      name: Name of the router.
      on_vms: Called with changes of the VM list received from a relay.
    """

    def __init__(self, clock: clocks.Clock, name: str = "a", on_vms=lambda changes: None):
        self.sent: list[tuple[str, bytes]] = []
        super().__init__(
            settings.RouterSettings(name, "north", advertised_peer_address="127.0.0.1:3"),
            clock,
            METERS,
            FakeDispatcher(),
            lambda head: None,
            lambda members: None,
            on_vms,
        )
        self.server.close()

    def _send(self, address: str, message) -> None:
        self.sent.append((address, wire.encode(message)))


def use_peer_message(content: bytes) -> None:
    """Handle a message of another router, and check what this router sends then."""
    message = wire.decode(content)
    clock = clocks.FakeClock()
    vm_task = watcher.VmWatcher(None, clock, lambda *found: None, METERS, "a")
    member = OpenMesh(clock, on_vms=vm_task.handle)
    member.handle(mesh.ConfigApplied(HEAD))
    member.handle(message)
    for _ in range(3):
        clock.advance(0.6)
        member.tick()
    member.handle(mesh.VmListChanged(vm_task.vms, vms.diff((), vm_task.vms)))
    for address, frame in member.sent:
        host, _, port = address.rpartition(":")
        assert host and 0 < int(port) < 65536, address
        wire.decode(frame)
    for found in member.membership.members():
        log(name=found.name, state=found.state.name.lower(), incarnation=found.incarnation)
    METERS.expose()


def peer_messages() -> st.SearchStrategy[bytes]:
    """Return a strategy for messages of another router with odd values, or odd bytes."""
    samples = [[wire.WIRE_VERSION, code, *fields] for code, fields in enumerate(PEER_MESSAGES)]
    return st.one_of([*map(odd_cbor.changed, samples), odd_cbor.ODD_BYTES])


def http_table(body: bytes) -> table.HttpTable:
    """Return a table service that responds with given bytes."""
    found = table.HttpTable(http_client.PlatformServiceSettings("127.0.0.1", 1))
    found.client = FakeClient(body)
    return found


def use_rows(body: bytes) -> None:
    """Read rows of the table service, and write one of them again."""
    rows = http_table(body).read(TABLE_KEYS)
    assert len(rows) == len(TABLE_KEYS)
    for row in filter(None, rows):
        log(key=row.key, version=store_version.text(row.version))
        table.next_version(0, row.version)
        cbor2.dumps([row.key, store_version.number_of(row.version), row.value + b""])


def use_scan(body: bytes) -> None:
    """Scan rows of the table service."""
    for row in http_table(body).scan("", 10):
        log(key=row.key.removeprefix("x"), version=store_version.text(row.version))
        row.value.hex()


def use_write_response(body: bytes) -> None:
    """Write a row; the response names the rows whose version differed."""
    http_table(body).transact([table.Write("first", table.ABSENT, b"")])


class FakeEngine:
    """Engine that reports a state with given bytes.

    Args:
      body: The JSON text.
    """

    def __init__(self, body: bytes):
        self.body = body

    def state(self, after: int) -> engine.EngineState:
        """Return the state."""
        return engine_http.decode_state("e", self.body)


def open_dispatcher(clock: clocks.Clock) -> dispatcher.Dispatcher:
    """Return a dispatcher with a configuration, which is not run."""
    found = dispatcher.Dispatcher(
        dispatcher.DispatcherSettings("north"), clock, METERS, lambda fingerprints: None
    )
    found.handle(messages.SnapshotChanged(snapshot.build(1, DOCUMENT)))
    return found


def use_engine_state(body: bytes) -> None:
    """Decode the state of an engine, record it, and choose an endpoint beside another."""
    clock = clocks.FakeClock()
    state = FakeEngine(body).state(0)
    target = open_dispatcher(clock)
    document = DOCUMENT
    name = document.endpoints[0].name
    known = engine_http.decode_state(name, json.dumps(ENGINE_STATE).encode())
    for found in (
        known,
        dataclasses.replace(state, load=dataclasses.replace(state.load, endpoint=name)),
    ):
        target.handle(messages.EndpointReport(name, found, has_gap=True))
        target.fleet.view(clock.monotonic(), 2, {})
    endpoint = watcher.EndpointWatcher(
        document.endpoints[0], lambda _: FakeEngine(body), target, clock
    )
    for _ in range(2):
        endpoint.tick()
    log(incarnation=endpoint.incarnation, last=endpoint.last_event, role=state.role)
    json.dumps(dataclasses.asdict(target.handle(messages.GetStatus())))
    f"/state?after={endpoint.last_event}".encode()
    METERS.expose()


def use_claim(value: bytes) -> None:
    """Decode the row of a claim, and write it again."""
    claim = claim_rows.decode(table.Row("claim/a", 1, value))
    log(nonce=claim.nonce, router=claim.router, since=claim.since, object=claim.response_object)
    assert claim_rows.decode(table.Row("claim/a", 1, claim_rows.encode(claim))) == claim
