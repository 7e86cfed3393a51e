"""Steps for the gossip of many routers through relays, without a network."""

from behave import given, then, when

from bronzemux.gateway import cache_index, gossip, model, routers
from features import gateway_fleet

LOW_CAPACITY_CORES, HIGH_CAPACITY_CORES = 0.4, 2.0
INCARNATION = "lm-1/1000"
KEY = b"12345678"


@given(
    "{count:d} routers in {places:d} data centres, of which {high_count:d} in each have high "
    "capacity"
)
def step_fleet(context, count, places, high_count):
    prefixes = "abcdefgh"[:places]
    routers_per_data_centre = count // places
    context.fleet = gateway_fleet.Fleet(
        {
            f"{prefix}{number:02}": (
                HIGH_CAPACITY_CORES
                if number >= routers_per_data_centre - high_count
                else LOW_CAPACITY_CORES
            )
            for prefix in prefixes
            for number in range(routers_per_data_centre)
        }
    )
    context.fleet.store.put(1)


@when("the routers run for {seconds:g} seconds")
@given("the routers run for {seconds:g} seconds")
def step_run(context, seconds):
    fleet = context.fleet
    fleet.pop_store_followers()
    fleet.bytes_received.clear()
    fleet.messages_received.clear()
    fleet.run(seconds)
    context.seconds = seconds


@then("each router considers all {count:d} alive")
def step_all_alive(context, count):
    views = {name: context.fleet.alive_view(name) for name in context.fleet.gateways}
    assert all(len(view) == count for view in views.values()), {
        name: sorted(set(context.fleet.gateways) - view) for name, view in views.items()
    }


def high_capacity_routers(fleet) -> set[str]:
    """Return the names of the high-capacity routers that are running."""
    return {
        name for name, value in fleet.cpu_cores.items() if value == HIGH_CAPACITY_CORES
    } - fleet.down


def relays(fleet) -> set[str]:
    """Return the names of the routers that consider themselves relays."""
    now = fleet.clock.monotonic()
    running = set(fleet.gateways) - fleet.down
    return {name for name in running if fleet.gateways[name].routers.is_relay(now)}


@then("the relays are the high-capacity routers")
def step_relays(context):
    assert relays(context.fleet) == high_capacity_routers(context.fleet)


@then("only {count:d} relays in different data centres have followed the store")
def step_readers(context, count):
    followers = context.fleet.pop_store_followers()
    assert followers <= high_capacity_routers(context.fleet), followers
    assert len(followers) == count == len({name[0] for name in followers}), followers


@then("at most {limit:d} routers have followed the store")
def step_at_most(context, limit):
    followers = context.fleet.pop_store_followers()
    assert len(followers) <= limit, followers


@given("an endpoint is registered in the store")
def step_registered(context):
    context.fleet.store.put_entry()


@when("the store has an outage of {seconds:g} seconds, in which the entry expires")
def step_outage(context, seconds):
    fleet = context.fleet
    fleet.partitioned_from_store = set(fleet.gateways)
    fleet.run(seconds)
    fleet.store.drop_entry()
    fleet.partitioned_from_store = set()


@when("the entry returns {seconds:g} second after the outage")
def step_returns(context, seconds):
    fleet = context.fleet
    context.without_endpoint = set()

    def watch(duration: float) -> None:
        for _ in range(round(duration / gateway_fleet.STEP_SECONDS)):
            fleet.run(gateway_fleet.STEP_SECONDS)
            for name, member in fleet.gateways.items():
                if gateway_fleet.ENDPOINT not in member.endpoints.states:
                    context.without_endpoint.add(name)

    watch(seconds)
    fleet.store.put_entry()
    watch(3.0)


@then("no router has removed the endpoint at any moment")
def step_never_removed(context):
    assert not context.without_endpoint, sorted(context.without_endpoint)


@when("configuration {version:d} is written for the routers")
def step_write(context, version):
    context.fleet.store.put(version)


@then("configuration {version:d} is in force at all routers")
def step_in_force(context, version):
    found = context.fleet.configuration_versions()
    assert set(found.values()) == {version}, found


def select_routers(fleet, who: str) -> list[str]:
    """Return the names of the routers that a phrase of a scenario selects."""
    low_capacity = sorted(set(fleet.gateways) - high_capacity_routers(fleet) - fleet.down)
    first = sorted(name for name in high_capacity_routers(fleet) if name[0] == "a")
    followers = [name for name in sorted(fleet.gateways) if fleet.is_follower(name)]
    phrases = {
        "nobody": [],
        "one follower": followers[:1],
        "all followers": followers,
        "all followers but one": followers[1:],
        "3 low-capacity routers": low_capacity[::7][:3],
        "a low-capacity router": low_capacity[4:5],
        "one relay": first[:1],
        "a relay": first[:1],
        "both relays of one data centre": first,
        "all relays": sorted(high_capacity_routers(fleet)),
        "all routers of one data centre": [n for n in fleet.gateways if n[0] == "a"],
        "a data centre": [n for n in fleet.gateways if n[0] == "a"],
        "half of the routers": sorted(fleet.gateways)[::2],
        "4 of the high-capacity routers": sorted(high_capacity_routers(fleet))[:4],
    }
    return phrases[who]


@when("these routers crash: {who}")
def step_die(context, who):
    context.killed_names = select_routers(context.fleet, who)
    context.fleet.down |= set(context.killed_names)


@then("each router considers exactly the live ones alive")
def step_living(context):
    fleet = context.fleet
    live = set(fleet.gateways) - fleet.down
    wrong = {name: fleet.alive_view(name) ^ live for name in live if fleet.alive_view(name) != live}
    assert not wrong, wrong


@then("for {seconds:g} seconds no live router is considered dead by most of them")
def step_stay(context, seconds):
    fleet = context.fleet
    live = set(fleet.gateways) - fleet.down
    for _ in range(round(seconds / gateway_fleet.STEP_SECONDS)):
        fleet.run(gateway_fleet.STEP_SECONDS)
        views = [fleet.alive_view(name) for name in live]
        for name in live:
            holders = sum(name in view for view in views)
            assert holders > len(live) / 2, (name, holders, fleet.clock.monotonic())


@when("these routers are partitioned from the others for {seconds:g} seconds: {who}")
def step_partition(context, who, seconds):
    fleet = context.fleet
    inside = set(select_routers(fleet, who))
    outside = set(fleet.gateways) - inside
    fleet.partitions = {frozenset((one, other)) for one in inside for other in outside}
    fleet.run(seconds)
    observer = sorted(outside)[0]
    assert not fleet.alive_view(observer) & inside, "the partition was not noticed"
    fleet.partitions = set()


@when("all relays are partitioned from the store")
def step_partition_store(context):
    context.fleet.partitioned_from_store = relays(context.fleet)


@when("these routers are partitioned from the store: {who}")
def step_partition_some(context, who):
    context.fleet.partitioned_from_store = set(select_routers(context.fleet, who))


@when("the router restarts")
def step_restart(context):
    context.fleet.start(context.killed_names[0])


@when("{count:d} low-capacity routers restart together")
def step_restart_together(context, count):
    fleet = context.fleet
    names = sorted(set(fleet.gateways) - high_capacity_routers(fleet))[:count]
    fleet.down |= set(names)
    fleet.run(2.0)
    for name in names:
        fleet.start(name)


@then("the router has the configuration in force")
def step_has(context):
    assert context.fleet.configuration_versions()[context.killed_names[0]] == 1


@then("the router has not followed the store")
def step_not_followed(context):
    assert context.killed_names[0] not in context.fleet.pop_store_followers()


def endpoint() -> model.Endpoint:
    """Return a model endpoint."""
    return model.Endpoint(
        "lm-1", "lm", "10.0.0.1:80", "a", 8, weights={"m1": 1}, started_at_ms=1000
    )


@when("each router has {count:d} requests at one endpoint")
def step_requests(context, count):
    for member in context.fleet.gateways.values():
        member.endpoints.put(endpoint(), 0.0)
        member.endpoints.states["lm-1"].in_flight = member.forwarder.in_flight = count
        member.forwarder.on_first_request()


@when("the low-capacity routers have no more requests there")
def step_no_requests(context):
    for name in set(context.fleet.gateways) - high_capacity_routers(context.fleet):
        context.fleet.gateways[name].endpoints.states["lm-1"].in_flight = 0


@then("each router counts {count:d} requests there")
def step_load_counted(context, count):
    now = context.fleet.clock.monotonic()
    found = {
        name: member.endpoints.states["lm-1"].load(now)[0]
        for name, member in context.fleet.gateways.items()
    }
    assert set(found.values()) == {count}, found


@when("a low-capacity router records that an endpoint holds a prefix and has new weights")
def step_updates(context):
    fleet = context.fleet
    for member in fleet.gateways.values():
        member.endpoints.put(endpoint(), 0.0)
    source = fleet.gateways[select_routers(fleet, "a low-capacity router")[0]]
    item = cache_index.PrefixRecord(KEY, 50, INCARNATION, fleet.clock.monotonic())
    source.components.index.add(item, 1000, is_own=True)
    source.weights_tracker.record_version(
        source.endpoints.states["lm-1"], "m1", 2, is_loading=False
    )


@then("the high-capacity routers know both")
def step_known_first(context):
    check_known(context.fleet, high_capacity_routers(context.fleet))


@then("all routers know both")
def step_known(context):
    check_known(context.fleet, context.fleet.gateways)


def check_known(fleet, names) -> None:
    """Check that routers know the recorded prefix and weights."""
    for name in names:
        member = fleet.gateways[name]
        assert member.components.index.holds(INCARNATION, KEY), name
        assert member.endpoints.states["lm-1"].weights == {"m1": 2}, name


@then("callers are directed to the {count:d} high-capacity routers")
@then("callers are directed to the {count:d} that are alive")
def step_directed(context, count):
    now = context.fleet.clock.monotonic()
    for name in set(context.fleet.gateways) - context.fleet.down:
        advertised = context.fleet.gateways[name].routers.advertised(now)
        assert len(advertised) == count, (name, len(advertised))


@then("a low-capacity router receives at most {limit:g} messages per second")
def step_messages(context, limit):
    fleet = context.fleet
    low_capacity = set(fleet.gateways) - high_capacity_routers(fleet)
    rates = {name: fleet.messages_received.get(name, 0) / context.seconds for name in low_capacity}
    assert max(rates.values()) <= limit, max(rates.items(), key=lambda item: item[1])


@given("{count:d} routers of equal CPU capacity that know each other")
def step_many(context, count):
    all_routers = [
        gossip.Router(f"r{n:03}", 1, f"p{n}", f"i{n}", "abc"[n % 3], True, 1.0, 1)
        for n in range(count)
    ]
    context.tables = []
    for own in all_routers:
        table = routers.RouterTable(own)
        for other in all_routers:
            table.record_status(other, 10.0)
        context.tables.append(table)


@then("the directories of all routers together list all {count:d}")
def step_spread(context, count):
    found = set()
    for table in context.tables:
        addresses = table.addresses(table.own.data_centre, 10.0)
        assert len(addresses) == routers.MAX_ADDRESSES
        found |= set(addresses)
    assert len(found) == count, len(found)


@then("a low-capacity router receives at most {low_limit:g} KB/s, and none more than {most:g} KB/s")
def step_bytes(context, low_limit, most):
    fleet = context.fleet
    rates = {name: n / 1000 / context.seconds for name, n in fleet.bytes_received.items()}
    heavy = {
        name: rate
        for name, rate in rates.items()
        if name not in high_capacity_routers(fleet) and rate > low_limit
    }
    assert not heavy, heavy
    assert max(rates.values()) <= most, rates


@given(
    "all routers have known weights {version:d} for {seconds:g} seconds, which an endpoint's "
    "entry does not show"
)
def step_weights_known(context, seconds, version):
    for member in context.fleet.gateways.values():
        member.endpoints.put(endpoint(), 0.0)
        member.weights_tracker.record_version(
            member.endpoints.states["lm-1"], "m1", version, is_loading=False
        )
    context.fleet.run(seconds)


@when("it reads the endpoint's entry")
def step_reads(context):
    context.fleet.gateways[context.killed_names[0]].endpoints.put(endpoint(), 0.0)


@then("the router knows weights {version:d}")
def step_knows_weights(context, version):
    member = context.fleet.gateways[context.killed_names[0]]
    assert member.endpoints.states["lm-1"].weights == {"m1": version}
