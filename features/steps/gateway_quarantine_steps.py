"""Steps for prompt parts that crash endpoints."""

import gevent
from behave import given, then, when

from bronzemux.platform import standin_store
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
    wait_until_connected(site)


def wait_until_connected(site) -> None:
    """Wait until each gateway knows all endpoints and the other gateways."""
    for gateway in site.gateways:
        gateway_support.wait_for(
            lambda g=gateway: len(g.endpoints.states) == len(site.workers)
            and len(g.routers.alive(g.clock.monotonic())) == len(site.gateways) - 1
        )


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


def send_in_turn(context, count: int, parts: str, first: int) -> None:
    """Send requests to the gateways in turn."""
    site = context.site
    for number in range(first, first + count):
        prefix = prompt_prefix(parts, number)
        body = f"{number}".encode()
        site.send("/classify/1", number % len(site.gateways), body=body, Prompt_Prefix=prefix)
        gevent.sleep(0.6)


@given('{count:d} requests with the parts "{parts}" have arrived at the gateways in turn')
def step_given_requests(context, count, parts):
    send_in_turn(context, count, parts, 0)


@when("all gateways restart at once")
def step_restart_all(context):
    site = context.site
    stopped, site.gateways = site.gateways, []
    for gateway in stopped:
        gateway_support.stop_gateway(gateway)
    for _ in stopped:
        site.add_gateway()
    wait_until_connected(site)


@when("one gateway restarts")
def step_restart_one(context):
    site = context.site
    gateway_support.stop_gateway(site.gateways.pop())
    # The name of a new gateway is derived from the number of those before it.
    site.add_gateway()
    gateway_support.wait_for(lambda: site.gateways[-1].components.quarantine.verdicts, 2.0)


@when("one gateway restarts without the store")
def step_restart_without_store(context):
    site = context.site
    gateway_support.stop_gateway(site.gateways.pop())
    site.store.fault = standin_store.Fault.BUSY
    site.add_gateway()
    gateway_support.wait_for(lambda: site.gateways[-1].components.quarantine.verdicts, 2.0)


@when('{count:d} more requests with the parts "{parts}" arrive at the gateways in turn')
def step_more_requests(context, count, parts):
    context.arrivals = sum(worker.arrivals for worker in context.site.workers.values())
    send_in_turn(context, count, parts, 500)


@then("none of the {count:d} requests reached an endpoint")
def step_no_arrival(context, count):
    arrivals = sum(worker.arrivals for worker in context.site.workers.values())
    assert arrivals == context.arrivals, arrivals - context.arrivals
