"""Steps of usage_caps.feature."""

import collections
import json
import random

import eliot
import gevent
from behave import given, then, when

from bronzemux.gateway import failures, gossip, model, rows, usage_caps
from bronzemux.platform import documents, fields
from features import claims_model, gateway_fleet, gateway_support, usage_model

CAP = model.UsageCap(290_000.0, 290_000.0)
CHARGES = {
    "borrow from an owner": usage_model.BorrowingRouters,
    "grant an equal share each": lambda cap, names: usage_model.BucketPerRouter(cap, names, 1 / 90),
    "keep a bucket of the cap each": usage_model.BucketPerRouter,
}
# Seconds before the first request, in which the empty bucket fills.
START_SECONDS = 2.0
CALM_SECONDS = 6.0
HOT_SECONDS = 6.0
MACHINE_EXAMPLES = 100
MACHINE_STEPS = 40


@given("{count:d} routers that {charge}")
def step_routers(context, count, charge):
    context.names = [f"r{number}" for number in range(count)]
    context.simulation = CHARGES[charge](CAP, context.names)
    context.random = random.Random(f"{charge} 1")
    context.offered = []
    run_until(context, START_SECONDS, 0.0)


def run_until(context, end, rate, share=0.02, sizes=None):
    """Let requests arrive at a rate in units a second, a share of them at two routers."""
    simulation, draw = context.simulation, context.random
    credit = 0.0
    while simulation.now < end:
        credit += rate * usage_model.STEP_SECONDS
        while credit > 0:
            units = sizes[len(context.offered) % len(sizes)] if sizes else draw.randint(900, 10_000)
            few = context.names[:2]
            name = draw.choice(few if draw.random() < share else context.names[2:])
            credit -= units
            context.offered.append((simulation.now, units))
            simulation.offer(name, units)
        simulation.advance()


@when(
    "a team sends {usual:f} of its cap, and 7 times as much for 6 s, with {share:f} of it at two "
    "routers"
)
def step_hot_team(context, usual, share):
    rate = CAP.rate * usual
    start = context.simulation.now
    for seconds, factor in ((CALM_SECONDS, 1), (HOT_SECONDS, 7), (CALM_SECONDS, 1)):
        start += seconds
        run_until(context, start, rate * factor, share)
    run_until(context, start + 1.0, 0.0)


def all_used(simulation) -> list[tuple[float, int]]:
    """Return time and units of all admitted requests."""
    unowned = getattr(simulation, "unowned", {})
    return sorted([*simulation.used, *(item for found in unowned.values() for item in found)])


@then("in no window more is used than the deployment tolerates: {expected}")
def step_bounded(context, expected):
    allowed = CAP.rate * usage_model.WINDOW_SECONDS + CAP.burst
    allowed += usage_caps.tolerated_units(CAP, usage_model.BOUNDS)
    used = usage_model.most_in_window(all_used(context.simulation))
    assert (used <= allowed) == (expected == "yes"), f"{used} of {allowed} units"


@then("less than 2 % of what the team is owed is refused: {expected}")
def step_owed(context, expected):
    level, at, owed = CAP.burst, 0.0, 0
    for now, units in context.offered:
        level = min(CAP.burst, level + (now - at) * CAP.rate)
        at = now
        if level >= units:
            level -= units
            owed += units
    used = sum(units for _, units in all_used(context.simulation))
    refused = max(0, owed - used) / owed
    assert (refused < 0.02) == (expected == "yes"), f"{refused:.4f} of {owed} units refused"


@when("requests of 900 and of 9,000 units of a team arrive at 5 times its cap for 10 s")
def step_two_sizes(context):
    run_until(context, START_SECONDS + 10.0, 5 * CAP.rate, 0.5, (900, 9_000))


@then("the admitted fraction of the large ones is at least half of that of the small ones")
def step_no_starvation(context):
    offered = collections.Counter(units for _, units in context.offered)
    used = collections.Counter(units for _, units in all_used(context.simulation))
    small, large = (used[units] / offered[units] for units in (900, 9_000))
    assert large >= small / 2 > 0, f"{small:.3f} of the small ones, {large:.3f} of the large ones"


@then("no 0.1 s has more than a tenth of the times at which the refused may come again")
def step_spread(context):
    advices = context.simulation.advices
    most = max(collections.Counter(int(at * 10) for at in advices).values())
    assert len(advices) > 100 and most <= len(advices) / 10, f"{most} of {len(advices)}"


@then("the state machine of usage caps finds no violation")
def step_machine(context):
    claims_model.explore(usage_model.UsageMachine, MACHINE_EXAMPLES, MACHINE_STEPS)


FAULTY_MACHINES = {
    "a bucket of the cap at each router": usage_model.BucketPerRouterMachine,
    "new owners whose bucket is full": usage_model.FullStartMachine,
}


@then("the state machine of usage caps finds a violation with {fault}")
def step_faulty_machine(context, fault):
    try:
        claims_model.explore(FAULTY_MACHINES[fault], MACHINE_EXAMPLES, MACHINE_STEPS)
    except AssertionError:
        return
    raise AssertionError("no violation was found")


# Failures

FAILED_AT = START_SECONDS + 8.0
END = START_SECONDS + 20.0
RATE = 5 * CAP.rate


@when("a team sends at 5 times its cap for 20 s, and after 8 s {failure}")
def step_failure(context, failure):
    run_until(context, FAILED_AT, RATE, 0.3)
    FAILURES[failure](context, context.simulation)
    run_until(context, END, RATE, 0.3)


def move_all(simulation, owner: str) -> None:
    """Let all routers ask another owner."""
    simulation.owner_of = dict.fromkeys(simulation.owner_of, owner)


def change_owner(context, simulation, seconds: float = 0.0) -> None:
    """End the owner; another one begins some time later."""
    simulation.owners = {}
    run_until(context, simulation.now + seconds, RATE, 0.3)
    simulation.owners = {"p": usage_caps.OwnedCap(CAP, simulation.now)}
    move_all(simulation, "p")


def split(context, simulation) -> None:
    """Let half of the routers ask a second owner for a time."""
    simulation.owners["p"] = usage_caps.OwnedCap(CAP, simulation.now)
    for name in context.names[::2]:
        simulation.owner_of[name] = "p"
    run_until(context, simulation.now + 0.5, RATE, 0.3)
    del simulation.owners["p"]
    move_all(simulation, "o")


def cut_off(context, simulation) -> None:
    """Cut three routers off, two of them those with the most callers."""
    for name in context.names[:3]:
        simulation.owner_of[name] = "nowhere"


def isolate(context, simulation) -> None:
    """Cut 30 routers off from all others; each considers itself the owner after 1.25 s."""
    names = context.names[::3]
    for name in names:
        simulation.owner_of[name] = "nowhere"
    run_until(context, simulation.now + 1.25, RATE, 0.3)
    simulation.fractions["o"] = 1 - len(names) / len(context.names)
    for name in names:
        simulation.owner_of[name] = name
        simulation.owners[name] = usage_caps.OwnedCap(CAP, simulation.now)
        simulation.fractions[name] = 1 / len(context.names)


def restart_all(context, simulation) -> None:
    """Restart all routers and the owner."""
    simulation.owners = {"o": usage_caps.OwnedCap(CAP, simulation.now)}
    for name in context.names:
        simulation.restart(name)


class Links:
    """Delays of the copies of each message, with a different count for every nth one."""

    def __init__(self, period: int, copies: int):
        self.period, self.copies, self.count = period, copies, 0

    def __iter__(self):
        self.count += 1
        copies = 1 if self.count % self.period else self.copies
        return iter((usage_model.LINK_SECONDS, 3 * usage_model.LINK_SECONDS)[:copies])


def lower_cap(context, simulation) -> None:
    """Lower the cap."""
    simulation.cap = model.UsageCap(CAP.rate / 10, CAP.burst / 10)


FAILURES = {
    "its owner ends and another begins": change_owner,
    "its owner ends and another begins 1.25 s later": lambda context, simulation: change_owner(
        context, simulation, 1.25
    ),
    "two owners serve half of the routers for 0.5 s": split,
    "3 routers reach no owner": cut_off,
    "30 routers are cut off from all others": isolate,
    "all routers and the owner restart": restart_all,
    "every second message is doubled": lambda _, simulation: setattr(
        simulation, "delays", Links(2, 2)
    ),
    "every tenth message is lost": lambda _, simulation: setattr(
        simulation, "delays", Links(10, 0)
    ),
    "the cap is lowered to a tenth": lower_cap,
}


@then("from second {start:d} on, at least {percent:d} % of the cap is used")
def step_used(context, start, percent):
    begin = START_SECONDS + start
    used = sum(units for at, units in all_used(context.simulation) if at >= begin)
    fraction = used / (CAP.rate * (END - begin))
    assert fraction * 100 >= percent, f"{fraction:.3f} of the cap"


@then(
    "from second {start:d} on, no window has more than the lowered cap and what is tolerated "
    "beyond it"
)
def step_lowered(context, start):
    cap = context.simulation.cap
    allowed = cap.rate * usage_model.WINDOW_SECONDS + cap.burst
    allowed += usage_caps.tolerated_units(cap, usage_model.BOUNDS)
    found = [item for item in all_used(context.simulation) if item[0] >= START_SECONDS + start]
    used = usage_model.most_in_window(found)
    assert found and used <= allowed, f"{used} of {allowed} units"


@when("the owner is paused for 5 s")
def step_paused(context):
    context.simulation.now += 5.0


@then("the owner grants nothing at once, and a tenth of a second of the rate after that time")
def step_empty_after_pause(context):
    owned, now = context.simulation.owners["o"], context.simulation.now
    assert owned.bucket.level == CAP.burst, owned.bucket
    owned.refill(CAP, 1.0, now)
    assert owned.bucket.level == 0, owned.bucket
    owned.refill(CAP, 1.0, now + 0.1)
    assert abs(owned.bucket.level - CAP.rate / 10) < 1, owned.bucket


# Gateways


def start_fleet(context, count, cap):
    """Start a simulated fleet; let the caps fill and the connections form."""
    names = [f"{'abc'[number % 3]}{number // 3}" for number in range(count)]
    context.fleet = gateway_fleet.Fleet(dict.fromkeys(names, 1.0))
    document = gateway_support.configuration(1)
    document["tenants"][0] |= cap
    store = context.fleet.store
    store.version += 1
    store.rows = (rows.Row("config", store.version, json.dumps(document).encode()),)
    context.fleet.run(6.0)


@given('a fleet of {count:d} routers with a cap of {rate:d} units a second for the team "clerks"')
def step_fleet(context, count, rate):
    start_fleet(context, count, {"rate_per_s": rate, "burst": rate, "unit": "token_stream"})


@given("a fleet of {count:d} routers without caps")
def step_fleet_without_caps(context, count):
    start_fleet(context, count, {})


def charge(context, name: str, count: int) -> list[int]:
    """Return the units charged for requests of 1,000 units that arrive at once."""
    member = context.fleet.gateways[name]
    team = member.cluster_state.configuration.team(gateway_support.KEYS["clerks"])
    charged = []

    def charge_one(number: int) -> None:
        prompt = model.Prompt("m1", 900, 100)
        request = model.Request(f"q{number}", "GET", "/", "h", prompt=prompt)
        try:
            charged.append(member.components.usage.charge(request, team))
        except failures.RefusedError:
            return

    started = [gevent.spawn(charge_one, number) for number in range(count)]
    gevent.sleep(0)
    context.fleet.run(4 * gateway_fleet.STEP_SECONDS)
    gevent.joinall(started)
    return charged


@when('router "{name}" charges 5 requests of 1,000 units and none is executed')
def step_charge_unexecuted(context, name):
    member = context.fleet.gateways[name]
    team = member.cluster_state.configuration.team(gateway_support.KEYS["clerks"])
    charged = charge(context, name, 5)
    assert charged == [1_000] * 5, charged
    for units in charged:
        member.components.usage.settle(team, units, 0)
    context.fleet.run(0.3)


@then('router "{name}" can charge {count:d} requests of 1,000 units at once')
def step_charge(context, name, count):
    charged = charge(context, name, count)
    assert charged == [1_000] * count, charged


@when('router "{name}" is cut off from all others for 5 s')
def step_cut_off(context, name):
    fleet = context.fleet
    fleet.partitions = {frozenset((name, other)) for other in fleet.gateways if other != name}
    fleet.run(5.0)


@then('router "{name}" charges at most 8,000 units within 3 s')
def step_charges_at_most(context, name):
    # A sixth of the burst, and of the rate for the time, and one request.
    charged = [units for _ in range(15) for units in charge(context, name, 5)]
    assert 0 < sum(charged) <= 8_000, charged


@then('exactly one router keeps the cap, and router "{name}" can charge 5 requests of 1,000 units')
def step_one_owner(context, name):
    assert len(owner_names(context)) == 1, owner_names(context)
    charged = charge(context, name, 5)
    assert charged == [1_000] * 5, charged


def owner_names(context) -> list[str]:
    """Return the names of the running routers that keep a cap."""
    fleet = context.fleet
    running = set(fleet.gateways) - fleet.down
    return [name for name in running if fleet.gateways[name].components.usage.owned]


@when("the owner of the cap crashes and 3 s pass")
def step_owner_crashes(context):
    context.fleet.down.update(owner_names(context))
    context.fleet.run(3.0)


@given('a gateway with a cap of {rate:d} units a second for the team "clerks"')
def step_gateway(context, rate):
    context.site = gateway_support.Site()
    context.cleanups.append(context.site.stop)
    document = gateway_support.configuration()
    document["tenants"][0] |= {"rate_per_s": rate, "burst": rate, "unit": "token_stream"}
    context.site.store.put("op", "config", document)
    context.site.add_worker("lm-1", "lm", {gateway_support.MODEL: 1})
    started = context.site.add_gateway()
    usage = started.components.usage
    gateway_support.wait_for(
        lambda: usage.owned and usage.owned["clerks"].bucket.level >= rate, seconds=10.0
    )


@when("the team sends {count:d} requests of 110 units to it, one after the other")
def step_send(context, count):
    context.log = []
    eliot.add_destinations(context.log.append)
    context.cleanups.append(lambda: eliot.remove_destination(context.log.append))
    context.replies = [context.site.send("/classify/1") for _ in range(count)]


@then("at least 9 are served and at least 9 get 429 with a Retry-After of 0.1 to 10 s")
def step_replies(context):
    statuses = collections.Counter(reply.status for reply in context.replies)
    assert set(statuses) == {200, 429} and min(statuses.values()) >= 9, statuses
    refused = [reply for reply in context.replies if reply.status == 429]
    assert all(0.1 <= float(reply.head.get("retry-after")) <= 10 for reply in refused)


@then("the log of a refusal names the cap, its owner and the age of its last answer")
def step_refusal_log(context):
    found = next(line for line in context.log if line.get("message_type") == "request_refused")
    assert (found["team"], found["units"], found["cap"]) == ("clerks", 110, 1000.0), found
    assert found["owner"] == "vm-1" and 0 <= found["grant_age"] < 5, found


@then("within 5 s no message about usage is sent, and every request is charged nothing")
def step_no_messages(context):
    sent = []
    for member in context.fleet.gateways.values():
        member.components.usage.send = lambda address, message: sent.append(message)
        assert not member.components.usage.borrowers
        assert not member.components.usage.owned
        assert not member.cluster_state.configuration.usage_caps
    context.fleet.run(5.0)
    assert not sent, sent


# Configuration


def decode(cap: dict) -> model.UsageCap | None:
    """Return the cap of a team with given fields."""
    document = gateway_support.configuration(tenants=[{"name": "t", "api_keys": ["k"], **cap}])
    return documents.decode_configuration(json.dumps(document).encode()).team("k").usage_cap


@then('a configuration whose team has {cap} is rejected with "{message}"')
def step_rejected(context, cap, message):
    try:
        decode(json.loads(cap))
    except fields.DocumentError as error:
        assert message in str(error), error
        return
    raise AssertionError("the configuration was accepted")


@then("caps are decoded as the platform's pages say")
def step_decoded(context):
    tokens = {"rate_per_s": 9, "burst": 4, "unit": "token_stream", "uncached_tokens": 7}
    found = decode(tokens)
    assert found == model.UsageCap(9.0, 4.0, True, 7), found
    bare = model.Request("q", "GET", "/", "h")
    assert found.units(bare) == 7
    undescribed = model.Request("q", "GET", "/", "h", prompt=model.Prompt("m", 0, 0))
    assert found.units(undescribed) == 7
    assert found.units(model.Request("q", "GET", "/", "h", prompt=model.Prompt("m", 30, 4))) == 34
    assert decode({"rate_per_s": 9}).units(bare) == 1
    for cap in ({}, {"rate_per_s": 0, "burst": 5}):
        assert decode(cap) is None
    for message in (
        gossip.UsageRequest("a", 1, "10.0.0.1:1", "t", 3, 4, 5, 6, 7, 8, 9),
        gossip.UsageGrant("a", "t", 3, 4, 5, False),
    ):
        assert gossip.decode(gossip.encode(message)) == message
