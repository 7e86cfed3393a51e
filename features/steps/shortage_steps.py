"""Steps for the order of requests while the engines have too little room."""

import dataclasses
import time

import gevent
from behave import given, then, when

from bronzemux.gateway import endpoints, model, shortage, waiting
from features import gateway_support

TOKENS_PER_SECOND = 40_000.0
OBJECTIVE_SECONDS = 0.6
REPORT_SECONDS = 0.05


@given(
    "an endpoint of {slots:d} slots and {cache:d} tokens with {requests:d} requests of "
    "{memory:d} tokens"
)
def step_room(context, slots, cache, requests, memory):
    context.room = shortage.Room(requests, 0.0, memory, slots, cache)


@given("it has {tokens:d} prompt tokens to read")
def step_backlog(context, tokens):
    context.room = dataclasses.replace(context.room, tokens=float(tokens))


def demand(urgency: int, tokens: int, waited_objectives: float = 0.0) -> shortage.Demand:
    """Return what a request needs."""
    waited = waited_objectives * OBJECTIVE_SECONDS
    return shortage.Demand(urgency, waited, OBJECTIVE_SECONDS, tokens, tokens)


@when(
    "a request of urgency {urgency:d} with {tokens:d} tokens has waited for {waited:g} of its "
    "objectives"
)
def step_demand(context, urgency, tokens, waited):
    wanted = demand(urgency, tokens, waited)
    context.has_room = shortage.has_room(context.room, wanted, TOKENS_PER_SECOND)


@then("the endpoint {answer} room for it")
def step_has_room(context, answer):
    assert context.has_room == (answer == "has"), context.has_room


@given("{count:d} routers that each get {rate:g} requests of {tokens:d} tokens a second")
def step_routers(context, count, rate, tokens):
    meter = shortage.DemandMeter()
    arrivals = [number / rate for number in range(int(20 * rate))]
    for at in arrivals:
        meter.record(tokens, at)
    context.unseen = meter.unseen_tokens(count, arrivals[-1] + 0.5 / rate)
    context.per_round = count * rate * shortage.UNSEEN_SECONDS


@given("{count:d} endpoints that can take {tokens:d} tokens each")
def step_open(context, count, tokens):
    context.probability = shortage.offer_probability(tokens, count, context.unseen)


@when("the requests of {rounds:d} rounds of reports wait")
def step_rounds(context, rounds):
    offers = [
        shortage.is_offered(f"r{number}", "e1/0", at * shortage.UNSEEN_SECONDS, context.probability)
        for at in range(rounds)
        for number in range(round(context.per_round))
    ]
    context.offered = sum(offers) / rounds


@then("the first endpoint is offered to {least:d} to {most:d} of them in a round")
def step_offered(context, least, most):
    assert least <= context.offered <= most, context.offered


@given("a queue that has sent {count:d} requests, one each {seconds:g} s")
def step_grants(context, count, seconds):
    context.rate = shortage.GrantRate()
    for number in range(count):
        context.rate.record(number * seconds, is_empty=False)
    context.granted_at, context.seconds = count * seconds, seconds


@given("it runs empty for {pause:g} s, and sends {count:d} more")
def step_empty(context, pause, count):
    context.rate.record(context.granted_at, is_empty=True)
    for number in range(count):
        at = context.granted_at + pause + number * context.seconds
        context.rate.record(at, is_empty=False)


@when(
    "{place:d} requests wait before one that has to start within {left:g} seconds, one each "
    "{interval:g} s"
)
def step_decide(context, place, left, interval):
    context.action = shortage.decide(left, place, interval)
    context.retry_after = shortage.retry_after(left, place, interval)


@when("{place:d} requests wait before one that has to start within {left:g} seconds, by that queue")
def step_decide_by_queue(context, place, left):
    step_decide(context, place, left, context.rate.interval_seconds)


@given("objectives of {objective:g} seconds for the first event and {pause:g} for pauses")
def step_objectives(context, objective, pause):
    context.objectives = (objective, pause)


@then("a stream with a deadline of {deadline:g} seconds has to be sent within {within:g} seconds")
def step_within(context, deadline, within):
    found = shortage.start_within(*context.objectives, deadline)
    assert abs(found - within) < 1e-6, found


@then("the decision is {action}, with a retry after {seconds:g} seconds")
def step_action(context, action, seconds):
    assert context.action is shortage.Action[action], context.action
    assert abs(context.retry_after - seconds) < 1e-6, context.retry_after


@given("an endpoint that another router reported full {age:g} seconds ago")
def step_reported(context, age):
    entry = model.Endpoint("e1", "lm", "10.0.0.1:80", "a", 16)
    context.state, context.now = endpoints.EndpointState(entry), 100.0
    load = endpoints.EndpointLoad(16, 0.0, 0.0, 94_000)
    context.state.peer_loads[endpoints.LoadSource("vm-2")] = (load, context.now - age)


@then("by its loads it {answer} room for a request of urgency {urgency:d}")
def step_has_room_by_loads(context, answer, urgency):
    requests, tokens, _, memory = context.state.all_loads(context.now)
    room = shortage.Room(requests, tokens, memory, 16, 94_000)
    found = shortage.has_room(room, demand(urgency, 800), TOKENS_PER_SECOND)
    assert found == (answer == "has"), room


@given(
    "requests of urgency {urgency:d} that arrive each {seconds:g} seconds from second {first:g} on"
)
def step_arrivals(context, urgency, seconds, first):
    context.arrivals = [(urgency, first + number * seconds) for number in range(100)]


@given("a request of urgency {urgency:d} that arrives at second {at:g} and waits")
def step_waiting(context, urgency, at):
    context.queue = waiting.WaitQueue()
    greenlet = gevent.spawn(context.queue.wait, "lm", urgency, at, 60.0)
    context.cleanups.append(greenlet.kill)
    gevent.sleep(0)


@then("the requests that arrive from second {seconds:g} on come after it")
def step_after(context, seconds):
    for urgency, at in context.arrivals:
        place = context.queue.place("lm", urgency, at)
        assert place == (at >= seconds - 1e-9), (urgency, at, place)


@given('pauses of {seconds:g} seconds are an objective of the route "{name}"')
def step_pause_objective(context, seconds, name):
    routes = gateway_support.configuration()["routes"]
    for route in routes:
        if route["name"] == name:
            route["target_gap_ms"] = seconds * 1000
    context.site.store.put("op", "config", gateway_support.configuration(2, routes))
    found = context.site.gateways[0].cluster_state
    gateway_support.wait_for(lambda: found.configuration.version == 2)


def keep_full(states, ends_at: float) -> None:
    """Report load that leaves no memory, until a monotonic time."""
    source = endpoints.LoadSource("vm-2")
    while time.monotonic() < ends_at:
        for state in states:
            load = endpoints.EndpointLoad(4, 0.0, 0.0, 100_000)
            state.peer_loads[source] = (load, time.monotonic())
        gevent.sleep(REPORT_SECONDS)
    for state in states:
        state.peer_loads.drop(source)


@given("other routers keep the memory of all engines full")
def step_full(context):
    step_full_for(context, 60.0)


@given("other routers keep the memory of all engines full for {seconds:g} seconds")
def step_full_for(context, seconds):
    states = list(context.site.gateways[0].endpoints.states.values())
    greenlet = gevent.spawn(keep_full, states, time.monotonic() + seconds)
    context.cleanups.append(greenlet.kill)
    gevent.sleep(0.01)


@when('"POST {path}" is sent with a deadline of {seconds:g} seconds')
def step_send(context, path, seconds):
    context.reply = context.site.send(path, Deadline_Ms=f"{seconds * 1000:g}")


@then("the response is {status:d}, and the request was executed {count:d} times")
def step_response(context, status, count):
    executed = sum(len(worker.executed) for worker in context.site.workers.values())
    assert (context.reply.status, executed) == (status, count), (context.reply, executed)
    if status == 503:
        assert float(context.reply.head.get_all("retry-after")[0]) > 0, context.reply
