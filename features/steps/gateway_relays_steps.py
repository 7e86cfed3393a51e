"""Steps for many routers and their relays."""

from behave import given, then, when

from bronzemux.gateway import cache_index, gossip, model, routers
from features import gateway_fleet

WEAK, STRONG = 0.4, 2.0
LIFETIME = "lm-1/1000"
KEY = b"12345678"


@given("{count:d} routers in {places:d} data centres, of which {strong:d} in each are strong")
def step_fleet(context, count, places, strong):
    letters = "abcdefgh"[:places]
    each = count // places
    context.fleet = gateway_fleet.Fleet(
        {
            f"{letter}{number:02}": STRONG if number >= each - strong else WEAK
            for letter in letters
            for number in range(each)
        }
    )
    context.fleet.store.put(1)


@when("the routers run for {seconds:g} seconds")
@given("the routers run for {seconds:g} seconds")
def step_pass(context, seconds):
    fleet = context.fleet
    fleet.readers()
    fleet.bytes_received.clear()
    fleet.run(seconds)
    context.seconds = seconds


@then("each router holds all {count:d} for alive")
def step_all_alive(context, count):
    views = {name: context.fleet.view(name) for name in context.fleet.gateways}
    assert all(len(view) == count for view in views.values()), {
        name: sorted(set(context.fleet.gateways) - view) for name, view in views.items()
    }


def strong(fleet) -> set[str]:
    """Return the names of the strong routers that run."""
    return {name for name, value in fleet.processors.items() if value == STRONG} - fleet.down


def relays(fleet) -> set[str]:
    """Return the routers that hold themselves for relays."""
    now = fleet.clock.monotonic()
    running = set(fleet.gateways) - fleet.down
    return {name for name in running if fleet.gateways[name].routers.is_relay(now)}


@then("the relays are the strong ones")
def step_relays(context):
    assert relays(context.fleet) == strong(context.fleet)


@then("only the relays have followed the store")
def step_readers(context):
    assert context.fleet.readers() == strong(context.fleet)


@when("configuration {version:d} is written for the routers")
def step_write(context, version):
    context.fleet.store.put(version)


@then("configuration {version:d} is in force at all routers")
def step_in_force(context, version):
    found = context.fleet.versions()
    assert set(found.values()) == {version}, found


def chosen(fleet, who: str) -> list[str]:
    """Return the names that a phrase stands for."""
    weak = sorted(set(fleet.gateways) - strong(fleet) - fleet.down)
    first = sorted(name for name in strong(fleet) if name[0] == "a")
    phrases = {
        "3 weak routers": weak[::7][:3],
        "a weak router": weak[4:5],
        "one relay": first[:1],
        "a relay": first[:1],
        "both relays of one data centre": first,
        "all relays": sorted(strong(fleet)),
        "all routers of one data centre": [n for n in fleet.gateways if n[0] == "a"],
        "a data centre": [n for n in fleet.gateways if n[0] == "a"],
        "half of the routers": sorted(fleet.gateways)[::2],
        "4 of the strong routers": sorted(strong(fleet))[:4],
    }
    return phrases[who]


@when("of the routers, {who} die")
def step_die(context, who):
    context.gone = chosen(context.fleet, who)
    context.fleet.down |= set(context.gone)


@then("each router holds just those that live for alive")
def step_living(context):
    fleet = context.fleet
    living = set(fleet.gateways) - fleet.down
    wrong = {name: fleet.view(name) ^ living for name in living if fleet.view(name) != living}
    assert not wrong, wrong


@then("for {seconds:g} seconds no living router is held for dead by most")
def step_stay(context, seconds):
    fleet = context.fleet
    living = set(fleet.gateways) - fleet.down
    for _ in range(round(seconds / gateway_fleet.STEP_SECONDS)):
        fleet.run(gateway_fleet.STEP_SECONDS)
        views = [fleet.view(name) for name in living]
        for name in living:
            holders = sum(name in view for view in views)
            assert holders > len(living) / 2, (name, holders, fleet.clock.monotonic())


@when("of the routers, {who} is cut off from the others for {seconds:g} seconds")
def step_cut(context, who, seconds):
    fleet = context.fleet
    inside = set(chosen(fleet, who))
    outside = set(fleet.gateways) - inside
    fleet.cuts = {frozenset((one, other)) for one in inside for other in outside}
    fleet.run(seconds)
    probe = sorted(outside)[0]
    assert not fleet.view(probe) & inside, "the cut was not noticed"
    fleet.cuts = set()


@when("all relays are cut from the store")
def step_cut_store(context):
    context.fleet.cut_from_store = relays(context.fleet)


@when("the router starts again")
def step_again(context):
    context.fleet.start(context.gone[0])


@then("the router has the configuration in force")
def step_has(context):
    assert context.fleet.versions()[context.gone[0]] == 1


@then("the router has not followed the store")
def step_not_followed(context):
    assert context.gone[0] not in context.fleet.readers()


def endpoint() -> model.Endpoint:
    """Return a model endpoint."""
    return model.Endpoint(
        "lm-1", "lm", "10.0.0.1:80", "a", 8, weights={"m1": 1}, started_at_ms=1000
    )


@when("each router has {count:d} requests at one endpoint")
def step_requests(context, count):
    for made in context.fleet.gateways.values():
        made.endpoints.put(endpoint(), 0.0)
        made.endpoints.states["lm-1"].in_flight = count


@when("the weak routers have none there any more")
def step_none(context):
    for name in set(context.fleet.gateways) - strong(context.fleet):
        context.fleet.gateways[name].endpoints.states["lm-1"].in_flight = 0


@then("each router believes in {count:d} requests there")
def step_believes(context, count):
    now = context.fleet.clock.monotonic()
    found = {
        name: made.endpoints.states["lm-1"].load(now)[0]
        for name, made in context.fleet.gateways.items()
    }
    assert set(found.values()) == {count}, found


@when("a weak router finds out that an endpoint holds a prefix, and has new weights")
def step_news(context):
    fleet = context.fleet
    for made in fleet.gateways.values():
        made.endpoints.put(endpoint(), 0.0)
    finder = fleet.gateways[chosen(fleet, "a weak router")[0]]
    item = cache_index.News(KEY, 50, LIFETIME, fleet.clock.monotonic())
    finder.parts.index.add(item, 1000, is_own=True)
    finder.board.record(finder.endpoints.states["lm-1"], "m1", 2, is_loading=False)


@then("all routers know of both")
def step_known(context):
    for name, made in context.fleet.gateways.items():
        assert made.parts.index.holds(LIFETIME, KEY), name
        assert made.endpoints.states["lm-1"].weights == {"m1": 2}, name


@then("callers are told of the {count:d} strong routers")
@then("callers are told of the {count:d} that live")
def step_told(context, count):
    now = context.fleet.clock.monotonic()
    for name in set(context.fleet.gateways) - context.fleet.down:
        named = context.fleet.gateways[name].routers.named(now)
        assert len(named) == count, (name, len(named))


@given("{count:d} routers of one strength that know each other")
def step_many(context, count):
    made = [
        gossip.Router(f"r{n:03}", 1, f"p{n}", f"i{n}", "abc"[n % 3], True, 1.0, 1)
        for n in range(count)
    ]
    context.tables = []
    for own in made:
        table = routers.RouterTable(own)
        for other in made:
            table.hear(other, 10.0)
        context.tables.append(table)


@then("the directories of all together name all {count:d}")
def step_spread(context, count):
    found = set()
    for table in context.tables:
        addresses = table.addresses(table.own.data_centre, 10.0)
        assert len(addresses) == routers.MAX_ADDRESSES
        found |= set(addresses)
    assert len(found) == count, len(found)


@then("a weak router receives at most {weak:g} KB/s, and none more than {most:g} KB/s")
def step_bytes(context, weak, most):
    fleet = context.fleet
    rates = {name: n / 1000 / context.seconds for name, n in fleet.bytes_received.items()}
    heavy = {
        name: rate for name, rate in rates.items() if name not in strong(fleet) and rate > weak
    }
    assert not heavy, heavy
    assert max(rates.values()) <= most, rates


@given(
    "all know since {seconds:g} seconds of weights {version:d} that an endpoint's entry does not show"
)
def step_ahead(context, seconds, version):
    for made in context.fleet.gateways.values():
        made.endpoints.put(endpoint(), 0.0)
        made.board.record(made.endpoints.states["lm-1"], "m1", version, is_loading=False)
    context.fleet.run(seconds)


@when("it reads the endpoint's entry")
def step_reads(context):
    context.fleet.gateways[context.gone[0]].endpoints.put(endpoint(), 0.0)


@then("the router knows of weights {version:d}")
def step_knows_weights(context, version):
    made = context.fleet.gateways[context.gone[0]]
    assert made.endpoints.states["lm-1"].weights == {"m1": version}
