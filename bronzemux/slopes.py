"""Measurements of memory, messages and CPU time by load and fleet size, for docs/CAPACITY.md."""

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

US_PER_SECOND = 1e6
SEED = 7
CHAIN_PIECES = 40
PIECE_TOKENS = 1024
DECISION_COUNT = 300
# Fast enough that the limit on the rate of imports refuses none.
STORE_TOKENS_PER_SECOND = 1e12
CONVERGENCE_SECONDS = 90.0
OBSERVATION_SECONDS = 30.0
MEMBERS_AND_DATA_CENTRES = ((2, 1), (8, 3), (90, 15), (270, 15), (810, 15))
TEAM_COUNTS = (8, 100, 1_000, 4_000)
CLAIMS_PER_SECOND = (1, 100, 1_000)


@dataclasses.dataclass(frozen=True)
class Slope:
    """Measured values of one quantity as another is varied, with a linear fit.

    Attributes:
      component: Component of a router.
      quantity: Measured quantity.
      unit: Unit of the quantity.
      variable: Varied quantity.
      points: Pairs of the values of the variable and of the quantity.
    """

    component: str
    quantity: str
    unit: str
    variable: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares line; slope 0 for a single point."""
        x, y = zip(*self.points, strict=True)
        if len(x) < 2:
            return 0.0, y[0]
        slope, intercept = np.polyfit(x, y, 1)
        return float(slope), float(intercept)


def measure() -> Iterator[Slope]:
    """Measure all components on this machine and iterate over the results."""
    yield from (
        measure_decision_time(),
        measure_view_time(),
        measure_index_memory(),
        measure_store_memory(),
        measure_event_time(),
        measure_queue_time(),
        measure_limit_memory(),
        measure_locate_time(),
    )
    yield from measure_membership()
    yield from measure_configuration()
    yield from measure_share_messages()
    yield from measure_claim_writes()
    yield from measure_metrics_size()


def table_lines(rows: Sequence[Slope]) -> list[str]:
    """Return the lines of a Markdown table of measurements."""
    lines = [
        "| component | quantity | points | slope | intercept |",
        "| --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        slope, intercept = row.fit()
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in row.points)
        lines.append(
            f"| {row.component} | {row.quantity}, {row.unit} | {row.variable} {points} "
            f"| {slope:.4g} | {intercept:.4g} |"
        )
    return lines


def mean_call_microseconds(function: Callable[[], object], count: int) -> float:
    """Return the mean CPU time of a call in microseconds, after one unmeasured call."""
    function()
    started = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - started) / count * US_PER_SECOND


def retained_bytes(build: Callable[[], object]) -> float:
    """Return the memory in bytes that an object retains after it is built."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del retained
    return float(size)


# Data path


def build_fleet(count: int) -> fleet.Fleet:
    """Return a fleet of endpoints with four different prefill throughputs."""
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


def build_chains(count: int) -> list[tuple[int, ...]]:
    """Return chains of cache keys; groups of ten share the first half."""
    rng = random.Random(SEED)
    half = CHAIN_PIECES // 2
    shared_halves = [
        tuple(rng.getrandbits(64) for _ in range(half)) for _ in range(count // 10 + 1)
    ]
    return [
        shared_halves[n // 10] + tuple(rng.getrandbits(64) for _ in range(half))
        for n in range(count)
    ]


def measure_decision_time() -> Slope:
    """Measure the CPU time of one routing decision by number of endpoints."""
    points = []
    for count in (5, 9, 50, 100, 200, 313):
        state, index = build_fleet(count), prefix_index.PrefixIndex()
        all_chains = build_chains(DECISION_COUNT)
        for number, chain in enumerate(all_chains):
            index.insert(f"worker-{number % count}", chain)
        view = state.view(0.0, 1, {})
        allowed = state.allowed("model", "", frozenset())
        policy = policies.ReuseAndLoad()
        store = build_store_tracker(all_chains)
        chain_source = iter(all_chains * 3)

        def decide(
            state=view,
            index=index,
            allowed=allowed,
            policy=policy,
            chain_source=chain_source,
            store=store,
        ):
            chain = next(chain_source)
            stored = store.find_import(chain, PIECE_TOKENS, 1, 0.0)
            tokens = CHAIN_PIECES * PIECE_TOKENS
            requirements = routing.Requirements(chain, tokens, PIECE_TOKENS, allowed, stored)
            return policy.choose(state, requirements, index.overlaps(chain), routing.CostWeights())

        points.append((count, mean_call_microseconds(decide, DECISION_COUNT)))
    return Slope("routing", "routing decision", "us", "endpoints", tuple(points))


def build_store_tracker(all_chains: Sequence[tuple[int, ...]]) -> cache_store.CacheStoreTracker:
    """Return the tracker of a KV cache store to which one engine exported all prompts."""
    store = cache_store.CacheStoreTracker()
    store.apply(config.CacheStore("kv-cache", STORE_TOKENS_PER_SECOND, 1))
    for chain in all_chains:
        store.record_prompt(chain)
        store.record_export(chain, "worker-0/0")
    return store


def measure_store_memory() -> Slope:
    """Measure the memory of the KV cache store tracker by number of prompts."""
    points = []
    for count in (100, 1_000, 2_000):
        all_chains = build_chains(count)
        points.append((count, retained_bytes(lambda c=all_chains: build_store_tracker(c))))
    return Slope(
        "KV cache store", "memory", "bytes", f"prompts of {CHAIN_PIECES} pieces", tuple(points)
    )


def measure_view_time() -> Slope:
    """Measure the CPU time of the fleet view for one decision, by number of endpoints."""
    points = []
    for count in (5, 9, 50, 100, 200, 313):
        state = build_fleet(count)
        points.append((count, mean_call_microseconds(lambda s=state: s.view(0.0, 1, {}), 100)))
    return Slope("routing", "fleet view", "us", "endpoints", tuple(points))


def measure_index_memory() -> Slope:
    """Measure the memory of the prefix index by number of entries."""
    points = []
    for count in (10_000, 50_000, 100_000):

        def build(count=count) -> prefix_index.PrefixIndex:
            rng = random.Random(SEED)
            result = prefix_index.PrefixIndex(count)
            for number in range(count):
                result.insert(f"worker-{number % 50}", (rng.getrandbits(64),))
            return result

        points.append((count, retained_bytes(build)))
    return Slope("prefix index", "memory", "bytes", "entries", tuple(points))


def measure_event_time() -> Slope:
    """Measure the CPU time to apply cache events, by number of events."""
    points = []
    for count in (1_000, 10_000):
        rng = random.Random(SEED)
        keys = tuple(rng.getrandbits(64) for _ in range(count))
        index = prefix_index.PrefixIndex()

        def apply_events(index=index, keys=keys) -> None:
            index.insert("worker", keys)
            index.remove("worker", keys)

        points.append((2 * count, mean_call_microseconds(apply_events, 3)))
    return Slope("cache events", "CPU time", "us", "events", tuple(points))


def measure_queue_time() -> Slope:
    """Measure the CPU time of one pop and one push of the fair queue, by number of teams."""
    points = []
    for teams in (8, 100, 1_000):
        queue = admission.FairQueue(10_000)
        tickets = [
            admission.Ticket(str(n), f"team-{n % teams}", 1.0, 5, 1000.0, 1e9) for n in range(teams)
        ]
        for ticket in tickets:
            queue.push(ticket)

        def pop_and_push(queue=queue) -> None:
            ticket = queue.pop_first(lambda _: True)
            queue.push(ticket)

        points.append((teams, mean_call_microseconds(pop_and_push, 200)))
    return Slope("admission", "one pop and push", "us", "waiting teams", tuple(points))


def measure_limit_memory() -> Slope:
    """Measure the memory of the team limits by number of teams that sent a request."""
    points = []
    for count in (100, 1_000, 5_000):

        def build(count=count) -> limits.TeamLimits:
            result = limits.TeamLimits()
            for number in range(count):
                result.admit(config.Team(f"team-{number}", ()), 1.0, 0.0)
            return result

        points.append((count, retained_bytes(build)))
    return Slope("team limits", "memory", "bytes", "teams", tuple(points))


def measure_locate_time() -> Slope:
    """Measure the CPU time of one response with router addresses, by number of routers."""
    points = []
    for count in (8, 100, 810):
        routers = [
            locate.RouterAddress(f"r{n}", f"dc{n % 15}", f"127.0.0.1:{n + 1}") for n in range(count)
        ]

        def respond(routers=routers) -> bytes:
            found = locate.rank_for_caller(routers, "caller", "dc1", frozenset())
            return locate.encode(found[: locate.MAX_ADDRESSES])

        points.append((count, mean_call_microseconds(respond, 50)))
    return Slope("locate", "one response", "us", "routers", tuple(points))


# Control plane


def measure_membership() -> Iterator[Slope]:
    """Measure messages, bytes, CPU time and known members while no member joins or fails."""
    byte_rates, message_rates, cpu_percents, known_counts = [], [], [], []
    for count, data_centres in MEMBERS_AND_DATA_CENTRES:
        sizes = {f"dc{n}": count // data_centres for n in range(data_centres)}
        sizes["dc0"] += count - sum(sizes.values())
        network = fake_network.Network(sizes, SEED)
        network.run(CONVERGENCE_SECONDS)
        network.sent_bytes.clear()
        network.sent_messages.clear()
        started = time.process_time()
        network.run(OBSERVATION_SECONDS)
        elapsed = time.process_time() - started
        byte_rates.append((count, max(network.sent_bytes.values()) / OBSERVATION_SECONDS))
        message_rates.append((count, max(network.sent_messages.values()) / OBSERVATION_SECONDS))
        cpu_percents.append((count, elapsed / count / OBSERVATION_SECONDS * 100))
        entries = len(network.nodes["dc0-0"].entries)
        known_counts.append((count, float(entries)))
    yield Slope("membership", "sent by the busiest member", "bytes/s", "members", tuple(byte_rates))
    yield Slope(
        "membership", "messages of the busiest member", "1/s", "members", tuple(message_rates)
    )
    yield Slope("membership", "CPU time", "% of a core", "members", tuple(cpu_percents))
    yield Slope(
        "membership", "members known to one member", "members", "members", tuple(known_counts)
    )


def team_document(teams: int) -> str:
    """Return the text of a configuration with a number of teams."""
    lines = ['preset = "ordinary"', "endpoints = []", "[deployment]", 'name = "slopes"']
    lines += ['data_centres = ["dc"]', "[[models]]", 'name = "model"', 'weights_version = "1"']
    for preset in config.PRESET_NAMES:
        lines += ["[[presets]]", f'name = "{preset}"']
    for number in range(teams):
        digest = config.digest_key(str(number))
        lines += ["[[teams]]", f'name = "team-{number}"', f'key_digests = ["{digest}"]']
        lines += ['models = ["model"]']
    return "\n".join(lines) + "\n"


def measure_configuration() -> Iterator[Slope]:
    """Measure the cost of a configuration change at a router, by number of teams."""
    decode_times, sizes, deltas, snapshot_sizes = [], [], [], []
    for teams in TEAM_COUNTS:
        text = team_document(teams)
        changed = text.replace('name = "team-3"', 'name = "team-x"')
        encoded_heads = [
            config_store.encode(config_store.Head(v, t, "id", "operator", "now", "change"))
            for v, t in ((1, text), (2, changed))
        ]
        decode_times.append((teams, mean_call_microseconds(lambda t=text: config.loads(t), 1)))
        sizes.append((teams, float(len(encoded_heads[1]))))
        delta = config_delta.diff(1, *encoded_heads)
        deltas.append((teams, float(len(wire.encode(delta)))))
        snapshot_sizes.append(
            (teams, retained_bytes(lambda t=text: snapshot.build(1, config.loads(t))))
        )
    yield Slope("configuration", "decoding and checking", "us", "teams", tuple(decode_times))
    yield Slope("configuration", "whole head", "bytes", "teams", tuple(sizes))
    yield Slope("configuration", "delta of one change", "bytes", "teams", tuple(deltas))
    yield Slope("configuration", "memory of a snapshot", "bytes", "teams", tuple(snapshot_sizes))


def measure_share_messages() -> Iterator[Slope]:
    """Measure a demand report and its grant, by number of teams with demand."""
    sender = wire.Member("router-1", "dc", "127.0.0.1:1", 1)
    sizes, times = [], []
    for teams in (1, 10, 100):
        demand = wire.Demand(sender, tuple((f"team-{n}", 1.5) for n in range(teams)))
        allocator = shares.ShareAllocator()
        grant = allocator.allocate(demand, 8, 0.0)
        total = len(wire.encode(demand)) + len(wire.encode(grant))
        sizes.append((teams, float(total)))
        times.append(
            (teams, mean_call_microseconds(lambda a=allocator, d=demand: a.allocate(d, 8, 0.0), 50))
        )
    yield Slope(
        "team limits", "demand report and grant", "bytes", "teams with demand", tuple(sizes)
    )
    yield Slope("team limits", "allocation of a grant", "us", "teams with demand", tuple(times))


def measure_claim_writes() -> Iterator[Slope]:
    """Measure transactions and CPU time of a claim, by claims per second."""
    transactions, times = [], []
    for rate in CLAIMS_PER_SECOND:
        slow_table = SlowTable()
        clock, meters = clocks.SystemClock(), metrics.Metrics()
        claim_committer = committer.Committer(slow_table, clock, meters)
        reconciler = claim_reconciler.ClaimReconciler(claim_committer, slow_table, clock)
        claim_store = claims.Claims(
            claims.ClaimSettings("router"),
            slow_table,
            object_store.MemoryObjectStore(),
            claim_committer,
            reconciler,
            clock,
            meters,
        )
        task = gevent.spawn(claim_committer.run)
        count = max(4, rate)
        started = time.process_time()
        greenlets = []
        for number in range(count):
            greenlets.append(gevent.spawn(_claim_once, claim_store, number))
            gevent.sleep(1.0 / rate)
        gevent.joinall(greenlets, raise_error=True)
        cpu_seconds = time.process_time() - started
        task.kill()
        transactions.append((rate, claim_committer.transactions / count))
        times.append((rate, cpu_seconds / count * US_PER_SECOND))
    yield Slope("claims", "transactions per claim", "1", "claims per second", tuple(transactions))
    yield Slope("claims", "CPU time per claim", "us", "claims per second", tuple(times))


class SlowTable(table.MemoryTable):
    """In-memory table service with the write latency of one across a network."""

    WRITE_LATENCY_SECONDS = 0.01

    def transact(self, writes) -> None:
        """Apply all writes or none, after `WRITE_LATENCY_SECONDS`."""
        gevent.sleep(self.WRITE_LATENCY_SECONDS)
        super().transact(writes)


def _claim_once(claim_store: claims.Claims, number: int) -> None:
    claim = claim_store.begin("team", f"key-{number}", "content")
    response = claim_rows.StoredResponse(200, "application/json", (b"{}",))
    claim_store.finish(claim, response)


def measure_metrics_size() -> Iterator[Slope]:
    """Measure size and CPU time of one metrics exposition, by number of endpoints."""
    sizes, times = [], []
    for endpoints in (5, 50, 313):
        meters = metrics.Metrics()
        for number in range(endpoints):
            meters.decisions.labels(f"worker-{number}").inc()
        for number in range(5):
            meters.first_token.labels(f"workload-{number}").observe(0.1)
        sizes.append((endpoints, float(len(meters.expose()))))
        times.append((endpoints, mean_call_microseconds(meters.expose, 5)))
    yield Slope("metrics", "one exposition", "bytes", "endpoints", tuple(sizes))
    yield Slope("metrics", "one exposition", "us", "endpoints", tuple(times))
