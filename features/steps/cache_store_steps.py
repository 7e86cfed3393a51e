"""Steps of cache_store.feature."""

import gevent
import numpy as np
from behave import given, then, when

from bronzemux import cache_store, config, config_edit, config_store, porcelain, routing
from bronzemux import clock as clocks
from features import support
from features.steps import callers_steps, streams_steps

PIECE_TOKENS = 1024
DOCUMENT = tuple(range(1, 25))
DECIMAL_PIECE_TOKENS = 1000
STEP_SECONDS = 0.1
MAX_PROMPTS = 200
ANSWER_TOKENS = 4
CONCURRENT_PROMPTS = 8


def new_tracker(after: int = 1, rate: float = 100_000.0) -> cache_store.CacheStoreTracker:
    """Return the tracker of a router that has just started."""
    tracker = cache_store.CacheStoreTracker()
    tracker.apply(config.CacheStore("kv-cache", rate, after))
    return tracker


@given('a store with {count:d} pieces of a prompt exported by "{incarnation}"')
def step_exported(context, count, incarnation):
    context.tracker = new_tracker()
    context.tracker.record_export(DOCUMENT[:count], incarnation)


def import_offer(context, chain=DOCUMENT) -> cache_store.ImportOffer:
    """Return the import offered for a prompt while the rate is unused."""
    return context.tracker.find_import(chain, PIECE_TOKENS, 1, 0.0)


@then('{count:d} pieces are offered from "{incarnation}"')
def step_import_offer(context, count, incarnation):
    assert (import_offer(context).pieces, import_offer(context).incarnation) == (count, incarnation)


@then("{count:d} pieces are offered")
def step_offered(context, count):
    assert import_offer(context).pieces == count, import_offer(context)


@when('"{incarnation}" is found dead')
def step_found_dead(context, incarnation):
    context.tracker.record_death(incarnation)


@when('"{incarnation}", which was only unreachable, reports again')
def step_alive_again(context, incarnation):
    context.tracker.record_alive(incarnation)


@when('a late response reports that "{incarnation}" exported {count:d} pieces')
@when('"{incarnation}" exports {count:d} pieces')
def step_record_export(context, incarnation, count):
    context.tracker.record_export(DOCUMENT[:count], incarnation)


@then("a prompt with other cache keys is offered {count:d} pieces")
def step_other_keys(context, count):
    other_chain = tuple(key + len(DOCUMENT) for key in DOCUMENT)
    assert import_offer(context, other_chain).pieces == count


@given(
    "{count:d} routers that know a prefix of {pieces:d} pieces at a store of {rate:d} tokens per second"
)
def step_routers(context, count, pieces, rate):
    context.trackers = [new_tracker(rate=rate) for _ in range(count)]
    context.rate = rate
    for tracker in context.trackers:
        tracker.record_export(DOCUMENT[:pieces], "worker-1/0")


@when("all of them import it as often as allowed for {seconds:d} seconds")
def step_import_often(context, seconds):
    context.seconds = seconds
    context.imported = 0
    for step in range(int(seconds / STEP_SECONDS)):
        for tracker in context.trackers:
            found = tracker.find_import(
                DOCUMENT, PIECE_TOKENS, len(context.trackers), step * STEP_SECONDS
            )
            tracker.charge_import(found.pieces * PIECE_TOKENS)
            context.imported += found.pieces * PIECE_TOKENS


@then("at most {rate:d} tokens per second and one burst were imported")
def step_within_rate(context, rate):
    burst = rate * 2 + len(context.trackers) * len(DOCUMENT) * PIECE_TOKENS
    assert 0 < context.imported <= rate * context.seconds + burst, context.imported


@given("a store to which prefixes are exported after {count:d} requests")
def step_export_threshold(context, count):
    context.tracker = new_tracker(after=count)


def case_chain(number: int) -> tuple[int, ...]:
    """Return the piece keys of a prompt with the common document and its own case."""
    return DOCUMENT + tuple(1000 * number + level for level in range(4))


@when("{count:d} requests with one document and different cases were seen")
def step_requests_seen(context, count):
    for number in range(1, count + 1):
        context.tracker.record_prompt(case_chain(number))
        context.tracker.pieces_to_export(case_chain(number), -100.0)


def next_export(context, number: int) -> int:
    """Return the number of pieces that the next request is asked to export."""
    context.tracker.record_prompt(case_chain(number))
    return context.tracker.pieces_to_export(case_chain(number), 0.0)


@then("the next request asks for the export of {count:d} pieces")
def step_next_export(context, count):
    assert next_export(context, 90) == count


@then("the request after it asks for the export of {count:d} pieces")
def step_no_export(context, count):
    assert context.tracker.pieces_to_export(case_chain(90), 0.0) == count


@given("a development deployment whose engines compute slower than they import")
def step_development(context):
    support.start_development(context, "centre", speed=1.0, progress_seconds=5.0)


@given("an endpoint that computes {rate:d} tokens per second and holds {held:d} of 8 pieces")
def step_endpoint(context, rate, held):
    context.rate, context.held = rate, held


@when("8 pieces may be imported at {rate:d} tokens per second")
def step_may_import(context, rate):
    one = np.ones(1)
    view = routing.FleetView(
        names=("worker-1",),
        name_hashes=np.ones(1, dtype=np.uint64),
        hash_weights=one,
        rate=one * context.rate,
        wait=one * 0,
        slot_wait=one * 0,
        queue=one * 0,
        free_slots=one,
        available=one > 0,
        confidence=one,
        remote=one * 0,
    )
    offer = cache_store.ImportOffer(8, "worker-2/0", rate)
    requirements = routing.Requirements(
        DOCUMENT[:8], 8 * DECIMAL_PIECE_TOKENS, DECIMAL_PIECE_TOKENS, one > 0, offer
    )
    context.choice = routing.choose(
        view, requirements, {"worker-1": context.held}, routing.CostWeights()
    )


@then(
    "it is expected to import {pieces:d} pieces, less the fraction assumed to be cached at their home"
)
def step_expected_import(context, pieces):
    expected = round(pieces * DECIMAL_PIECE_TOKENS * (1 - routing.HOME_PROBABILITY))
    assert context.choice.imported_tokens == expected, context.choice


def ask(context, number: int) -> dict:
    """Send a prompt with the common document and its own question; return the usage."""
    deployment = context.deployment
    message = f"{support.LONG_TEXT}\nQuestion {number}"
    body = callers_steps.chat(
        messages=[{"role": "user", "content": message}], max_tokens=ANSWER_TOKENS
    )
    address, key = support.router_address(deployment), deployment.key("caseworkers")
    reply = support.send(address, "POST", callers_steps.CHAT, key, body)
    assert reply.status == 200, reply
    return reply.json()["usage"]


def ask_until(context, is_reached) -> None:
    """Send prompts, `CONCURRENT_PROMPTS` at a time, until a condition holds."""
    for first in range(0, MAX_PROMPTS, CONCURRENT_PROMPTS):
        asking = [
            gevent.spawn(ask, context, first + number) for number in range(CONCURRENT_PROMPTS)
        ]
        for greenlet in gevent.joinall(asking, raise_error=True):
            greenlet.get()
        if is_reached():
            return
    raise AssertionError("the condition does not hold after all prompts")


def router_tracker(context) -> cache_store.CacheStoreTracker:
    """Return the cache store tracker of router 1."""
    return context.deployment.routers[0].dispatcher.cache_store_tracker


@when("prompts with one document are answered until the document is exported")
def step_until_exported(context):
    ask_until(context, lambda: bool(router_tracker(context).exporters))
    context.exporter = next(iter(router_tracker(context).exporters.values()))


def exporting_engine(context):
    """Return the engine that exported the document."""
    found = [e for e in streams_steps.engines(context) if e.incarnation == context.exporter]
    return found[0]


@when("the engine that exported it crashes")
def step_crash(context):
    exporting_engine(context).crash()
    streams_steps.wait_for(
        lambda: context.exporter not in router_tracker(context).exporters.values()
    )
    context.before = {item: len(item.imports) for item in streams_steps.engines(context)}


@then("the next prompt with this document is answered with cached tokens")
def step_cached(context):
    usage = ask(context, MAX_PROMPTS + 1)
    assert usage["prompt_tokens_details"]["cached_tokens"] > 0, usage


@then("no engine imported pieces that the crashed engine exported")
def step_no_import_from_crashed(context):
    for item, count in context.before.items():
        assert all(source != context.exporter for source, _ in item.imports[count:]), item.imports


@when("a prompt with this document is answered with imported tokens")
def step_prompt_with_import(context):
    usage = ask(context, MAX_PROMPTS)
    assert usage["prompt_tokens_details"]["imported_tokens"] > 0, usage


@when("the caches of all engines are cleared")
def step_clear_caches(context):
    for engine in streams_steps.engines(context):
        engine.cache.keys.clear()


@when("the store loses all pieces")
def step_lose_pieces(context):
    context.deployment.store.pieces.clear()


@when("the engine that exported it is drained")
def step_drain(context):
    store = config_store.ConfigStore(context.deployment.platform.table, clocks.SystemClock())
    name = exporting_engine(context).settings.name
    edit = config_edit.set_drained("drained_endpoints", name, True)
    porcelain.edit_config(store, edit, "test", "drained")
    router = context.deployment.routers[0]
    streams_steps.wait_for(lambda: router.status.snapshot.version == 2)


@then("the next prompt with this document is answered without cached tokens")
def step_not_cached(context):
    usage = ask(context, MAX_PROMPTS + 1)
    assert usage["prompt_tokens_details"]["cached_tokens"] == 0, usage
