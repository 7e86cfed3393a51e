"""Steps for placement by what the requests on one endpoint cost each other."""

import hashlib
import json
import random

import cbor2
from behave import given, then, when

from bronzemux.gateway import (
    cache_index,
    endpoints,
    gossip,
    grouping,
    http1,
    model,
    placement,
    relaying,
    settings,
)
from bronzemux.platform import documents, headers
from features import engine_simulation, gateway_support

MODEL = engine_simulation.MODEL
SECONDS = 8.0
# Digest of the choices that version 0.2.0 makes on the states of `drawn_choices`.
CHOICES_OF_0_2 = "fb365b74b6ac3e4dabb63936d3c2a7cf33d8420c39c0af1b1634b1f5bda9e27e"


def drawn_states(draw: random.Random) -> list[endpoints.EndpointState]:
    """Return endpoints with drawn loads, failures, weights and data centres."""
    states = []
    for number in range(draw.choice((3, 9, 40))):
        place = draw.choice("abc")
        entry = model.Endpoint(f"e{number}", "lm", f"10.0.1.{number}:1", place, 16)
        state = endpoints.EndpointState(entry)
        state.weights[MODEL] = draw.choice((1, 2, 2, 2))
        state.in_flight, state.backlog_tokens = draw.randrange(20), draw.random() * 20_000
        state.memory_tokens, state.slowdown = draw.randrange(90_000), 0.5 + draw.random()
        state.failures, state.failed_at = draw.choice((0.0, 0.0, 1.0)), 9.0
        load = endpoints.EndpointLoad(draw.randrange(9), draw.random() * 9000, 0.0, 5000)
        state.peer_loads[endpoints.LoadSource("r")] = (load, 9.8)
        states.append(state)
    return states


def drawn_prompt(draw: random.Random) -> model.Prompt:
    """Return a prompt with shared parts of drawn lengths."""
    shared, own = draw.choice((100, 3000, 6000)), draw.randrange(30, 3000)
    parts = (model.PromptPart(f"p{draw.randrange(9)}", shared), model.PromptPart("own", own))
    return model.Prompt(MODEL, shared + own, draw.randrange(2, 90), parts)


def drawn_choices(count: int) -> str:
    """Return a digest of the choices on drawn states, without the switch."""
    draw, digest = random.Random(48), hashlib.sha256()
    for _ in range(count):
        states, index = drawn_states(draw), cache_index.CacheIndex()
        for _ in range(30):
            prompt, state = drawn_prompt(draw), draw.choice(states)
            salt = placement.cache_salt(MODEL, state.weights[MODEL], "")
            for key, tokens in cache_index.prefix_keys(salt, prompt.shared_parts):
                holder = draw.choice((state.endpoint.incarnation, "10.0.9.9:1"))
                index.add(cache_index.PrefixRecord(key, tokens, holder, 9.9), 60_000, False)
        view = placement.GatewayView("a", index, (("10.0.9.9:1", "b"),))
        memory = draw.choice((0, 80_000))
        for _ in range(5):
            limits = (0.4, draw.choice((1, 2)), 2, 32, draw.random() < 0.2, memory)
            requirements = placement.Requirements(drawn_prompt(draw), "", *limits)
            choice = placement.choose_engine(states, requirements, view, 10.0)
            found = None
            if choice is not None:
                backup = choice.backup.endpoint.id if choice.backup else ""
                where = (choice.state.endpoint.id, choice.weights, choice.fetch_from, backup)
                figures = (choice.save_to, choice.cached_tokens, choice.candidate_count)
                found = (*where, *figures, round(choice.expected_seconds, 9))
            digest.update(repr(found).encode())
    return digest.hexdigest()


@then("{count:d} choices on drawn states are those of version 0.2.0")
def step_same_choices(context, count):
    found = drawn_choices(count // 5)
    assert found == CHOICES_OF_0_2, found


@then("a report without writers has the values of version 0.2.0")
def step_same_report(context):
    router = gossip.Router("b", 1, "10.0.0.1:1", "10.0.0.1:2", "a", True)
    status = gossip.Status(router, "own", {}, loads=(gossip.Load("e1", 2, 3, 4, 5),))
    encoded = gossip.encode(status)
    assert cbor2.loads(encoded)[1][5] == [["e1", 2, 3, 4, 5]], cbor2.loads(encoded)
    assert gossip.decode(encoded) == status


@then(
    "a route with {pause} ms, {kind}, to an engine with {stride:d} tokens an event gives "
    "{tokens:d} tokens"
)
def step_switch(context, pause, kind, stride, tokens):
    route = gateway_support.route("r", kind, "lm")
    if pause != "no":
        route["target_gap_ms"] = int(pause)
    engine = {"slots": 16, "kv_capacity_tokens": 90_000, "stride": stride}
    document = gateway_support.configuration(routes=[route])
    document["services"] = [{"name": "lm", "engine": engine}]
    config = documents.decode_configuration(json.dumps(document).encode())
    found = grouping.tokens_per_event(config, config.services["lm"], least_pause())
    assert found == tokens, found


def least_pause() -> float:
    """Return the pause objective from which the default settings switch on."""
    return settings.GatewaySettings("vm-1", "a", *["127.0.0.1:1"] * 5).min_pause_objective_seconds


@then("prompts of 600 tokens and 90 at most, with these estimates, mostly write or not")
def step_estimates(context):
    for row in context.table:
        text = (
            "POST /a HTTP/1.1\r\nRequest-Id: 1\r\nModel: m0\r\nToken-Counts: 600,90\r\n"
            f"Length-Hint: {row['estimate']}"
        )
        head = http1.parse_head(text.encode())
        prompt = headers.PlatformProtocol().decode_request(head, b"").prompt
        assert grouping.is_writer(prompt, 6) == (row["writes"] == "yes"), (row, prompt)


@then("a report with writers reaches another router, and one without counts as none")
def step_report(context):
    states = {"e1": engine_states(2)[0], "e2": engine_states(2)[1]}
    states = {state.endpoint.id: state for state in states.values()}
    router = gossip.Router("b", 1, "10.0.0.1:1", "10.0.0.1:2", "a", True)
    for first, second in ((3, 0), (0, 0)):
        loads = (gossip.Load("e0", 5, 0, 0, 9, first), gossip.Load("e1", 5, 0, 0, 9, second))
        status = gossip.decode(gossip.encode(gossip.Status(router, "own", {}, loads=loads)))
        relaying.apply_loads(states, status, 1.0)
        found = [state.all_loads(1.0)[4] for state in states.values()]
        assert found == [first, second], found


def engine_states(count: int) -> list[endpoints.EndpointState]:
    """Return the states of endpoints without load."""
    kinds: tuple = ()
    return engine_simulation.Simulation([1.0] * count, kinds, True, router_count=1).tables[0]


@given("{count:d} engines, of which each third one is {factor:g} times slower")
def step_engines(context, count, factor):
    context.slow = [factor if number % 3 == 2 else 1.0 for number in range(count)]
    context.stops = {}


@given("engine {number:d} stops from second {first:g} to {last:g}")
def step_stops(context, number, first, last):
    context.stops = {number: (first, last, 30.0)}


@when("{notes:d} short prompts with long answers and {verdicts:d} long prompts arrive each second")
def step_run(context, notes, verdicts):
    context.simulations = []
    for is_grouped in (False, True):
        kinds = [
            engine_simulation.dataclasses.replace(engine_simulation.NOTES, rate=float(notes)),
            engine_simulation.dataclasses.replace(engine_simulation.VERDICTS, rate=float(verdicts)),
        ]
        simulation = engine_simulation.Simulation(context.slow, kinds, is_grouped)
        for number, stop in context.stops.items():
            simulation.engines[number - 1].stops.append(stop)
        simulation.run(SECONDS)
        context.simulations.append(simulation)


@then("at most {percent:d} percent of the {kind} are late, and {factor:g} times as many without")
def step_late(context, percent, kind, factor):
    before, after = (s.late_fraction(s.kinds[kind == "long prompts"]) for s in context.simulations)
    assert after <= percent / 100, (before, after)
    assert before >= factor * after, (before, after)


@then("at most {percent:d} percent as many requests of both kinds together are late")
def step_fewer(context, percent):
    before, after = (sum(run.is_late for run in s.runs) for s in context.simulations)
    assert after <= before * percent / 100, (before, after)


@then("every request has its response")
def step_whole(context):
    missing = [run for run in context.simulations[1].runs if run.done_at is None]
    assert not missing, len(missing)


@when("two routers place {count:d} streams at once, before either hears of the other's")
def step_two_routers(context, count):
    kind = engine_simulation.NOTES
    simulation = engine_simulation.Simulation(context.slow, [kind], True, router_count=2)
    simulation.report()
    for _ in range(count):
        simulation.arrive(kind)
    context.simulation = simulation


@then("no endpoint gets more streams than it has slots")
def step_no_herd(context):
    counts = [
        sum(table[number].in_flight for table in context.simulation.tables)
        for number in range(len(context.slow))
    ]
    assert max(counts) <= context.simulation.slots, counts


@then("their groups differ by at most {count:d} endpoint(s)")
def step_groups(context, count):
    groups = [
        grouping.writer_group(table, {state.endpoint.id: state.all_loads(0.0) for state in table})
        for table in context.simulation.tables
    ]
    assert len(groups[0] ^ groups[1]) <= count, groups
