"""Steps for endpoints that are silent for a while."""

import dataclasses
import re

import gevent
from behave import given, then, when

from bronzemux.gateway import budget
from bronzemux.platform import standin_worker
from features import gateway_support

# Above the latency that is assumed of an endpoint without requests, so that it comes second.
SLOWER_SECONDS = 0.08
FAULTS = {
    "sheds": standin_worker.Fault.SHED,
    "resets": standin_worker.Fault.RUN_AND_RESET,
}
FORMS = ("whole events", "events in two parts", "comments during the pause")


def set_pause(worker: standin_worker.StandInWorker, seconds: float, form: str) -> None:
    """Make an endpoint pause in the middle of each stream."""
    assert form in FORMS, form
    worker.silence_seconds = seconds
    worker.has_split_events = form == "events in two parts"
    worker.has_comments = form == "comments during the pause"


@given("the endpoints pause for {seconds:g} seconds in a stream and send {form}")
def step_pause(context, seconds, form):
    for worker in context.site.workers.values():
        set_pause(worker, seconds, form)


@given('the endpoint "{name}" pauses for {seconds:g} seconds in a stream and sends {form}')
def step_pause_one(context, name, seconds, form):
    set_pause(context.site.workers[name], seconds, form)


@given("no retry is left")
def step_no_retry(context):
    set_retries(context, 0)


@given("{count:d} retries are left")
def step_retries(context, count):
    set_retries(context, count)


def set_retries(context, count: int) -> None:
    """Set the retries that the first gateway may send in one window."""
    found = context.site.gateways[0].components.budget
    found.bounds = dataclasses.replace(
        found.bounds, retry_ratio=0.0, retry_slack=(count + 0.5) / budget.USED_FRACTION
    )


@given('only "{name}" takes requests')
def step_only(context, name):
    for state in context.site.gateways[0].endpoints.states.values():
        if state.endpoint.id != name:
            state.suspended_until = 1e12


@when('{count:d} requests "POST {path}" are sent at once')
def step_send(context, count, path):
    sending = [gevent.spawn(context.site.send, path, Deadline_Ms="5000") for _ in range(count)]
    context.replies = [greenlet.get() for greenlet in sending]


@then("each caller got the events {first:d} to {last:d} in order and a response that is complete")
def step_complete(context, first, last):
    expected = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(first, last + 1))
    for reply in context.replies:
        events = b"".join(
            event + b"\n\n"
            for event in reply.body.split(b"\n\n")
            if event and not event.startswith(b":")
        )
        assert reply.is_whole and events == expected, reply


@then("each request was executed once")
def step_once(context):
    ids = [r.fields["request-id"] for w in context.site.workers.values() for r in w.executed]
    assert len(ids) == len(set(ids)) == len(context.replies), ids


@then(
    "{count:d} of the requests were executed twice, and as many retries were taken from the budget"
)
def step_twice(context, count):
    ids = [r.fields["request-id"] for w in context.site.workers.values() for r in w.executed]
    assert len(ids) - len(set(ids)) == count, ids
    taken = context.site.gateways[0].components.budget.retries.values()
    assert sum(map(len, taken)) == count, taken


@given('"{silent}" is silent, and "{name}" {fault} until {seconds:g} seconds after the request')
def step_failing(context, silent, name, fault, seconds):
    routes = gateway_support.configuration()["routes"]
    for route in routes:
        route["max_attempts"] = max(3, route["max_attempts"])
    context.site.store.put("op", "config", gateway_support.configuration(2, routes))
    found = context.site.gateways[0].cluster_state
    gateway_support.wait_for(lambda: found.configuration.version == 2)
    context.site.workers[silent].fault = standin_worker.Fault.HANG
    found.endpoints.states[silent].latency_seconds = SLOWER_SECONDS
    context.worker, context.fault, context.seconds = context.site.workers[name], fault, seconds


@when('"POST {path}" with 3 attempts is sent to "{name}" first')
def step_send_first(context, path, name):
    context.worker.fault = FAULTS[context.fault]
    heal = gevent.spawn_later(
        context.seconds, setattr, context.worker, "fault", standin_worker.Fault.NONE
    )
    context.cleanups.append(heal.kill)
    context.replies = [context.site.send(path)]


@then("no pooled connection refers to a request")
def step_pooled(context):
    idle = context.site.gateways[0].components.pool.idle.values()
    channels = [entry.channel for entries in idle for entry in entries]
    assert channels and all(channel.on_read_timeout is None for channel in channels)


@then("the log and the metrics have a pause of {seconds:g} seconds")
def step_pause_logged(context, seconds):
    def pauses() -> list[float]:
        lines = [line for line in context.log.getvalue().splitlines() if " event=request " in line]
        return [float(re.search(r" pause=(\S+)", line)[1]) for line in lines]

    registry = context.site.gateways[0].components.meters.registry
    name = "bronzemux_stream_pause_seconds"
    gateway_support.wait_for(
        lambda: registry.get_sample_value(f"{name}_count", {"service": "lm"}) == 1
    )
    found = registry.get_sample_value(f"{name}_sum", {"service": "lm"})
    assert seconds - 0.1 < found < seconds + 0.4, found
    gateway_support.wait_for(lambda: any(abs(pause - found) < 0.001 for pause in pauses()))
