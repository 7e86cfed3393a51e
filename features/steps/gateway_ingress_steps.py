"""Steps for requests that must not end without an answer."""

import errno
import functools
import io
import re
import socket

import gevent
import gevent.event
import gevent.monkey
from behave import given, then, when

from bronzemux import clock, errors, interruption, logs
from bronzemux.gateway import failures, http1, waiting
from bronzemux.platform import standin_worker
from features import gateway_support
from features.steps import http_framing_steps

ERRORS = {
    "ValueError": ValueError("unexpected"),
    "KeyError": KeyError("unexpected"),
    "OSError": OSError("unexpected"),
    "OverflowError": OverflowError("unexpected"),
    "BronzemuxError": errors.BronzemuxError("unexpected"),
    "RefusedError": failures.RefusedError(503, "refused", "retry later", 0.5),
}


@given("the log is recorded")
def step_record_log(context):
    context.log = io.StringIO()
    destination = logs.start("info", context.log)
    context.cleanups.append(lambda: logs.stop(destination))


@given("{operation} fails with {name}")
def step_operation_fails(context, operation, name):
    served = context.site.gateways[0]
    components = served.components
    owner, method = {
        "decoding the request": (components.protocol, "decode_request"),
        "admission": (served.ingress.admission, "admit"),
        "choosing an endpoint": (served.forwarder, "_try_choose"),
        "encoding the request": (components.protocol, "encode_request"),
        "decoding the response": (components.protocol, "decode_response"),
        "recording the first event": (components.crashes, "record_begun"),
        "keeping the endpoint's connection": (components.pool, "release"),
    }[operation]

    def fail(*arguments, **named):
        raise ERRORS[name]

    setattr(owner, method, fail)


@given("encoding a refusal takes {seconds:g} seconds")
def step_slow_refusal(context, seconds):
    protocol = context.site.gateways[0].components.protocol
    encode = protocol.encode_refusal

    def encode_slowly(*arguments, **named):
        gevent.sleep(seconds)
        return encode(*arguments, **named)

    protocol.encode_refusal = encode_slowly


@then('the log has an event "{name}" with the id of the request')
def step_logged(context, name):
    lines = [line for line in context.log.getvalue().splitlines() if f" event={name} " in line]
    request_id = f"r{next(context.site.numbers) - 1}"
    assert any(f" id={request_id} " in f"{line} " for line in lines), context.log.getvalue()


def expand(text: str) -> str:
    """Return a text with `D*N` replaced by N digits D."""
    return re.sub(r"(\d)\*(\d+)", lambda match: match[1] * int(match[2]), text)


@given("an endpoint's KV memory and queue are watched for values below zero")
def step_watch_load(context):
    context.loads = []
    served = context.site.gateways[0]
    encode = served.components.protocol.encode_request

    def watch(*arguments):
        states = served.endpoints.states.values()
        context.loads += [value for s in states for value in (s.memory_tokens, s.backlog_tokens)]
        return encode(*arguments)

    served.components.protocol.encode_request = watch


@when(
    'the request "{method} {path}" is sent with the token counts "{counts}" and the parts "{parts}"'
)
def step_send_counts(context, method, path, counts, parts):
    fields = {"Token_Counts": expand(counts), "Prompt_Prefix": expand(parts)}
    context.replies = [context.site.send(path, method=method, **fields)]


@then('the endpoint got the token counts "{counts}"')
def step_counts_passed_on(context, counts):
    (seen,) = [s for worker in context.site.workers.values() for s in worker.executed]
    assert seen.fields["token-counts"] == expand(counts), seen.fields


@then("neither was below zero")
def step_load(context):
    assert context.loads and min(context.loads) >= 0, context.loads


def limits(idle_seconds: float, head_seconds: float) -> dict:
    """Return the limits of callers in an operator's configuration."""
    return gateway_support.configuration()["limits"] | {
        "idle_timeout_ms": int(idle_seconds * 1000),
        "header_timeout_ms": int(head_seconds * 1000),
    }


def configure(context, version: int, **changes) -> None:
    """Write a configuration and wait until the gateway has it."""
    context.site.store.put("op", "config", gateway_support.configuration(version, **changes))
    state = context.site.gateways[0].cluster_state
    gateway_support.wait_for(lambda: state.configuration.version == version)


@given(
    "a configuration with an idle timeout of {idle:g} seconds and a head timeout of {head:g} seconds"
)
def step_limits(context, idle, head):
    configure(context, 2, limits=limits(idle, head))


def split_request(site, part: str) -> tuple[bytes, bytes]:
    """Return the parts of a request that arrive before and during a pause."""
    data = site.encode("/filing/1", body=b"0123456789" * 10)
    end_of_head = data.index(http1.HEAD_END) + len(http1.HEAD_END)
    if part == "half of a chunked body":
        head = data[:end_of_head].replace(b"Content-Length: 100", b"Transfer-Encoding: chunked")
        return (
            head + b"64\r\n" + data[end_of_head : end_of_head + 50],
            data[end_of_head + 50 :] + b"\r\n0\r\n\r\n",
        )
    cut = {"whole request": 0, "half of the head": 40, "half of the body": end_of_head + 50}[part]
    return data[:cut], data[cut:]


@when("the last {part} of a request on a kept connection arrives during a pause of 1 second")
def step_pause(context, part):
    with context.site.connect() as sock:
        channel = http1.Channel(sock)
        sock.sendall(context.site.encode("/filing/1"))
        assert gateway_support.read_reply(channel).status == 200
        before, during = split_request(context.site, part)
        sock.sendall(before)
        gevent.sleep(0.05)
        http_framing_steps.send_during_pause(sock, during, 1.0)
        context.replies = [gateway_support.read_reply(channel)]


@when(
    "the idle timeout is raised to {raised:g} seconds while a connection is idle for {idle:g} seconds"
)
def step_raise_idle_timeout(context, raised, idle):
    context.sock = context.site.connect()
    context.cleanups.append(context.sock.close)
    context.sock.sendall(context.site.encode("/filing/1"))
    assert gateway_support.read_reply(http1.Channel(context.sock)).status == 200
    configure(context, 3, limits=limits(raised, 0.3))
    gevent.sleep(idle)


@then("the next request on the connection gets {status:d}")
def step_next_request(context, status):
    context.sock.sendall(context.site.encode("/filing/2"))
    reply = gateway_support.read_reply(http1.Channel(context.sock))
    assert reply.status == status, reply


@then("a connection without a request is closed within {seconds:g} second")
def step_idle_closed(context, seconds):
    with context.site.connect() as sock:
        sock.settimeout(seconds)
        assert sock.recv(1) == b""


@then("a connection with half a request gets {status:d} within {seconds:g} second")
def step_slow_request(context, status, seconds):
    with context.site.connect() as sock:
        sock.settimeout(seconds)
        sock.sendall(context.site.encode("/filing/1")[:40])
        assert gateway_support.read_reply(http1.Channel(sock)).status == status


@given("a request waits for an endpoint")
def step_waits(context):
    context.site.gateways[0].forwarder._try_choose = lambda *arguments: None


@given("a request runs at an endpoint")
def step_runs(context):
    for worker in context.site.workers.values():
        worker.execution_seconds = 0.3


@when('the request "{method} {path}" is sent, and its caller closes its sending side')
def step_half_close(context, method, path):
    served = context.site.gateways[0]
    with context.site.connect() as sock:
        sock.sendall(context.site.encode(path, method))
        gateway_support.wait_for(lambda: served.ingress.in_flight == 1)
        gevent.sleep(0.05)
        sock.shutdown(socket.SHUT_WR)
        context.replies = [gateway_support.read_reply(http1.Channel(sock), method)]


@then("the request ran at {count:d} endpoints, and no more than that later")
def step_ran(context, count):
    gevent.sleep(0.4)
    ran = [seen for worker in context.site.workers.values() for seen in worker.executed]
    assert len(ran) == count, ran


@when("a next request and a half arrive on the connection while the first is served")
def step_next_bytes(context):
    with context.site.connect() as sock:
        data = [context.site.encode(f"/filing/{n}", Request_Id=f"p{n}") for n in range(3)]
        sock.sendall(data[0])
        gevent.sleep(0.1)
        sock.sendall(data[1] + data[2][:40])
        gevent.sleep(0.1)
        sock.sendall(data[2][40:])
        channel = http1.Channel(sock)
        context.replies = [gateway_support.read_reply(channel) for _ in data]


@when("a request is interrupted in the iteration of the event loop in which it ends")
def step_late_interruption(context):
    ended = gevent.event.Event()

    def serve() -> str:
        with interruption.Scope() as context.scope:
            ended.wait()
        gevent.sleep(0.05)
        return "went on"

    context.greenlet = gevent.spawn(serve)
    gevent.sleep(0.01)
    ended.set()
    context.scope.interrupt(failures.CallerLeftError("left"))


@then("its greenlet goes on without an error")
def step_goes_on(context):
    assert context.greenlet.get(timeout=1.0) == "went on"


DROPPED = {"the route": "routes", "the service": "services", "the team": "tenants"}


@when('configuration 2 drops {dropped} of the request "{method} {path}" in progress')
def step_drop(context, dropped, method, path):
    served = context.site.gateways[0]
    context.request_greenlet = gevent.spawn(context.site.send, path, method=method)
    gateway_support.wait_for(lambda: served.ingress.in_flight == 1)
    gevent.sleep(0.05)
    field = DROPPED[dropped]
    kept = [
        item
        for item in gateway_support.configuration()[field]
        if item["name"] not in ("filing", "draft", "app", "lm", "clerks")
    ]
    routes = [gateway_support.route("other", "safe", "other")]
    changes = {"services": [{"name": "other", "health_path": "/health", "max_conns": 9}]}
    if field != "services":
        routes, changes = kept if field == "routes" else None, {field: kept}
        changes.pop("routes", None)
    configure(context, 2, routes=routes, **changes)
    assert served.ingress.in_flight == 1


@when('all supervised tasks fail during the request "{method} {path}"')
def step_tasks_fail(context, method, path):
    served = context.site.gateways[0]
    context.request_greenlet = gevent.spawn(context.site.send, path, method=method)
    gateway_support.wait_for(lambda: served.ingress.in_flight == 1)
    gevent.sleep(0.05)
    tasks = served.supervisor.greenlets
    for greenlet in tasks.values():
        greenlet.kill(ValueError("unexpected"), block=False)
    # A feed does not restart on an error during its call to the store.
    restarted = {name for name in tasks if not name.startswith("feed-")}
    gateway_support.wait_for(lambda: restarted <= served.supervisor.restarts.keys())
    assert served.ingress.in_flight == 1


@when("it may then be served")
def step_release(context):
    vars(context.site.gateways[0].forwarder).pop("_try_choose", None)
    context.replies = [context.request_greenlet.get(timeout=5.0)]


@given("the queue of requests is full")
def step_full_queue(context):
    step_waits(context)
    context.cleanups.append(
        functools.partial(setattr, waiting, "MAX_WAITING_REQUESTS", waiting.MAX_WAITING_REQUESTS)
    )
    waiting.MAX_WAITING_REQUESTS = 0


@given("no file descriptor is left for connections")
def step_no_descriptors(context):
    def fail(*arguments):
        raise OSError(errno.EMFILE, "too many open files")

    context.site.gateways[0].components.pool.open = fail


@given("the gateway has not read the store")
def step_store_not_read(context):
    context.site.gateways[0].cluster_state.is_complete = lambda: False
    context.site.gateways[0].cluster_state.configuration = None


@given("the endpoints do not answer")
def step_no_answer(context):
    for worker in context.site.workers.values():
        worker.fault = standin_worker.Fault.HANG


@when(
    'the request "{method} {path}" with {seconds:g} seconds to its deadline is sent, and a pause of '
    "1 second begins"
)
def step_pause_at_endpoint(context, method, path, seconds):
    deadline_ms = str(int(seconds * 1000))
    sending = gevent.spawn(context.site.send, path, method=method, Deadline_Ms=deadline_ms)
    gateway_support.wait_for(
        lambda: any(worker.executed for worker in context.site.workers.values())
    )
    gevent.monkey.get_original("time", "sleep")(1.0)
    context.replies = [sending.get(timeout=2.0)]


@when("a greenlet is busy for {busy:d} ms and then waits for a timer of {wait:d} ms")
def step_timer_after_work(context, busy, wait):
    steady = clock.SystemClock()
    expired = failures.DeadlineError("expired")
    # Begins a new iteration of the event loop.
    gevent.sleep(0.001)
    busy_until = steady.monotonic() + busy / 1000
    while steady.monotonic() < busy_until:
        continue
    started_at = steady.monotonic()
    try:
        with interruption.Timer(wait / 1000, expired, steady):
            gevent.sleep(1.0)
    except failures.DeadlineError:
        pass
    context.early_seconds = wait / 1000 - (steady.monotonic() - started_at)


@then("the timer does not expire before its time")
def step_timer_not_early(context):
    assert context.early_seconds <= 0, context.early_seconds
