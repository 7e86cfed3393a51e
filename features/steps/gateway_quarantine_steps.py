"""Steps for prompt parts that crash endpoints."""

import gevent
from behave import given, then, when

from features import gateway_support

# Prompt parts that precede the request's own one in sound requests.
SOUND_PARTS = "top,sound"


def prompt_prefix(parts: str, number: int) -> str:
    """Return the header that describes a prompt with some shared parts and one of its own."""
    names = [*parts.format(n=number).split(","), f"own-{number}"]
    return ",".join(f"{name.encode().hex()}:20" for name in names)


@given(
    'a site of {gateways:d} gateways and {count:d} model endpoints that crash on the part "{part}"'
)
def step_site(context, gateways, count, part):
    site = context.site = gateway_support.Site()
    context.cleanups.append(site.stop)
    site.store.put("op", "config", gateway_support.configuration())
    for number in range(count):
        worker = site.add_worker(f"lm-{number}", "lm", {gateway_support.MODEL: 1})
        worker.crashing_parts = frozenset({part.encode().hex()})
    for _ in range(gateways):
        site.add_gateway()
    for gateway in site.gateways:
        gateway_support.wait_for(lambda g=gateway: len(g.endpoints.states) == count)
        gateway_support.wait_for(lambda g=gateway: len(g.routers.alive(g.clock.monotonic())) > 0)


def crashed(site) -> int:
    """Return how many endpoints have crashed."""
    return sum(worker.has_crashed for worker in site.workers.values())


@when(
    '{count:d} requests with the parts "{parts}" arrive at the gateways in turn, each after a sound one'
)
def step_requests(context, count, parts):
    site = context.site
    context.replies, context.sound = [], []
    for number in range(count):
        index = number % len(site.gateways)
        prefix = prompt_prefix(SOUND_PARTS, 1000 + number)
        sound = site.send("/classify/1", index, Prompt_Prefix=prefix)
        context.sound.append((crashed(site), sound))
        before = sum(worker.arrivals for worker in site.workers.values())
        prefix = prompt_prefix(parts, number)
        reply = site.send("/classify/1", index, body=f"{number}".encode(), Prompt_Prefix=prefix)
        arrived = sum(worker.arrivals for worker in site.workers.values()) - before
        context.replies.append((reply, arrived))
        gevent.sleep(0.6)


@then("at most {count:d} endpoints have crashed")
def step_crashes(context, count):
    assert crashed(context.site) <= count, crashed(context.site)


@then("the last {count:d} requests with the part got {status:d} and ran nowhere")
def step_refused(context, count, status):
    found = [(reply.status, arrived) for reply, arrived in context.replies[-count:]]
    assert found == [(status, 0)] * count, found


@then("every sound request after the last crash got 200")
def step_sound(context):
    final = crashed(context.site)
    found = [reply.status for count, reply in context.sound if count == final]
    assert found and set(found) == {200}, found
