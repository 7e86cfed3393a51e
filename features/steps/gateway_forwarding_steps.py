"""Steps for requests that the gateway forwards."""

import json
import re
import time

import gevent
from behave import given, then, when

from bronzemux.gateway import http1
from bronzemux.platform import standin_worker
from features import gateway_support
from features.steps import http_framing_steps


@given("a platform with a configuration")
def step_platform(context):
    context.site = gateway_support.Site()
    context.cleanups.append(context.site.stop)
    context.site.store.put("op", "config", gateway_support.configuration())


@given('the endpoints "{first}" and "{second}" of "{service}"')
def step_endpoints(context, first, second, service):
    for name in (first, second):
        context.site.add_worker(name, service)


@given('the model endpoints "{first}" and "{second}" of "{service}"')
def step_model_endpoints(context, first, second, service):
    for name in (first, second):
        context.site.add_worker(name, service, {gateway_support.MODEL: 1})


@given("a gateway")
@given("another gateway")
def step_gateway(context):
    gateway = context.site.add_gateway()
    gateway_support.wait_for(
        lambda: len(gateway.endpoints.states) >= len(context.site.workers), seconds=5
    )


@given('all endpoints have the fault "{fault}"')
def step_fault_everywhere(context, fault):
    for worker in context.site.workers.values():
        worker.fault = standin_worker.Fault(fault)


@given('the endpoint "{name}" has the fault "{fault}"')
def step_fault(context, name, fault):
    context.site.workers[name].fault = standin_worker.Fault(fault)


@given("the model endpoints take {seconds:g} seconds per event")
def step_slow_events(context, seconds):
    for worker in context.site.workers.values():
        worker.event_seconds = seconds


@when('the request "{method} {path}" is sent with the fields')
def step_send_fields(context, method, path):
    fields = {row["name"]: row["value"] for row in context.table}
    context.replies = [context.site.send(path, method=method, **fields)]


@when('the request "{method} {path}" is sent')
def step_send(context, method, path):
    context.replies = [context.site.send(path, method=method)]


@when('the request "{method} {path}" is sent {count:d} times')
def step_send_often(context, method, path, count):
    context.replies = [context.site.send(path, method=method) for _ in range(count)]


@when('requests "{method} {path}" are sent until "{name}" has run one')
def step_send_until(context, method, path, name):
    for number in range(20):
        prefix = f"{number:02x}:50,bb:50"
        context.replies = [context.site.send(path, method=method, Prompt_Prefix=prefix)]
        if context.site.workers[name].executed:
            return
    raise AssertionError(f"{name} got no request")


@then("the status is {status:d} and the response is complete")
def step_whole(context, status):
    reply = context.replies[-1]
    assert (reply.status, reply.is_whole) == (status, True), reply


def runs(context) -> list[standin_worker.ExecutedRequest]:
    """Return the requests that any endpoint ran."""
    return [seen for worker in context.site.workers.values() for seen in worker.executed]


@then("the status is {status:d}, and the request ran at {count:d} endpoints")
def step_status_and_runs(context, status, count):
    assert context.replies[-1].status == status, context.replies[-1]
    assert len(runs(context)) == count, runs(context)
    if status == 503:
        assert float(context.replies[-1].head.get("retry-after")) >= 0


@then("every status is {status:d}")
def step_every_status(context, status):
    assert all(r.status == status and r.is_whole for r in context.replies), context.replies


@then("the endpoint received the fields")
def step_received(context):
    (seen,) = runs(context)
    for row in context.table:
        assert seen.fields.get(row["name"]) == (row["value"] or None), seen.fields
    assert seen.body == b"x"


@then("the remaining time was passed on")
def step_time_left(context):
    (seen,) = runs(context)
    assert 1500 < int(seen.fields["deadline-ms"]) <= 2000


@then("the caller got the events {first:d} to {last:d} in order and a response that is {state}")
def step_events(context, first, last, state):
    reply = context.replies[-1]
    numbers = [int(n) for n in re.findall(rb"id: (\d+)\n", reply.body)]
    assert numbers == list(range(first, last + 1)), reply
    assert reply.body.count(b"\n\n") == len(numbers), "an incomplete event was relayed"
    assert reply.is_whole == (state == "complete"), reply


@then(
    "both runs had one request id, and the second continued from the first's backup after event "
    "{after:d}"
)
def step_continued(context, after):
    (first,) = context.site.workers["lm-1"].executed
    backup = context.site.workers["lm-2"]
    second = backup.executed[-1]
    request_id = first.fields["request-id"]
    assert second.fields["request-id"] == request_id
    assert first.fields["kv-backup"] == backup.address
    assert second.fields["kv-from"] == f"{backup.address}/{request_id}"
    assert second.fields["last-event-id"] == str(after)
    assert "kv-from" not in first.fields and "kv-backup" not in second.fields


@given("a configuration whose engines take no backups")
def step_no_backups(context):
    document = gateway_support.configuration(2)
    document["services"][1]["engine"]["backups"] = False
    context.site.store.put("op", "config", document)
    gateway = context.site.gateways[0]
    gateway_support.wait_for(lambda: gateway.cluster_state.configuration.version == 2)


@then("no request named an endpoint for a backup")
def step_no_backup_endpoint(context):
    assert runs(context)
    assert not any("kv-backup" in seen.fields for seen in runs(context))


@then('"{second}" ran no request that "{first}" ran')
def step_not_continued(context, second, first):
    ran = [
        {s.fields["request-id"] for s in context.site.workers[n].executed} for n in (first, second)
    ]
    assert ran[0] and not ran[0] & ran[1], ran


@when('the request "{method} {path}" is sent, and its caller disconnects after the first event')
def step_leave(context, method, path):
    with context.site.connect() as sock:
        sock.sendall(context.site.encode(path, method))
        channel = http1.Channel(sock)
        head = channel.read_head()
        next(channel.iter_body(http1.response_framing(head, method)))
    context.left_at = time.monotonic()


@then("the endpoint's run is cancelled within {seconds:g} seconds")
def step_cancelled(context, seconds):
    gateway_support.wait_for(lambda: any(seen.is_cancelled for seen in runs(context)), seconds)


@then("the gateway has no request in flight")
def step_idle(context):
    served = context.site.gateways[0]
    gateway_support.wait_for(lambda: served.ingress.in_flight == 0)
    assert all(state.in_flight == 0 for state in served.endpoints.states.values())
    assert all(state.backlog_tokens == 0 for state in served.endpoints.states.values())


@given('the endpoint "{old}" is replaced by "{new}" at its address')
def step_replace(context, old, new):
    worker = context.site.workers.pop(old)
    worker.identity = new
    context.site.workers[new] = worker


@then('"{name}" ran nothing')
def step_ran_nothing(context, name):
    assert context.site.workers[name].executed == []


@when('the endpoint "{name}" reports "{state}"')
def step_reports(context, name, state):
    entry = context.site.workers[name].entry(state=state)
    context.site.store.put("servers", name, entry)
    states = context.site.gateways[0].endpoints.states
    gateway_support.wait_for(lambda: states[name].endpoint.is_draining == (state == "draining"))


@when('an entry "{name}" appears with "{field}" as {value}')
def step_forged(context, name, field, value):
    template = context.site.workers["app-2"].entry()
    context.site.store.put("servers", name, template | {field: json.loads(value)})
    await_row(context, name)


@when('the bytes "{text}" appear as an entry')
def step_bytes(context, text):
    context.site.store.put("servers", "bytes", http_framing_steps.unescape(text))
    await_row(context, "bytes")


def await_row(context, name: str) -> None:
    """Wait until the gateway has read a row."""
    replica = context.site.gateways[0].cluster_state.replicas["servers"]
    gateway_support.wait_for(lambda: name in replica.rows)


@then('the endpoint "{name}" is not known')
def step_unknown(context, name):
    assert name not in context.site.gateways[0].endpoints.states


@when("a caller sends three requests at once on one connection")
def step_pipeline(context):
    with context.site.connect() as sock:
        data = [context.site.encode(f"/filing/{n}", Request_Id=f"p{n}") for n in range(3)]
        sock.sendall(b"".join(data))
        channel = http1.Channel(sock)
        context.replies = [gateway_support.read_reply(channel) for _ in data]
    gevent.sleep(0)


@then("it gets three complete responses, each to its own request")
def step_pipelined(context):
    found = [(r.status, r.head.get("request-id"), r.body[-9:]) for r in context.replies]
    assert found == [(200, f"p{n}", f"/filing/{n}".encode()) for n in range(3)], found


@when("all endpoints work again")
def step_work(context):
    step_fault_everywhere(context, "none")


def has_crashed(gateway, count: int) -> bool:
    """Return whether the gateway has recorded so many crashes for some request."""
    known = gateway.components.quarantine
    return bool(known.verdicts) or any(
        len(found.crashes) == count for found in known.evidence.values()
    )


@when(
    'the request with the body "{body}" crashes three endpoints of "{service}", one after the other'
)
def step_crash(context, body, service):
    site, gateway = context.site, context.site.gateways[0]
    for name in list(site.workers):
        site.workers[name].stop()
        site.store.remove("servers", name)
    gateway_support.wait_for(lambda: not gateway.endpoints.states)
    for number in range(1, 4):
        worker = site.add_worker(f"crash-{number}", service)
        gateway_support.wait_for(lambda worker=worker: worker.identity in gateway.endpoints.states)
        worker.fault = standin_worker.Fault.RUN_AND_RESET
        assert site.send("/filing/1", body=body.encode()).status == 502
        worker.stop()
        assert site.send("/filing/1", body=b"innocent").status == 503
        gateway_support.wait_for(lambda number=number: has_crashed(gateway, number))
        site.store.remove("servers", worker.identity)
        gateway_support.wait_for(lambda: not gateway.endpoints.states)


@when('a healthy endpoint "{name}" of "{service}" registers')
def step_sound(context, name, service):
    context.site.add_worker(name, service)
    states = context.site.gateways[0].endpoints.states
    gateway_support.wait_for(lambda: name in states)


@then('the request with the body "{body}" gets {status:d} and runs nowhere')
def step_refused(context, body, status):
    before = len(runs(context))
    assert context.site.send("/filing/1", body=body.encode()).status == status
    assert len(runs(context)) == before


@then('the request with the body "{body}" gets {status:d}')
def step_served(context, body, status):
    assert context.site.send("/filing/1", body=body.encode()).status == status
