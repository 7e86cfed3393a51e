"""Decoders of the gateway for untrusted documents, each with what follows a decoded value.

Each function raises the decoder's typed error, or nothing.
"""

import json

import cbor2
import gevent
from hypothesis import strategies as st

from bronzemux import clock as clocks
from bronzemux import http_client, logs
from bronzemux.gateway import (
    cache_index,
    cluster_state,
    endpoints,
    gossip,
    meters,
    model,
    peering,
    placement,
    relaying,
    routers,
    rows,
    usage_caps,
    weights,
)
from bronzemux.platform import boot, documents, fields, store
from features import gateway_fleet, gateway_support, odd_values

MODEL = gateway_support.MODEL
ENTRY = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": MODEL, "version": 1, "adapters": []}],
    "sequence": 1,
    "born": 1000,
}
CAP = {"rate_per_s": 9000, "burst": 9000.5, "unit": "token_stream", "uncached_tokens": 50}
CONFIGURATION = gateway_support.configuration(
    routes=[
        gateway_support.route(
            "filing", "safe", "app", split=[{"service": "app", "weight": 1}], resumable=True
        ),
        gateway_support.route("draft", "stream", "lm"),
    ],
    services=[
        *gateway_support.configuration()["services"],
        {"name": "kv", "kv_store_addr": "10.0.0.2:1", "zone": "a", "kv_capacity_tokens": 1000},
    ],
    tenants=[{"name": "clerks", "api_keys": ["key-clerks"], **CAP}],
)
SETTINGS = {
    "node_name": "front-a-1",
    "zone": "a",
    "zones": {"a": "r"},
    "listen": {name: "10.0.0.1:1" for name in ("front", "ready", "control", "directory")},
    "port_range": [7340, 7355],
    "seeds": ["10.0.0.1:3"],
    "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 150, "max_fds": 4100},
    "bounds": {"grace_s": 8, "config_ms": 2000},
    "platform": {"address": "10.200.1.7:8784"},
}
PAGE = {
    "rows": [{"table": "op", "part": "", "key": "config", "row_version": 3, "value": "e30="}],
    "has_more": False,
    "row_version": 3,
}
METERS = meters.GatewayMetrics()


def as_json(sample: dict) -> st.SearchStrategy[bytes]:
    """Return a strategy for texts of a document with odd values, and for other bytes."""
    texts = odd_values.changed(sample).map(lambda found: json.dumps(found).encode())
    return texts | st.binary(max_size=60)


def log(**pairs) -> None:
    """Write a log line as the gateway would."""
    message = {"timestamp": 1.0, "message_type": "generated", **pairs}
    logs.format_line(message).encode()


def choose(table: endpoints.EndpointTable, now: float) -> None:
    """Choose endpoints for a plain request and for one with a prompt."""
    view = placement.GatewayView("a", cache_index.CacheIndex())
    parts = (model.PromptPart("a", 50), model.PromptPart("b", 50))
    requirements = placement.Requirements(
        model.Prompt(MODEL, 100, 10, parts), "", 1.0, 0, 1, 10, True, 1000
    )
    placement.choose_plain(list(table.states.values()), view, now)
    placement.choose_engine(list(table.of_model(MODEL)), requirements, view, now)


def use_entry(data: bytes) -> None:
    """Decode an entry, put the endpoint in use beside another, and announce it to a peer."""
    decoders = documents.PlatformDocuments()
    found = decoders.decode_endpoint("odd", data)
    table, clock = endpoints.EndpointTable(), clocks.FakeClock()
    tracker = weights.WeightsTracker(table, clock)
    for endpoint in (found, decoders.decode_endpoint("sound", json.dumps(ENTRY).encode())):
        table.put(endpoint, 0.0)
        table.states[endpoint.id].record_latency(0.1)
        table.states[endpoint.id].in_flight = 2
    log(id=found.id, service=found.service, weights=dict(found.weights), slots=found.slots)
    choose(table, 0.0)
    states = list(table.states.values())
    weights.loading_limit(states, 0.0)
    weights.endpoints_to_order(states, MODEL, 2, set(), 0.0)
    for name, version in found.weights.items():
        tracker.record_version(table.states["odd"], name, version + 1, is_loading=False)
    audience = routers.Audience.FELLOW
    status = gossip.Status(
        gossip.Router("b", 1, "10.0.0.1:1", "10.0.0.1:2", "a", True),
        "own",
        {},
        loads=relaying.loads_for(table.states, audience, 0.0),
        weights=tracker.updates_for(audience),
    )
    assert gossip.decode(gossip.encode(status)) == status
    change = gossip.RowsChange("servers", 1, rows.Batch((rows.Row("odd", 2, data),), 2, False))
    assert gossip.decode(gossip.encode(change)) == change


def use_configuration(data: bytes) -> None:
    """Decode a configuration, look up a request in it, and use its limits."""
    config = documents.PlatformDocuments().decode_operator("config", data)
    config.route(gateway_support.HOST, "/filing/1")
    team = config.team("key-clerks")
    if team is not None and team.usage_cap is not None:
        use_cap(team.usage_cap)
    METERS.config_version.set(config.version)
    log(version=config.version, routes=len(config.routes))
    seconds = [config.limits.head_timeout_seconds, config.limits.idle_timeout_seconds]
    seconds += [r.timeout_seconds for found in config.routes.values() for r in found]
    for value in seconds:
        gevent.Timeout(value).close()
    for service in config.services.values():
        tokens = service.engine.cache_tokens if service.engine else service.cache_tokens
        int(tokens * cache_index.CACHE_FRACTION)
        service.name.encode()
    METERS.expose()


def use_cap(cap: model.UsageCap) -> None:
    """Charge requests to a cap that was decoded."""
    owned, borrower = usage_caps.OwnedCap(cap, 0.0), usage_caps.Borrower(0.0)
    router = gossip.Router("a", 1, "10.0.0.9:1", "10.0.0.9:2", "a", True)
    for serial in range(3):
        waiting = [cap.units(model.Request("r", "GET", "/", "h"))]
        request = borrower.request(router, "clerks", serial, waiting, 0.1 * serial)
        owned.refill(cap, 0.5, 0.1 * serial)
        borrower.apply(gossip.decode(gossip.encode(owned.answer(request, router))), 0.1 * serial)
        borrower.try_spend_unowned(waiting[0], cap, 100.0, (3, 2), 0.1 * serial)


def use_target(data: bytes) -> None:
    """Decode a weights target, record it, and announce it to a peer."""
    target = documents.PlatformDocuments().decode_operator(f"version/{MODEL}", data)
    clock = clocks.FakeClock()
    state = cluster_state.ClusterState(
        documents.PlatformDocuments(), clock, endpoints.EndpointTable()
    )
    state.record_target(target.model, target.version, 0.0)
    state.target(target.model).newest_before(1.0)
    log(model=target.model, version=target.version)


def use_settings(data: bytes) -> None:
    """Decode a settings file."""
    found = boot.decode(fields.load(data))
    log(name=found.name, memory=found.memory_bytes, cores=found.cpu_cores)
    gossip.encode_router(
        gossip.Router(found.name, 1, found.peer_address, "", found.data_centre, False)
    )


def use_message(data: bytes) -> None:
    """Decode a message of another router, handle it, choose an endpoint and answer."""
    message = gossip.decode(data)
    fleet = gateway_fleet.Fleet({"a1": 1.0})
    fleet.store.put(1)
    fleet.store.put_entry()
    fleet.run(0.6)
    member = fleet.gateways["a1"]
    member.peering.handle(message)
    member.peering.handle(peering.AnnounceNow())
    fleet.run(0.6)
    choose(member.endpoints, fleet.clock.monotonic())
    member.run_housekeeping()
    member.expose()


def use_registration(data: bytes) -> None:
    """Decode the registration of a router, and connect to it."""
    table = routers.RouterTable(gossip.Router("a", 1, "10.0.0.9:1", "10.0.0.9:2", "a", True))
    table.add_known(gossip.decode_router(data), 0.0)
    table.addresses("a", 0.0)
    table.status_targets(0.0)


def use_page(data: bytes) -> None:
    """Decode a response of the store, apply the rows, and send them to a peer."""
    client = FakeClient(data)
    source = store.StoreRows("10.0.0.1:1", 1.0, store.StoreEra())
    source.read_client = client
    batch = source.read("servers")
    state = cluster_state.ClusterState(
        documents.PlatformDocuments(), clocks.FakeClock(), endpoints.EndpointTable()
    )
    state.apply_rows("servers", batch, "store")
    change = gossip.RowsChange("servers", 1, batch)
    assert gossip.decode(gossip.encode(change)) == change


class FakeClient:
    """Client of a store whose only response has given bytes.

    Args:
      data: Body of the response.
    """

    def __init__(self, data: bytes):
        self.data = data
        self.calls = 0

    def exchange(self, method, path, body, is_write) -> http_client.Response:
        """Return the response; the second one is an empty last page."""
        self.calls += 1
        last_page = b'{"rows":[],"row_version":9}'
        return http_client.Response(200, {}, self.data if self.calls == 1 else last_page)


STATUS = [
    "status",
    [
        ["b1", 1, "10.0.0.7:1", "10.0.0.7:2", "b", True, 1.5, 7],
        "own",
        {"op": 1, "servers": 2},
        True,
        12345,
        [["lm-1", 3, 120, 250, 9000]],
        [["lm-1/1000", MODEL, 1, False]],
        [[b"12345678", 50, "lm-1/1000", 250]],
        [["lm-1/1000", ["aa", "bb"]]],
        3,
        [[MODEL, 1, 2500]],
        [["10.0.0.1:1", 77]],
        ["lm-1/1000"],
    ],
]
ROW = ["lm-1", 9, json.dumps(ENTRY).encode(), False]
MESSAGES = (
    STATUS,
    ["quarantine", [STATUS[1][0], "own", [["lm-1/1000", [[["a", "b"], 20]]]], ["c"], []]],
    ["quarantine", [STATUS[1][0], "own", [], [], [[["a"], "lm-1/1000", 20, 60_000]]]],
    ["usage-request", ["b1", 1, "10.0.0.7:1", "clerks", 3, 900, 900, 400, 10, 20, 30]],
    ["usage-grant", ["b1", "clerks", 3, 900, 250, True]],
    ["roster-request", [STATUS[1][0]]],
    ["roster-reply", ["b1", "view", [STATUS[1][0]]]],
    ["rows-request", ["servers", "10.0.0.7:1"]],
    ["rows-reply", ["servers", [[ROW], 9, True]]],
    ["rows-change", ["servers", 2, [[ROW], 9, False], True]],
)
MESSAGE_BYTES = st.one_of([odd_values.changed(sample) for sample in MESSAGES]).map(
    lambda found: cbor2.dumps(odd_values.encodable(found))
) | st.binary(max_size=60)
REGISTRATION_BYTES = odd_values.changed(STATUS[1][0]).map(
    lambda found: cbor2.dumps(odd_values.encodable(found))
)
