"""Steps of membership.feature."""

import random

import cbor2
from behave import given, then, when

from bronzemux import config_delta, config_store, fake_network, shares, signing, vms, wire

SETTLE_SECONDS = 40.0


def build(context, count: int, data_centres: int) -> None:
    """Create a network of members that know of each other only from the VM list."""
    sizes = {f"dc{number}": count for number in range(data_centres)}
    context.network = fake_network.Network(sizes)


@given("{count:d} members in each of {data_centres:d} data centres")
def step_members(context, count, data_centres):
    build(context, count, data_centres)


@given("{count:d} members in each of {data_centres:d} data centres that know each other")
def step_settled(context, count, data_centres):
    build(context, count, data_centres)
    context.network.run(SETTLE_SECONDS)
    step_all_know(context, "alive")


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.network.run(seconds)


@then('every member considers every other "{state}"')
def step_all_know(context, state):
    network = context.network
    found = {name: network.states(name) for name in network.nodes}
    wrong = {name: states for name, states in found.items() if states != {state}}
    assert not wrong, wrong


@when('member "{name}" is {fault}')
def step_fault(context, name, fault):
    network = context.network
    if fault.startswith("paused"):
        network.paused.add(name)
        if "for" in fault:
            network.run(int(fault.split()[2]))
            network.paused.discard(name)
        return
    network.kill(name)
    if "restarted" in fault:
        network.run(15 if "while" in fault else 0.5)
        incarnation = 0 if "older" in fault else 1000
        network.add(name, name.partition("-")[0], incarnation)


@then('member "{name}" is considered "{state}"')
def step_known(context, name, state):
    assert context.network.states(name) == {state}, context.network.states(name)


@then('no other member is considered "{state}"')
def step_no_other(context, state):
    network = context.network
    others = [name for name in network.nodes if name != "dc1-1"]
    assert not [name for name in others if state in network.states(name)]


@then('no member is considered "{state}"')
def step_none(context, state):
    network = context.network
    assert not [name for name in network.nodes if state in network.states(name)]


@when('data centre "{name}" is partitioned off for {seconds:d} seconds')
def step_cut(context, name, seconds):
    context.network.partition({name})
    context.network.run(seconds)


@when("the partition heals")
def step_heal(context):
    context.network.partition(set())


@then('members of "{data_centre}" consider member "{name}" to be "{state}"')
def step_known_by(context, name, state, data_centre):
    nodes = [n for n in context.network.running() if n.own.data_centre == data_centre]
    found = {node.entries[name].member.state.name.lower() for node in nodes}
    assert found == {state}, found


@when("{count:d} in 100 messages are lost")
def step_loss(context, count):
    context.network.loss = count / 100


@when('the first relay of "{data_centre}" is killed')
def step_kill_relay(context, data_centre):
    node = context.network.nodes["dc0-0"]
    context.killed = node.relays(data_centre)[0].name
    context.network.kill(context.killed)


@then('all members agree on the relays of "{data_centre}"')
def step_agree(context, data_centre):
    nodes = context.network.running()
    found = {tuple(m.name for m in node.relays(data_centre)) for node in nodes}
    assert len(found) == 1, found
    context.relays = found.pop()


@then("the killed member is not among them")
def step_not_killed(context):
    assert context.killed not in context.relays


@when('member "{name}" has {update}')
def step_update(context, name, update):
    node = context.network.nodes[name]
    actions = {
        "configuration version 5": lambda: node.set_config_version(5),
        "a quarantined fingerprint": lambda: node.quarantine(("f1",)),
        "notice that it is draining": node.drain,
    }
    context.network.send(name, actions[update]())


@then("every member has {update}")
def step_has_update(context, update):
    network = context.network
    nodes = network.running()
    checks = {
        "configuration version 5": lambda node: node.config_version == 5,
        "a quarantined fingerprint": lambda node: "f1" in node.quarantined,
        "notice that it is draining": lambda node: any(
            m.is_draining for m in node.members() if m.name == "dc0-0"
        ),
    }
    late = [node.own.name for node in nodes if not checks[update](node)]
    assert not late, late


# Messages

MEMBER = wire.Member("a", "dc", "127.0.0.1:1", 7, wire.MemberState.SUSPECT, True)
GOSSIP = wire.Gossip(MEMBER, 3, (MEMBER, MEMBER), ("x", "y"))
MESSAGES = (
    wire.Ping(1, GOSSIP),
    wire.Ack(2, GOSSIP, "b"),
    wire.PingRequest(3, GOSSIP, MEMBER),
    wire.SyncRequest(GOSSIP),
    wire.Sync(GOSSIP),
    wire.ConfigRequest(MEMBER, 4),
    wire.ConfigWhole(b"head"),
    wire.ConfigDelta(5, 1, 2, b"middle", b"digest"),
    wire.Demand(MEMBER, (("team", 1.5),)),
    wire.Grant((("team", 0.5),), 3.0),
    wire.VmChanges(
        (vms.Vm("vm-1", "dc", "127.0.0.1:1", "router", True, "127.0.0.1:2"),), ("vm-2",)
    ),
)


@then("each type of message decodes to what was encoded")
def step_round_trip(context):
    assert {type(message) for message in MESSAGES} == set(wire.TYPES)
    for message in MESSAGES:
        assert wire.decode(wire.encode(message)) == message


@then("a router's message that is {form} is refused")
def step_refused(context, form):
    good = wire.encode(MESSAGES[0])
    version, code, *fields = cbor2.loads(good)
    forms = {
        "empty": b"",
        "not CBOR": b"\xff\xff",
        "of another version": cbor2.dumps([99, code, *fields]),
        "of an unknown type": cbor2.dumps([version, 99, *fields]),
        "without its last field": cbor2.dumps([version, code, *fields[:-1]]),
        "with a wrong type": cbor2.dumps([version, code, "one", *fields[1:]]),
    }
    try:
        if form == "signed with another key":
            signing.verify(signing.sign(good, b"one"), (b"two", b"three"))
        else:
            wire.decode(forms[form])
    except (wire.WireError, signing.SignatureError) as error:
        assert error.remedy
        return
    raise AssertionError("the message was accepted")


@then("deltas of {count:d} seeded edits produce the edited heads")
def step_deltas(context, count):
    source = random.Random(5)
    for _ in range(count):
        old = bytes(source.choices(b"ab\n", k=source.randint(0, 60)))
        cut = source.randint(0, len(old))
        end = source.randint(cut, len(old))
        new = old[:cut] + bytes(source.choices(b"abc", k=source.randint(0, 5))) + old[end:]
        delta = config_delta.diff(1, old, new)
        assert config_delta.apply(delta, old) == new, (old, new, delta)


@then("a delta for another base is refused")
def step_wrong_base(context):
    delta = config_delta.diff(1, b"one two", b"one three")
    try:
        config_delta.apply(delta, b"one four")
    except config_delta.DeltaError:
        return
    raise AssertionError("the delta was accepted")


def head(version: int, text: str) -> config_store.Head:
    """Return a configuration head."""
    return config_store.Head(version, text, "id", "operator", "now", "summary")


# Shares


@given("{count:d} routers with demands {demands}")
def step_demands(context, count, demands):
    context.demands = [float(word) for word in demands.split()]
    assert len(context.demands) == count
    context.allocator = shares.ShareAllocator()
    context.granted_shares = [shares.GrantedShares() for _ in context.demands]
    context.now = 0.0


def report(context, numbers) -> None:
    """Let routers report once, `REPORT_INTERVAL_SECONDS` later."""
    context.now += shares.REPORT_INTERVAL_SECONDS
    for number in numbers:
        member = wire.Member(f"r{number}", "dc", f"a{number}", 1)
        demand = wire.Demand(member, (("a", context.demands[number]),))
        grant = context.allocator.allocate(demand, len(context.demands), context.now)
        context.granted_shares[number].store(grant, context.now)


def effective(context, numbers) -> list[float]:
    """Return the share that each router uses; without a valid grant it is an equal share."""
    equal = 1.0 / len(context.demands)
    return [
        dict(context.granted_shares[n].valid_shares(context.now)).get("a", equal) for n in numbers
    ]


@when('each reports to the owner of team "a" for {seconds:d} seconds')
def step_report(context, seconds):
    for _ in range(seconds):
        report(context, range(len(context.demands)))


@then("the shares follow the demands and their sum is at most 1")
def step_follow(context):
    found = effective(context, range(len(context.demands)))
    assert sum(found) <= 1.0 + 1e-9, found
    order = sorted(range(len(found)), key=context.demands.__getitem__)
    assert all(found[a] <= found[b] + 1e-9 for a, b in zip(order, order[1:], strict=False))


@when("routers 3 and 4 send no reports for {seconds:d} seconds")
def step_no_reports(context, seconds):
    for _ in range(seconds):
        report(context, (0, 1))


@then("the shares of the others grow to at least {share:g}")
def step_grown(context, share):
    assert min(effective(context, (0, 1))) >= share


@when("the owner is replaced by one without reports")
def step_new_owner(context):
    context.allocator = shares.ShareAllocator()
    context.sums = []
    for _ in range(3):
        report(context, range(4))
        context.sums.append(sum(effective(context, range(4))))


@then("the sum of all shares stays below {limit:g}")
def step_sum(context, limit):
    assert max(context.sums) < limit, context.sums


@then("the sum is at most 1 after 3 seconds")
def step_sum_settled(context):
    assert context.sums[-1] <= 1.0 + 1e-9, context.sums


@when('{count:d} members of data centre "{data_centre}" fail at the same time')
def step_die_at_once(context, count, data_centre):
    context.dead = [f"{data_centre}-{number}" for number in range(count)]
    for name in context.dead:
        context.network.kill(name)


@then('every other member considers them "dead"')
def step_all_dead(context):
    states = {name: context.network.states(name) for name in context.dead}
    assert all(found == {"dead"} for found in states.values()), states
