"""Steps for prompt parts that crash endpoints."""

import types

import gevent
from behave import given, then, when

from bronzemux import clock, quarantine, table
from bronzemux.gateway import (
    crash_attribution,
    gossip,
    quarantine_gossip,
    routers,
    verdict_store,
)
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
    send_after_sound(
        context,
        count,
        lambda number: prompt_prefix(SOUND_PARTS, number),
        lambda number: prompt_prefix(parts, number),
    )


@when(
    '{count:d} requests with {before:d} {kind} parts before "{part}" arrive at the gateways in turn, '
    "each after a sound one"
)
def step_requests_after_parts(context, count, before, kind, part):
    def prefix(number: int, last: str) -> str:
        owner = number if kind == "new" else 0
        length = "many" if kind == "misdescribed" else "1"
        names = [f"{owner:04x}{n:04x}:{length}" for n in range(before)]
        return ",".join([*names, f"{last.encode().hex()}:20", f"{number:08x}:20"])

    send_after_sound(
        context, count, lambda number: prefix(number, "sound"), lambda number: prefix(number, part)
    )


def send_after_sound(context, count: int, sound_prefix, prefix) -> None:
    """Send requests to the gateways in turn, each after a sound one.

    Args:
      count: Number of requests of each kind.
      sound_prefix: Returns the description of a sound prompt by number.
      prefix: Returns that of a prompt that crashes endpoints.
    """
    site = context.site
    context.replies, context.sound = [], []
    for number in range(count):
        index = number % len(site.gateways)
        sound = site.send("/classify/1", index, Prompt_Prefix=sound_prefix(1000 + number))
        context.sound.append((crashed(site), sound))
        before = sum(worker.arrivals for worker in site.workers.values())
        reply = site.send(
            "/classify/1", index, body=f"{number}".encode(), Prompt_Prefix=prefix(number)
        )
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


# What gateways tell each other


def make_attribution(context) -> crash_attribution.CrashAttribution:
    """Return the attribution of crashes of a gateway that has met none."""
    context.clock = clock.FakeClock()
    context.clock.advance(1000.0)
    return gateway_support.crash_attribution_of(context.clock)


@when(
    "two endpoints crash with {count:d} requests of {parts:d} parts each, of which one part is the "
    "same"
)
def step_long_crashes(context, count, parts):
    crashes = make_attribution(context)
    exchange = quarantine_gossip.QuarantineGossip(crashes, context.clock, lambda: None)
    context.reports = []
    for incarnation in ("lm-1/1", "lm-2/1"):
        context.clock.advance(1.0)
        lost = []
        for number in range(count):
            names = [f"{incarnation}-{number}-{part}" for part in range(parts - 1)]
            names.insert(number, "dead")
            lost.append(quarantine.LostRequest(tuple(names), context.clock.monotonic()))
        crashes.apply_crash(incarnation, lost, "own")
        for listener in crashes.on_crash:
            listener(incarnation, lost)
        context.reports += exchange.crash_updates.pop_all(routers.Audience.FELLOW)


@then("the reports of the crashes have at most {count:d} fingerprints")
def step_report_size(context, count):
    assert len(context.reports) == 2
    for report in context.reports:
        found = sum(len(item.fingerprints) for item in report.lost)
        assert 0 < found <= count, found


@then("the report of the second crash has that part of each request")
def step_report_part(context):
    assert all("dead" in item.fingerprints for item in context.reports[1].lost)


@then(
    "of {verdicts:d} verdicts of {members:d} fingerprints a message has at most {count:d} fingerprints"
)
def step_verdict_messages(context, verdicts, members, count):
    crashes = make_attribution(context)
    exchange = quarantine_gossip.QuarantineGossip(crashes, context.clock, lambda: None)
    for number in range(verdicts):
        crashes.apply_verdict(make_verdict(context, number, members), "test")
    now = context.clock.monotonic()
    (message,) = exchange.messages_for(
        gossip.Router("vm-1", 1, "127.0.0.1:1", "127.0.0.1:2", "a", True),
        routers.Audience.FELLOW,
        now,
        True,
    )
    found = sum(len(item.members) for item in message.verdicts)
    assert members <= found <= count, found


def make_verdict(context, number: int, members: int) -> quarantine.Verdict:
    """Return a verdict with some members that no other one has."""
    names = frozenset(f"{number}-{member}" for member in range(members))
    return quarantine.Verdict(names, f"e{number}/1", context.clock.monotonic(), 120.0)


@then("a verdict of {long:d} fingerprints is not written to the store, one of {short:d} is")
def step_verdict_rows(context, long, short):
    crashes, service = make_attribution(context), table.MemoryTable()
    following = types.SimpleNamespace(is_needed=lambda: True)
    task = verdict_store.VerdictStore(crashes, service, following, context.clock)
    for number, members in enumerate((long, short)):
        verdict = make_verdict(context, number, members)
        crashes.apply_verdict(verdict, "test")
        for listener in crashes.on_verdict:
            listener(verdict)
    task.tick()
    (row,) = service.scan(verdict_store.KEY_PREFIX, 10)
    assert row.key == verdict_store.row_key(make_verdict(context, 1, short))
