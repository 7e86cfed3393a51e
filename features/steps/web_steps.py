"""Steps for requests to the product's interface that must not end without an answer."""

import socket
import time

import gevent
from behave import given, then, when

from bronzemux import errors, http_client, http_server, service_execution, supervisor, table
from features import support
from features.steps import callers_steps, http_framing_steps

KEY = "key-1"


def fail(*arguments, **named):
    """Raise an error that no caller expects."""
    raise ValueError("unexpected")


@given("starting a job fails unexpectedly")
def step_start_fails(context):
    first = context.deployment.routers[0]
    for endpoint in first.status.snapshot.config.endpoints:
        first.engines(endpoint).start = fail


@given("storing a response fails unexpectedly")
def step_store_fails(context):
    context.deployment.routers[0].claims.finish = fail


@given("reading a response fails unexpectedly")
def step_read_fails(context):
    run = service_execution.ServiceExecution.run

    def restore():
        service_execution.ServiceExecution.run = run

    context.cleanups.append(restore)
    service_execution.ServiceExecution.run = fail


@when("{request} is sent through router 1")
def step_send(context, request):
    context.team = "intake" if "twice" in request else "caseworkers"
    key = context.deployment.key(context.team)
    headers = {"Idempotency-Key": KEY}
    method, path, body = "POST", callers_steps.CHAT, callers_steps.chat()
    if request == "a filing":
        path, body = "/services/cases/filings", b"{}"
    elif request == "a plain chat":
        headers = {}
    else:
        headers["X-Workload"] = "filing-letter"
    address = support.router_address(context.deployment)
    # An AssertionError fails only the step; gevent's own timeout would abort the whole run.
    with gevent.Timeout(5.0, AssertionError("the caller got no answer")):
        context.reply = support.send(address, method, path, key, body, headers)


@then('the claim of its key is not "{state}"')
def step_claim(context, state):
    first = context.deployment.routers[0]
    claim = first.claims.find(context.team, KEY)
    assert claim is None or claim.state.value != state, claim


@given("a task that commits claims, whose next write fails unexpectedly")
def step_failing_committer(context):
    first = context.deployment.routers[0]
    context.committer = first.committer
    transact = first.table.transact

    def fail_once(writes):
        first.table.transact = transact
        gevent.sleep(0.1)
        raise ValueError("unexpected")

    first.table.transact = fail_once


@when("three writes of one row and one of another arrive together")
def step_writes(context):
    def write(key, value):
        try:
            return context.committer.commit(table.Write(key, table.ABSENT, value))
        except errors.PlatformError as error:
            return error

    keys = ("first", "second", "second", "second")
    context.writes = [gevent.spawn(write, key, b"%d" % n) for n, key in enumerate(keys)]


@then("each write gets a result or an error")
def step_results(context):
    gevent.joinall(context.writes, timeout=5.0)
    assert all(write.successful() for write in context.writes), context.writes


@given("routers wait {seconds:g} seconds for a request")
def step_idle_limit(context, seconds):
    for item in context.deployment.routers:
        item.server.timeouts = http_server.ConnectionTimeouts(idle=seconds)


def encoded_request(context, method: str, path: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    headers = {"Authorization": f"Bearer {context.deployment.key('caseworkers')}"}
    return http_client.encode_request(method, path, "router", headers, body)


def receive(connection, method: str) -> support.Reply:
    """Receive one response."""
    response = connection.receive(method)
    return support.Reply(response.status_code, dict(response.items()), connection.read_all())


@when("a request on a kept connection arrives during a pause of 1 second")
def step_pause(context):
    connection = callers_steps.open_connection(context)
    raw = encoded_request(context, "GET", "/v1/models")
    connection.socket.sendall(raw)
    assert receive(connection, "GET").status == 200
    gevent.sleep(0.05)
    http_framing_steps.send_during_pause(connection.socket, raw, 1.0)
    context.reply = receive(connection, "GET")


@when("the last {part} of a request arrives during a pause of 1 second")
def step_pause_in_headers(context, part):
    connection = callers_steps.open_connection(context)
    raw = encoded_request(context, "GET", "/v1/models")
    cut = {
        "half of the request line": 6,
        "half of the headers": len(raw) // 2,
        "line end of the headers": len(raw) - 2,
    }[part]
    connection.socket.sendall(raw[:cut])
    gevent.sleep(0.05)
    http_framing_steps.send_during_pause(connection.socket, raw[cut:], 1.0)
    context.reply = receive(connection, "GET")


@when("a caller sends three requests to router 1 at once")
def step_pipeline(context):
    context.connection = callers_steps.open_connection(context)
    context.connection.socket.sendall(3 * encoded_request(context, "GET", "/healthz"))


@then("it gets three answers, and the connection is closed when it stays idle")
def step_pipelined(context):
    received = b""
    with gevent.Timeout(5.0, AssertionError("the connection stays open")):
        while data := context.connection.socket.recv(65536):
            received += data
    assert received.count(b"HTTP/1.1 200 OK\r\n") == 3, received


@when("a caller sends a plain chat and closes its sending side")
def step_half_close(context):
    connection = callers_steps.open_connection(context)
    raw = encoded_request(context, "POST", callers_steps.CHAT, callers_steps.chat())
    connection.socket.sendall(raw)
    connection.socket.shutdown(socket.SHUT_WR)
    context.reply = receive(connection, "POST")


def fail_once(owner, name: str) -> None:
    """Make the next call of a method fail with an error that no caller expects."""

    def call(*arguments, **named):
        delattr(owner, name)
        raise ValueError("unexpected")

    setattr(owner, name, call)


@given("the dispatcher fails {moment}")
def step_dispatcher_fails(context, moment):
    task = context.deployment.routers[0].dispatcher
    if moment == "while a request waits in its queue":
        # The tick that fails comes after the request was queued.
        task._choose = lambda *arguments: None
        gevent.spawn_later(0.2, fail_once, task, "tick")
        return
    method = {
        "as it admits a request": "_check_admission",
        "as it chooses an endpoint": "_choose",
        "as it assigns an endpoint": "_assign",
    }[moment]
    fail_once(task, method)


@given("the dispatcher takes {seconds:g} seconds to restart")
def step_slow_restart(context, seconds):
    def restore(value=supervisor.RESTART_BACKOFF_SECONDS):
        supervisor.RESTART_BACKOFF_SECONDS = value

    context.cleanups.append(restore)
    supervisor.RESTART_BACKOFF_SECONDS = seconds
    root = context.deployment.routers[0].root
    task = context.deployment.routers[0].dispatcher
    root.remove(task.name)
    fail_once(task, "tick")
    root.add(task)
    gevent.sleep(0.1)
    assert root.restarts.get(task.name) == 1, root.restarts


@when("router 1 gets a plain chat with {seconds:g} seconds to its deadline")
def step_send_with_deadline(context, seconds):
    headers = {"X-Deadline-Seconds": str(seconds)}
    address = support.router_address(context.deployment)
    key = context.deployment.key("caseworkers")
    started_at = time.monotonic()
    context.reply = support.send(
        address, "POST", callers_steps.CHAT, key, callers_steps.chat(), headers
    )
    context.seconds = time.monotonic() - started_at


@then("it was answered within {seconds:g} seconds")
def step_answered_within(context, seconds):
    assert context.seconds <= seconds, context.seconds
