"""Steps for the choice of the endpoint for a request."""

import collections
import dataclasses
import hashlib
import random

import gevent
from behave import given, then, when

from bronzemux import clock
from bronzemux.gateway import cache_index, cache_store_watcher, endpoints, model, placement, waiting

MODEL = "m1"
# Digest of the choices that version 0.2.0 makes on the states of `drawn_choices`.
CHOICES_OF_0_2 = "89113406b262a0ac64da13f23e2da6beccc0d22e75328897bbf569f7009e2108"
OBJECTIVE_SECONDS = 0.6
CACHE_TOKENS = 100_000
STORE_ADDRESS = "10.9.9.9:1"
PREFILL_TOKENS_PER_SECOND = 40_000.0
TAIL_TOKENS = 500


def make_endpoints(count: int, service: str, weights) -> list[endpoints.EndpointState]:
    """Return endpoints without load."""
    found = []
    for number in range(1, count + 1):
        entry = model.Endpoint(f"e{number}", service, f"10.0.0.{number}:80", "a", 6, False, weights)
        state = endpoints.EndpointState(entry)
        state.update(entry)
        found.append(state)
    return found


@given("{count:d} model endpoints with empty caches")
def step_engines(context, count):
    context.states = make_endpoints(count, "lm", {MODEL: 1})
    context.index = cache_index.CacheIndex()
    context.stores = ()
    context.weights_requirements = {}
    context.min_weights = 0
    context.slow = {}


@given("a cache store")
def step_store(context):
    context.stores = ((STORE_ADDRESS, "a"),)


@given(
    "endpoint {number:d} has weights {version:d}, which the operator requested {seconds:g} seconds "
    "ago"
)
def step_newer(context, number, version, seconds):
    context.states[number - 1].weights[MODEL] = version
    context.current_weights = version if seconds > 1.5 else 0
    context.min_weights = version if seconds > 9.0 else 0
    context.weights_requirements = {"current_weights": context.current_weights}


@given("the oldest allowed weights are {version:d}")
def step_least(context, version):
    context.min_weights = version


@given("endpoint {number:d} is {factor:g} times slower than expected")
def step_slow(context, number, factor):
    context.slow[number - 1] = factor
    context.states[number - 1].slowdown = factor


@given("endpoint {number:d} is loading weights")
def step_loading(context, number):
    context.states[number - 1].loading[MODEL] = endpoints.LoadOrder(2, 10.0)


def prompt_of(prefix: int, tokens: int) -> model.Prompt:
    """Return a prompt with one shared part and one unshared part."""
    parts = (model.PromptPart(f"p{prefix}", tokens), model.PromptPart("own", TAIL_TOKENS))
    return model.Prompt(MODEL, tokens + TAIL_TOKENS, 10, parts)


def choose(context, prompt: model.Prompt, now: float) -> placement.Choice | None:
    """Choose the endpoint for one request."""
    view = placement.GatewayView("a", context.index, context.stores)
    requirements = placement.Requirements(
        prompt,
        "",
        OBJECTIVE_SECONDS,
        context.min_weights,
        context.weights_requirements.get("current_weights", 0),
        128,
    )
    return placement.choose_engine(context.states, requirements, view, now)


@when(
    "{count:d} requests with {prefixes:d} prefixes are placed by {routers:d} routers without load"
)
def step_agree(context, count, prefixes, routers):
    context.endpoints_by_prefix = collections.defaultdict(set)
    for router in range(routers):
        context.index = cache_index.CacheIndex()
        for number in range(count):
            choice = choose(context, prompt_of(number % prefixes, 3000), float(router))
            context.endpoints_by_prefix[number % prefixes].add(choice.state.endpoint.id)


@then("each prefix is placed on one endpoint")
def step_together(context):
    assert all(
        len(found) == 1 for found in context.endpoints_by_prefix.values()
    ), context.endpoints_by_prefix


class SimulatedEndpoints:
    """Simulated endpoints that prefill prompts one after the other and cache all prefixes.

    Args:
      context: The scenario.
    """

    def __init__(self, context):
        self.context = context
        self.free_at = collections.defaultdict(float)
        self.prefills = collections.Counter()
        self.cached = collections.defaultdict(set)
        self.counts = collections.Counter()
        self.delays = []
        self.running = []

    def run(self, choice: placement.Choice, prompt: model.Prompt, now: float) -> None:
        """Let an endpoint prefill a prompt."""
        state = choice.state
        name = state.endpoint.id
        prefix = prompt.parts[0].id
        source = choice.fetch_from
        started_at = max(now, self.free_at[name])
        is_cached = any(p == prefix and at <= started_at for p, at in self.cached[name])
        is_fetchable = any(p == prefix and at <= started_at for p, at in self.cached[source])
        tokens = TAIL_TOKENS if is_cached or is_fetchable else prompt.tokens
        if not is_cached and not is_fetchable:
            self.prefills[prefix] += 1
        number = self.context.states.index(state)
        seconds = tokens / PREFILL_TOKENS_PER_SECOND * self.context.slow.get(number, 1.0)
        self.free_at[name] = started_at + seconds
        for holder in (name, state.endpoint.address):
            self.cached[holder].add((prefix, started_at + seconds))
        if choice.save_to:
            self.cached[choice.save_to].add((prefix, started_at + seconds + 0.05))
        self.counts[number] += 1
        self.delays.append(started_at + seconds - now)
        state.in_flight += 1
        state.backlog_tokens += choice.prefill_tokens
        self.running.append((started_at + seconds, choice))

    def end_finished(self, now: float) -> None:
        """End the requests whose prompts have been prefilled."""
        for item in [item for item in self.running if item[0] <= now]:
            self.running.remove(item)
            item[1].state.in_flight -= 1
            item[1].state.backlog_tokens -= item[1].prefill_tokens


def record_prefixes(context, choice: placement.Choice, prompt: model.Prompt, now: float) -> None:
    """Record the expected prefixes as the gateway does for an attempt."""
    keys = cache_index.prefix_keys(choice.salt, prompt.shared_parts)
    for key, tokens in keys:
        ready_at = now + choice.expected_seconds
        incarnation = choice.state.endpoint.incarnation
        context.index.add(
            cache_index.PrefixRecord(key, tokens, incarnation, ready_at), CACHE_TOKENS, True
        )
        if choice.save_to:
            saved = cache_index.PrefixRecord(key, tokens, choice.save_to, ready_at + 0.1)
            context.index.add(saved, CACHE_TOKENS, True)


def run_load(context, rate: int, prefixes: int, tokens: int, seconds: int) -> None:
    """Place requests that arrive at a constant rate."""
    context.simulation = SimulatedEndpoints(context)
    for number in range(rate * seconds):
        now = 10.0 + number / rate
        context.simulation.end_finished(now)
        prompt = prompt_of(number % prefixes, tokens)
        choice = choose(context, prompt, now)
        record_prefixes(context, choice, prompt, now)
        context.simulation.run(choice, prompt, now)


@when(
    "{rate:d} requests per second with one prefix of {tokens:d} tokens arrive for {seconds:d} seconds"
)
def step_hot(context, rate, tokens, seconds):
    run_load(context, rate, 1, tokens, seconds)


@when(
    "{rate:d} requests per second with {prefixes:d} prefixes of {tokens:d} tokens arrive for "
    "{seconds:d} second"
)
@when(
    "{rate:d} requests per second with {prefixes:d} prefixes of {tokens:d} tokens arrive for "
    "{seconds:d} seconds"
)
def step_many(context, rate, prefixes, tokens, seconds):
    run_load(context, rate, prefixes, tokens, seconds)


def share(context, number: int) -> float:
    """Return the percentage of the requests that an endpoint got."""
    return 100 * context.simulation.counts[number] / sum(context.simulation.counts.values())


@then("no endpoint gets more than {percent:g} percent of them")
def step_no_more(context, percent):
    shares = [share(context, number) for number in range(len(context.states))]
    assert max(shares) <= percent, shares


@then("at most {percent:g} percent of the first tokens are late")
def step_late(context, percent):
    late = sum(delay > OBJECTIVE_SECONDS for delay in context.simulation.delays)
    assert 100 * late / len(context.simulation.delays) <= percent, late


@then("each prefix is prefilled at most {count:d} times")
def step_reads(context, count):
    assert max(context.simulation.prefills.values()) <= count, context.simulation.prefills


@then("endpoint {number:d} gets more than any other, but at most {percent:g} percent")
def step_more(context, number, percent):
    shares = [share(context, n) for n in range(len(context.states))]
    assert shares[number - 1] == max(shares) and shares[number - 1] <= percent, shares


@then("endpoint {number:d} gets all requests")
def step_all(context, number):
    assert share(context, number - 1) == 100


@then("endpoint {number:d} gets at most {percent:g} percent")
def step_at_most(context, number, percent):
    assert share(context, number - 1) <= percent, context.simulation.counts


@then("no endpoint is chosen")
def step_none(context):
    assert choose(context, prompt_of(1, 100), 1.0) is None


@then(
    'the cache salts of teams "{first}" and "{second}" with weights {old:d} and {new:d} are {same}'
)
@then('the cache salts of teams "" and "" with weights {old:d} and {new:d} are {same}')
@then('the cache salts of teams "{first}" and "" with weights {old:d} and {new:d} are {same}')
def step_salts(context, old, new, same, first="", second=""):
    left = placement.cache_salt(MODEL, old, first)
    right = placement.cache_salt(MODEL, new, second)
    assert (left == right) == (same == "equal"), (left, right)


@given("an endpoint that caches up to {tokens:d} tokens")
def step_cache_size(context, tokens):
    context.index = cache_index.CacheIndex()
    context.capacity = tokens


@when("{count:d} prefixes of {tokens:d} tokens are prefilled there")
def step_read(context, count, tokens):
    for number in range(count):
        item = cache_index.PrefixRecord(bytes([number]), tokens, "e1", 0.0)
        context.index.add(item, context.capacity, is_own=True)


@then("the last {last:d} are assumed to be cached, and the first {first:d} not")
def step_held(context, last, first):
    held = [context.index.holds("e1", bytes([number])) for number in range(first + last)]
    assert held == [False] * first + [True] * last, held
    assert context.index.tokens["e1"] <= context.capacity


@given("{count:d} plain endpoints")
def step_plain(context, count):
    context.states = make_endpoints(count, "app", {})
    context.view = placement.GatewayView("a", cache_index.CacheIndex())


@when("endpoint {number:d} fails {count:d} requests in a row")
def step_fails(context, number, count):
    for step in range(count):
        context.states[number - 1].record_failure(step * 0.05)


@then("the next {count:d} requests go to other endpoints")
def step_elsewhere(context, count):
    for step in range(count):
        choice = placement.choose_plain(context.states, context.view, 0.3 + step * 0.01)
        assert choice.state is not context.states[0]


@then("{seconds:g} seconds later it gets requests again")
def step_again(context, seconds):
    for state in context.states[1:]:
        state.in_flight = 1
    choice = placement.choose_plain(context.states, context.view, seconds)
    assert choice.state is context.states[0]


@when("{count:d} requests are placed and do not end")
def step_stay(context, count):
    for _ in range(count):
        placement.choose_plain(context.states, context.view, 1.0).state.in_flight += 1


@then("each endpoint has {least:d} to {most:d} of them")
def step_spread(context, least, most):
    found = [state.in_flight for state in context.states]
    assert all(least <= count <= most for count in found), found


@when(
    "requests of urgency 5, 0 and 3 wait, and one of urgency 9 has waited for {seconds:g} seconds"
)
def step_wait(context, seconds):
    queue = waiting.WaitQueue()
    context.wake_order = []

    def wait(urgency: int, since: float) -> None:
        queue.wait("lm", urgency, since, 5.0)
        context.wake_order.append(urgency)

    greenlets = [gevent.spawn(wait, urgency, 100.0) for urgency in (5, 0, 3)]
    greenlets.append(gevent.spawn(wait, 9, 100.0 - seconds))
    gevent.sleep(0.01)
    queue.wake()
    gevent.joinall(greenlets, timeout=5.0)


@then("they are woken in the order 9, 0, 3, 5")
def step_order(context):
    assert context.wake_order == [9, 0, 3, 5], context.wake_order


class ScriptedCacheStoreClient(cache_store_watcher.CacheStoreClient):
    """Client that returns a scripted state of the cache store."""

    def __init__(self):
        self.state = cache_store_watcher.CacheStoreState(5, 1)

    def await_changes(self, address, since, seconds):
        """Return the scripted state."""
        return self.state


@given("a cache store with a known prefix")
def step_known_store(context):
    context.cache_store_client = ScriptedCacheStoreClient()
    context.watcher = cache_store_watcher.CacheStoreWatcher(
        context.cache_store_client, context.index, lambda: STORE_ADDRESS, clock.FakeClock()
    )
    context.watcher.watch_once(STORE_ADDRESS)
    keys = cache_index.prefix_keys("m1/1", prompt_of(1, 3000).shared_parts)
    context.key = keys[0][0]
    context.index.add(
        cache_index.PrefixRecord(context.key, 3000, STORE_ADDRESS, 0.0), CACHE_TOKENS, True
    )


@when("the cache store {does}")
def step_store_does(context, does):
    reported_states = {
        "answers as before": [cache_store_watcher.CacheStoreState(5, 2)],
        "restarts": [cache_store_watcher.CacheStoreState(6, 1)],
        "does not answer": [None],
        "answers again after an outage": [None, cache_store_watcher.CacheStoreState(5, 1)],
    }
    for state_reported in reported_states[does]:
        context.cache_store_client.state = state_reported
        context.watcher.watch_once(STORE_ADDRESS)


@then("requests {verb} it as a source, and its prefixes are {state}")
def step_fetch_source(context, verb, state):
    context.stores = ((STORE_ADDRESS, "a"),) if context.index.is_store_up(STORE_ADDRESS) else ()
    choice = choose(context, prompt_of(1, 3000), 1.0)
    assert (choice.fetch_from == STORE_ADDRESS) == (verb == "name"), choice
    assert context.index.holds(STORE_ADDRESS, context.key) == (state == "known")


@then("at most {most:d} of {count:d} endpoints are estimated for a request")
def step_estimated(context, most, count):
    assert len(context.states) == count
    loads = {state.endpoint.id: state.load(2.0) for state in context.states}
    view = placement.GatewayView("a", context.index, context.stores)
    requirements = placement.Requirements(prompt_of(1, 6000), "", OBJECTIVE_SECONDS, 0, 0, 128)
    prefix = placement.describe_prefix(context.states, 1, requirements, view, 2.0)
    found = list(placement.shortlist(context.states, loads, prefix))
    assert placement.SHORTLIST_SIZE <= len(found) <= most, len(found)


@given('cache stores in the data centres "{first}" and "{second}"')
def step_stores(context, first, second):
    context.stores = tuple((f"store-{centre}", centre) for centre in (first, second))


def set_data_centre(state: endpoints.EndpointState, data_centre: str) -> None:
    """Set the data centre of an endpoint."""
    state.endpoint = dataclasses.replace(state.endpoint, data_centre=data_centre)


@when(
    "{count:d} requests with 300 prefixes are placed at endpoints in data centres "
    '"{one}" and "{two}"'
)
def step_place_at(context, count, one, two):
    context.stores_by_prefix = collections.defaultdict(set)
    for data_centre in (one, two):
        for state in context.states:
            set_data_centre(state, data_centre)
        for number in range(count):
            choice = choose(context, prompt_of(number, 3000), 1.0)
            context.stores_by_prefix[number] |= {choice.save_to, choice.fetch_from}


@then("each prefix is saved to, and fetched from, one store wherever its endpoint is")
def step_one_store(context):
    assert all(
        len(found) == 1 for found in context.stores_by_prefix.values()
    ), context.stores_by_prefix


@then("each store has at least {least:d} prefixes")
def step_share(context, least):
    counts = collections.Counter(
        address for found in context.stores_by_prefix.values() for address in found
    )
    assert len(counts) == len(context.stores) and min(counts.values()) >= least, counts


@given("endpoint 2 {condition}")
def step_second(context, condition):
    state = context.states[1]
    if condition == "has weights 2":
        state.weights[MODEL] = 2
    elif condition == "has 1 request in flight":
        state.in_flight = 1
    elif condition == "has failed 3 times":
        for _ in range(3):
            state.record_failure(1.0)
    else:
        set_data_centre(state, "b")


@when("a request that must not be retried is placed on endpoint 1")
def step_backed_up(context):
    first = context.states[0]
    weights = 1
    context.backup = placement.choose_backup(context.states, first, weights, MODEL, 1.0)


@then("its backup goes to endpoint {number:d}")
def step_backup(context, number):
    assert context.backup is context.states[number - 1]


@given("each endpoint has {count:d} of 6 slots taken")
def step_taken(context, count):
    for state in context.states:
        assert state.endpoint.slots == 6
        state.in_flight = count


@then("no backup is made")
def step_no_backup(context):
    assert context.backup is None


@given("running requests take {first:d} and {second:d} of 10000 memory tokens there")
def step_memory(context, first, second):
    source = endpoints.LoadSource("vm-2")
    context.states[0].memory_tokens = first
    context.states[1].peer_loads[source] = (endpoints.EndpointLoad(memory=second), 1.0)


@when("a request of {tokens:d} tokens is placed, with a limit of {most:d} tokens per endpoint")
def step_place_large(context, tokens, most):
    view = placement.GatewayView("a", context.index, context.stores)
    prompt = model.Prompt(MODEL, tokens - 10, 10)
    requirements = placement.Requirements(
        prompt, "", OBJECTIVE_SECONDS, 0, 0, 128, max_memory_tokens=most
    )
    context.choice = placement.choose_engine(context.states, requirements, view, 1.1)


@then("it goes to {where}")
def step_goes(context, where):
    if where == "no endpoint yet":
        assert context.choice is None
    elif where == "endpoint 2":
        assert context.choice.state is context.states[1]
    else:
        assert context.choice is not None


@given("a router that knows no cached prefixes")
def step_empty_index(context):
    context.index = cache_index.CacheIndex()


@when("{count:d} random changes are made to the index of {holders:d} holders")
def step_random_changes(context, count, holders):
    rng = random.Random(count)
    for _ in range(count):
        holder, key = f"e{rng.randrange(holders)}", bytes([rng.randrange(40)])
        action = rng.random()
        if action < 0.8:
            item = cache_index.PrefixRecord(key, 100, holder, 0.0)
            context.index.add(item, 1500, is_own=False)
        elif action < 0.97:
            context.index.drop(holder, key)
        else:
            context.index.forget(holder)


@then("the index names exactly the holders of each prefix")
def step_holders(context):
    index = context.index
    keys = [bytes([number]) for number in range(40)]
    expected = {key: {h for h, found in index.prefixes.items() if key in found} for key in keys}
    assert any(expected.values())
    assert {key: set(index.holders_of(key)) for key in keys} == expected
    assert set(index.holders) == {key for key, holders in expected.items() if holders}


@when("a peer reports {count:d} requests at endpoint {number:d} at {seconds:g} seconds")
def step_peer_reports(context, count, number, seconds):
    report = (endpoints.EndpointLoad(requests=count), seconds)
    context.states[number - 1].peer_loads[endpoints.LoadSource("vm-2")] = report


@when(
    "a relay reports {count:d} requests of all routers at endpoint {number:d} at {seconds:g} "
    "seconds"
)
def step_relay_reports(context, count, number, seconds):
    report = (endpoints.EndpointLoad(requests=count), seconds)
    context.states[number - 1].peer_loads[endpoints.ALL_ROUTERS] = report


@when("this router has told its relay of {count:d} of these requests at endpoint {number:d}")
def step_reported(context, count, number):
    context.states[number - 1].reported = endpoints.EndpointLoad(requests=count)


@then("endpoint {number:d} has {count:d} requests at {seconds:g} seconds")
def step_load_is(context, number, count, seconds):
    state = context.states[number - 1]
    assert state.load(seconds)[0] == count, state.load(seconds)
    assert state.all_loads(seconds)[0] == count, state.all_loads(seconds)


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
