"""Slopes of state, messages and processor time, measured for docs/CAPACITY.md."""

import dataclasses
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence

import gevent
import numpy as np

from bronzemux import (
    admission,
    cache_store,
    claim_reconciler,
    claim_rows,
    claims,
    committer,
    config,
    config_delta,
    config_store,
    fake_network,
    fleet,
    limits,
    locate,
    metrics,
    object_store,
    policies,
    prefix_index,
    routing,
    shares,
    snapshot,
    table,
    wire,
)
from bronzemux import clock as clocks

MICROSECONDS = 1e6
SEED = 7
CHAIN_PIECES = 40
PIECE_TOKENS = 1024
DECISIONS = 300
STORE_TOKENS_PER_SECOND = 1e12
SETTLE_SECONDS = 90.0
OBSERVED_SECONDS = 30.0
REGIONAL_MEMBERS = ((2, 1), (8, 3), (90, 15), (270, 15), (810, 15))
TEAM_COUNTS = (8, 100, 1_000, 4_000)
CLAIM_RATES = (1, 100, 1_000)


@dataclasses.dataclass(frozen=True)
class Slope:
    """How one quantity grows with another.

    Attributes:
      role: Part of a router.
      quantity: What was measured.
      unit: Unit of the quantity.
      variable: What was varied.
      points: Values of the variable and of the quantity.
    """

    role: str
    quantity: str
    unit: str
    variable: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares line."""
        x, y = zip(*self.points, strict=True)
        if len(x) < 2:
            return 0.0, y[0]
        slope, intercept = np.polyfit(x, y, 1)
        return float(slope), float(intercept)


def measure() -> Iterator[Slope]:
    """Iterate over the slopes of all roles, measured on this machine."""
    yield from (
        decision_time(),
        view_time(),
        index_memory(),
        store_memory(),
        event_time(),
        queue_time(),
        limit_memory(),
        locate_time(),
    )
    yield from membership()
    yield from configuration()
    yield from share_messages()
    yield from claim_writes()
    yield from metrics_size()


def table_lines(rows: Sequence[Slope]) -> list[str]:
    """Return slopes as lines of a table in Markdown."""
    lines = ["| role | quantity | points | slope | at 0 |", "| --- | --- | --- | --- | --- |"]
    for row in rows:
        slope, intercept = row.fit()
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in row.points)
        lines.append(
            f"| {row.role} | {row.quantity}, {row.unit} | {row.variable} {points} "
            f"| {slope:.4g} | {intercept:.4g} |"
        )
    return lines


def each_time(function: Callable[[], object], count: int) -> float:
    """Return the mean processor time of a call in microseconds."""
    function()
    started = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - started) / count * MICROSECONDS


def memory_of(build: Callable[[], object]) -> float:
    """Return the bytes that a new object keeps."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return float(size)


# Data path


def fleet_of(count: int) -> fleet.Fleet:
    """Return a fleet of endpoints of differing sizes."""
    result = fleet.Fleet("dc")
    endpoints = tuple(
        config.Endpoint(
            name=f"worker-{number}",
            data_centre="dc",
            address=f"127.0.0.1:{number + 1}",
            models=("model",),
            prefill_tokens_per_second=10_000.0 * (1 + number % 4),
        )
        for number in range(count)
    )
    document = config.Config(
        config.Deployment("slopes", ("dc",)), "ordinary", (), (), (), endpoints
    )
    result.apply(document, config.Preset("ordinary"))
    return result


def chains(count: int) -> list[tuple[int, ...]]:
    """Return chains that share their first half in groups of ten."""
    source = random.Random(SEED)
    half = CHAIN_PIECES // 2
    heads = [tuple(source.getrandbits(64) for _ in range(half)) for _ in range(count // 10 + 1)]
    return [
        heads[n // 10] + tuple(source.getrandbits(64) for _ in range(half)) for n in range(count)
    ]


def decision_time() -> Slope:
    """Measure one decision over a number of endpoints."""
    points = []
    for count in (5, 9, 50, 100, 200, 313):
        state, known = fleet_of(count), prefix_index.PrefixIndex()
        all_chains = chains(DECISIONS)
        for number, chain in enumerate(all_chains):
            known.insert(f"worker-{number % count}", chain)
        view = state.view(0.0, 1, {})
        allowed = state.allowed("model", "", frozenset())
        policy = policies.ReuseAndLoad()
        store = store_of(all_chains)
        turn = iter(all_chains * 3)

        def decide(state=view, known=known, allowed=allowed, policy=policy, turn=turn, store=store):
            chain = next(turn)
            stored = store.find_import(chain, PIECE_TOKENS, 1, 0.0)
            tokens = CHAIN_PIECES * PIECE_TOKENS
            demand = routing.Requirements(chain, tokens, PIECE_TOKENS, allowed, stored)
            return policy.choose(state, demand, known.overlaps(chain), routing.CostWeights())

        points.append((count, each_time(decide, DECISIONS)))
    return Slope("routing", "one decision", "us", "endpoints", tuple(points))


def store_of(all_chains: Sequence[tuple[int, ...]]) -> cache_store.CacheStoreTracker:
    """Return knowledge of a KV cache store to which one engine exported all prompts."""
    store = cache_store.CacheStoreTracker()
    store.apply(config.CacheStore("kv-cache", STORE_TOKENS_PER_SECOND, 1))
    for chain in all_chains:
        store.record_prompt(chain)
        store.record_export(chain, "worker-0/0")
    return store


def store_memory() -> Slope:
    """Measure the memory of the knowledge of the KV cache store."""
    points = []
    for count in (100, 1_000, 2_000):
        all_chains = chains(count)
        points.append((count, memory_of(lambda c=all_chains: store_of(c))))
    return Slope(
        "KV cache store", "memory", "bytes", f"prompts of {CHAIN_PIECES} pieces", tuple(points)
    )


def view_time() -> Slope:
    """Measure the view of the fleet that a decision needs."""
    points = []
    for count in (5, 9, 50, 100, 200, 313):
        state = fleet_of(count)
        points.append((count, each_time(lambda s=state: s.view(0.0, 1, {}), 100)))
    return Slope("routing", "one view of the fleet", "us", "endpoints", tuple(points))


def index_memory() -> Slope:
    """Measure the memory of the prefix index."""
    points = []
    for count in (10_000, 50_000, 100_000):

        def build(count=count) -> prefix_index.PrefixIndex:
            source = random.Random(SEED)
            result = prefix_index.PrefixIndex(count)
            for number in range(count):
                result.insert(f"worker-{number % 50}", (source.getrandbits(64),))
            return result

        points.append((count, memory_of(build)))
    return Slope("prefix index", "memory", "bytes", "entries", tuple(points))


def event_time() -> Slope:
    """Measure the intake of cache events."""
    points = []
    for count in (1_000, 10_000):
        source = random.Random(SEED)
        keys = tuple(source.getrandbits(64) for _ in range(count))
        known = prefix_index.PrefixIndex()

        def take(known=known, keys=keys) -> None:
            known.insert("worker", keys)
            known.remove("worker", keys)

        points.append((2 * count, each_time(take, 3)))
    return Slope("event intake", "processor time", "us", "events", tuple(points))


def queue_time() -> Slope:
    """Measure one entry into and one exit from the fair queue."""
    points = []
    for teams in (8, 100, 1_000):
        queue = admission.FairQueue(10_000)
        tickets = [
            admission.Ticket(str(n), f"team-{n % teams}", 1.0, 5, 1000.0, 1e9) for n in range(teams)
        ]
        for ticket in tickets:
            queue.push(ticket)

        def turn(queue=queue) -> None:
            ticket = queue.pop_first(lambda _: True)
            queue.push(ticket)

        points.append((teams, each_time(turn, 200)))
    return Slope("admission", "one entry and exit", "us", "teams that wait", tuple(points))


def limit_memory() -> Slope:
    """Measure the memory of the limits of teams that were seen."""
    points = []
    for count in (100, 1_000, 5_000):

        def build(count=count) -> limits.TeamLimits:
            result = limits.TeamLimits()
            for number in range(count):
                result.admit(config.Team(f"team-{number}", ()), 1.0, 0.0)
            return result

        points.append((count, memory_of(build)))
    return Slope("team limits", "memory", "bytes", "teams", tuple(points))


def locate_time() -> Slope:
    """Measure one answer to the question which router to use."""
    points = []
    for count in (8, 100, 810):
        routers = [
            locate.RouterAddress(f"r{n}", f"dc{n % 15}", f"127.0.0.1:{n + 1}") for n in range(count)
        ]

        def answer(routers=routers) -> bytes:
            found = locate.rank_for_caller(routers, "caller", "dc1", frozenset())
            return locate.encode(found[: locate.MAX_ADDRESSES])

        points.append((count, each_time(answer, 50)))
    return Slope("locate", "one answer", "us", "routers", tuple(points))


# Control


def membership() -> Iterator[Slope]:
    """Measure messages, bytes and processor time of members that are at rest."""
    sent, frames, spent, kept = [], [], [], []
    for count, data_centres in REGIONAL_MEMBERS:
        sizes = {f"dc{n}": count // data_centres for n in range(data_centres)}
        sizes["dc0"] += count - sum(sizes.values())
        network = fake_network.Network(sizes, SEED)
        network.run(SETTLE_SECONDS)
        network.sent_bytes.clear()
        network.sent_messages.clear()
        started = time.process_time()
        network.run(OBSERVED_SECONDS)
        elapsed = time.process_time() - started
        sent.append((count, max(network.sent_bytes.values()) / OBSERVED_SECONDS))
        frames.append((count, max(network.sent_messages.values()) / OBSERVED_SECONDS))
        spent.append((count, elapsed / count / OBSERVED_SECONDS * 100))
        entries = len(network.nodes["dc0-0"].entries)
        kept.append((count, float(entries)))
    yield Slope("membership", "sent by the busiest", "bytes/s", "members", tuple(sent))
    yield Slope("membership", "messages of the busiest", "1/s", "members", tuple(frames))
    yield Slope("membership", "processor time", "% of a core", "members", tuple(spent))
    yield Slope("membership", "members known to one", "members", "members", tuple(kept))


def document_text(teams: int) -> str:
    """Return a configuration with a number of teams."""
    lines = ['preset = "ordinary"', "endpoints = []", "[deployment]", 'name = "slopes"']
    lines += ['data_centres = ["dc"]', "[[models]]", 'name = "model"', 'weights_version = "1"']
    for preset in config.PRESET_NAMES:
        lines += ["[[presets]]", f'name = "{preset}"']
    for number in range(teams):
        digest = config.digest_key(str(number))
        lines += ["[[teams]]", f'name = "team-{number}"', f'key_digests = ["{digest}"]']
        lines += ['models = ["model"]']
    return "\n".join(lines) + "\n"


def configuration() -> Iterator[Slope]:
    """Measure a change of the configuration at a router."""
    decoded, sizes, deltas, memories = [], [], [], []
    for teams in TEAM_COUNTS:
        text = document_text(teams)
        changed = text.replace('name = "team-3"', 'name = "team-x"')
        heads = [
            config_store.encode(config_store.Head(v, t, "id", "operator", "now", "change"))
            for v, t in ((1, text), (2, changed))
        ]
        decoded.append((teams, each_time(lambda t=text: config.loads(t), 1)))
        sizes.append((teams, float(len(heads[1]))))
        delta = config_delta.diff(1, *heads)
        deltas.append((teams, float(len(wire.encode(delta)))))
        memories.append((teams, memory_of(lambda t=text: snapshot.build(1, config.loads(t)))))
    yield Slope("configuration", "decoding and checking", "us", "teams", tuple(decoded))
    yield Slope("configuration", "whole head", "bytes", "teams", tuple(sizes))
    yield Slope("configuration", "difference of one change", "bytes", "teams", tuple(deltas))
    yield Slope("configuration", "memory of a snapshot", "bytes", "teams", tuple(memories))


def share_messages() -> Iterator[Slope]:
    """Measure reports of demand and grants."""
    sender = wire.Member("router-1", "dc", "127.0.0.1:1", 1)
    sizes, times = [], []
    for teams in (1, 10, 100):
        demand = wire.Demand(sender, tuple((f"team-{n}", 1.5) for n in range(teams)))
        keeper = shares.ShareAllocator()
        grant = keeper.allocate(demand, 8, 0.0)
        total = len(wire.encode(demand)) + len(wire.encode(grant))
        sizes.append((teams, float(total)))
        times.append((teams, each_time(lambda k=keeper, d=demand: k.allocate(d, 8, 0.0), 50)))
    yield Slope("team limits", "report and grant", "bytes", "teams in demand", tuple(sizes))
    yield Slope("team limits", "one grant", "us", "teams in demand", tuple(times))


def claim_writes() -> Iterator[Slope]:
    """Measure transactions and processor time of claims at several rates."""
    transactions, times = [], []
    for rate in CLAIM_RATES:
        service = SlowTable()
        clock, meters = clocks.SystemClock(), metrics.Metrics()
        writer = committer.Committer(service, clock, meters)
        repeater = claim_reconciler.ClaimReconciler(writer, service, clock)
        keeper = claims.Claims(
            claims.ClaimSettings("router"),
            service,
            object_store.MemoryObjectStore(),
            writer,
            repeater,
            clock,
            meters,
        )
        task = gevent.spawn(writer.run)
        count = max(4, rate)
        started = time.process_time()
        jobs = []
        for number in range(count):
            jobs.append(gevent.spawn(_claim_once, keeper, number))
            gevent.sleep(1.0 / rate)
        gevent.joinall(jobs, raise_error=True)
        spent = time.process_time() - started
        task.kill()
        transactions.append((rate, writer.transactions / count))
        times.append((rate, spent / count * MICROSECONDS))
    yield Slope("claims", "transactions a claim", "1", "claims a second", tuple(transactions))
    yield Slope("claims", "processor time a claim", "us", "claims a second", tuple(times))


class SlowTable(table.MemoryTable):
    """Table service in memory that takes as long as one across the network."""

    SECONDS = 0.01

    def transact(self, writes) -> None:
        """Apply all writes or none, after a pause."""
        gevent.sleep(self.SECONDS)
        super().transact(writes)


def _claim_once(keeper: claims.Claims, number: int) -> None:
    claim = keeper.begin("team", f"key-{number}", "content")
    answer = claim_rows.StoredResponse(200, "application/json", (b"{}",))
    keeper.finish(claim, answer)


def metrics_size() -> Iterator[Slope]:
    """Measure one reading of the metrics."""
    sizes, times = [], []
    for endpoints in (5, 50, 313):
        meters = metrics.Metrics()
        for number in range(endpoints):
            meters.decisions.labels(f"worker-{number}").inc()
        for number in range(5):
            meters.first_token.labels(f"workload-{number}").observe(0.1)
        sizes.append((endpoints, float(len(meters.expose()))))
        times.append((endpoints, each_time(meters.expose, 5)))
    yield Slope("metrics", "one reading", "bytes", "endpoints", tuple(sizes))
    yield Slope("metrics", "one reading", "us", "endpoints", tuple(times))
