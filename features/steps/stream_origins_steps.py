"""Steps for the origins of streams and the versions in service in the store."""

import types

from behave import then, when

from bronzemux import clock, errors, table
from bronzemux.gateway import (
    cluster_state,
    continuation,
    endpoints,
    meters,
    rows,
    software_history,
    stream_origins,
)
from bronzemux.platform import documents
from features import gateway_support
from features.steps import gateway_cluster_state_steps as cluster_steps

STEP_SECONDS = 0.25
SERVICE = "lm"
ONLY_BY_NAME = {"unknown": None}


class FaultyTable(table.MemoryTable):
    """Table whose calls can fail, or whose next response to a write can be lost."""

    max_writes = 10

    def __init__(self):
        super().__init__()
        self.era = stream_origins.FIRST_ERA
        self.is_failing = False
        self.is_losing = False
        self.clock = clock.FakeClock()
        self.write_seconds = 0.0

    def read(self, keys):
        """Return the rows of keys."""
        self._check()
        return super().read(keys)

    def scan(self, prefix, limit):
        """Return rows whose key starts with a prefix."""
        self._check()
        return super().scan(prefix, limit)

    def transact(self, writes):
        """Apply all writes, or none of them."""
        self._check()
        if len(writes) > self.max_writes:
            raise errors.PlatformUnavailableError(f"{len(writes)} writes are too many", "split")
        self.clock.advance(self.write_seconds)
        version = super().transact(writes)
        if self.is_losing and writes[0].key.startswith(stream_origins.ORIGIN_PREFIX):
            self.is_losing = False
            raise errors.AmbiguousWriteError("the response was lost", "read the row")
        return version

    def _check(self) -> None:
        if self.is_failing:
            raise errors.PlatformUnavailableError("the table fails", "wait")


class Router:
    """The parts of a gateway that know where streams began."""

    def __init__(self, name: str, site: "Site"):
        self.site = site
        self.is_cut = False
        self.state = cluster_state.ClusterState(
            documents.PlatformDocuments(), site.clock, endpoints.EndpointTable()
        )
        config = cluster_steps.row("config", 1, gateway_support.configuration())
        self.state.apply_rows("op", rows.Batch((config,), 1, is_snapshot=True), "store")
        self.origins = stream_origins.StreamOrigins(site.clock)
        self.history = software_history.SoftwareHistory(site.clock, self.state)
        self.history.contact_at = lambda: -1e9 if self.is_cut else site.clock.monotonic()
        self.state.on_change.append(self.history.observe)
        own = types.SimpleNamespace(name=name)
        known = types.SimpleNamespace(
            own=own,
            known=site.crowd,
            store_rank=lambda now: 0,
            alive=lambda now: [r.own for r in site.routers.values() if r.own is not own],
            current_topology=lambda now: types.SimpleNamespace(is_mesh=True),
        )
        self.own = own
        following = types.SimpleNamespace(is_needed=lambda: not self.is_cut, table=known)
        self.task = stream_origins.OriginStore(
            self.origins, self.history, site.table, following, meters.GatewayMetrics(), site.clock
        )
        self.continuation = continuation.Continuation(
            site.clock, self.state, self.origins, self.history, meters.GatewayMetrics()
        )
        self.continuation.reader = self.task
        self.continuation.entries = types.SimpleNamespace(
            apply_until=lambda at: self.read_entries()
        )
        self.read_entries()

    def read_entries(self) -> None:
        """Read the entries of the endpoints, unless the router is cut off."""
        if not self.is_cut:
            batch = rows.Batch(tuple(self.site.entries.values()), self.site.version, True)
            self.state.apply_rows("servers", batch, "store")

    def tick(self) -> None:
        """Handle the messages of the task and run its tick."""
        while not self.task.mailbox.empty():
            self.task.handle(self.task.mailbox.get())
        self.task.tick()

    def begin(self, name: str) -> None:
        """Record that a stream began at the first endpoint."""
        entry = min(self.state.endpoints.states.values(), key=lambda s: s.endpoint.id).endpoint
        origin = stream_origins.StreamOrigin(SERVICE, entry.software, entry.id, entry.started_at_ms)
        self.origins.note(stream_origins.origin_key("", name), origin)


class Site:
    """Store, endpoints and routers with one fake clock."""

    def __init__(self):
        self.clock = clock.FakeClock()
        self.clock.advance(1000.0)
        self.table = FaultyTable()
        self.table.clock = self.clock
        self.version = 1
        self.entries: dict[str, rows.Row] = {}
        self.routers: dict[str, Router] = {}
        self.crowd: dict[str, None] = {}
        self.copied = self.table.copy()
        self.latest = ""

    def run(self, events: str) -> None:
        """Let events happen that are separated by semicolons."""
        for event in events.split(";"):
            name, *arguments = event.split()
            getattr(self, f"do_{name}")(*arguments)

    def do_start(self, name: str) -> None:
        """Start a router."""
        self.latest = name
        self.routers[name] = Router(name, self)

    def do_stop(self, name: str) -> None:
        """End a router without notice."""
        del self.routers[name]

    def do_add(self, identity: str, software: str) -> None:
        """Register an endpoint, or another start of it."""
        self.version += 1
        born = 1000 + self.version
        entry = cluster_steps.entry(f"lm-{identity}", version=software, born=born)
        self.entries[identity] = cluster_steps.row(f"lm-{identity}", self.version, entry)
        self._read_entries()

    do_replace = do_add

    def do_drop(self, identity: str) -> None:
        """Remove the entry of an endpoint."""
        self.version += 1
        del self.entries[identity]
        self._read_entries()

    def _read_entries(self) -> None:
        for router in self.routers.values():
            router.read_entries()

    def do_wait(self, seconds: str, paused: str = "") -> None:
        """Let time pass, in which all routers but a paused one run."""
        for _ in range(round(float(seconds) / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for name, router in list(self.routers.items()):
                if name != paused:
                    router.tick()

    def do_pause(self, name: str, seconds: str) -> None:
        """Let time pass without one router."""
        self.do_wait(seconds, name)

    def do_cut(self, name: str) -> None:
        """Partition a router from the store and the others."""
        self.routers[name].is_cut = True

    def do_heal(self, name: str = "") -> None:
        """End a partition, or the failures of the store."""
        if name:
            self.latest = name
            self.routers[name].is_cut = False
            self.routers[name].read_entries()
        self.table.is_failing = False

    def do_fail(self) -> None:
        """Let all calls to the store fail."""
        self.table.is_failing = True

    def do_slow(self, seconds: str) -> None:
        """Let each write take some time."""
        self.table.write_seconds = float(seconds)

    def do_lose(self) -> None:
        """Let the next response to a write be lost."""
        self.table.is_losing = True

    def do_copy(self) -> None:
        """Copy the store."""
        self.copied = self.table.copy()

    def do_restore(self) -> None:
        """Restore the store from the copy."""
        self.table.restore(self.copied)

    def do_begin(self, name: str) -> None:
        """Begin a stream at the first router."""
        next(iter(self.routers.values())).begin(name)

    def do_flood(self, count: str) -> None:
        """Begin many streams at once at the first router."""
        for number in range(int(count)):
            self.do_begin(f"r{number}")

    def do_write(self, key: str, value: str) -> None:
        """Write odd bytes to a row, whatever it holds."""
        known = self.table.rows.get(key)
        version = known.version if known else table.ABSENT
        self.table.transact([table.Write(key, version, bytes.fromhex(value))])

    def do_crowd(self, count: str) -> None:
        """Let the routers know some others."""
        self.crowd.update(dict.fromkeys(f"vm-{n}" for n in range(int(count))))


@when("these things happen at the routers: {events}")
def step_new_events(context, events):
    context.origin_site = Site()
    context.origin_site.run(events)


@when("these things happen: {events}")
def step_more_events(context, events):
    context.origin_site.run(events)


@then("the version that began all streams is {version}")
def step_only_version(context, version):
    site = context.origin_site
    found = site.routers[site.latest].history.only_version(SERVICE)
    assert found == ONLY_BY_NAME.get(version, version), found


@then("the store has the origins of no streams")
def step_no_origins(context):
    found = context.origin_site.table.scan(stream_origins.ORIGIN_PREFIX, 100)
    assert not found, found


@then("the store has the origins of the streams {names}")
def step_origins(context, names):
    site = context.origin_site
    reader = Router("reader", site).task
    for name in names.split(" and "):
        origin = reader.read(stream_origins.origin_key("", name))
        assert origin is not None and origin.software == "v1", (name, origin)
    assert len(site.table.scan(stream_origins.ORIGIN_PREFIX, 100)) == len(names.split(" and "))


@then("the store has the origins of {count:d} streams")
def step_origin_count(context, count):
    found = context.origin_site.table.scan(stream_origins.ORIGIN_PREFIX, 500)
    assert len(found) == count, len(found)


@then("a caller that resumes the stream {name} goes on at {software} without waiting")
def step_resume_at_once(context, name, software):
    site = context.origin_site
    router = site.routers[site.latest]
    job = types.SimpleNamespace(
        request=types.SimpleNamespace(id="later", resumes=name),
        team=None,
        service=SERVICE,
        origin=None,
    )
    started_at = site.clock.monotonic()
    router.continuation.resume(job)
    assert job.origin.software == software
    assert site.clock.monotonic() == started_at, site.clock.monotonic() - started_at


@then("the origin of the stream {name} is not known")
def step_not_known(context, name):
    site = context.origin_site
    assert site.routers[site.latest].task.read(name) is None


@then("{seconds:d} seconds later the routers have made no more transactions")
def step_no_transactions(context, seconds):
    site = context.origin_site
    made = site.table.transactions
    site.do_wait(str(seconds))
    assert site.table.transactions == made, site.table.transactions - made


@then(
    "a router with {count:d} new streams in {seconds:d} seconds makes at most {limit:d} transactions"
)
def step_limited(context, count, seconds, limit):
    site = context.origin_site
    made = site.table.transactions
    started_at, begun = site.clock.monotonic(), 0
    while (passed := site.clock.monotonic() - started_at) < seconds:
        while begun < count * passed / seconds:
            site.do_begin(f"r{begun}")
            begun += 1
        site.do_wait(str(STEP_SECONDS))
    assert 0 < site.table.transactions - made <= limit, site.table.transactions - made
