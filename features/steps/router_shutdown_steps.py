"""Steps for requests during the planned stop of a router."""

import json
import socket
import time

import gevent
import gevent.monkey
from behave import given, then, when

from bronzemux import errors, http_client, messages
from bronzemux.gateway import http1
from features import gateway_support, support
from features.steps import callers_steps

DRAIN_SECONDS = 2.0


@given('a development deployment "{name}" whose routers drain for 2 seconds')
def step_deployment(context, name):
    support.start_development(
        context, name, token_seconds=0.3, drain_seconds=DRAIN_SECONDS, progress_seconds=10.0
    )


@given("requests take 5 seconds at the endpoints")
def step_slow(context):
    for service in context.deployment.services.values():
        service.work_seconds = 5.0


def send(context, kind: str, number: int) -> tuple[float, support.Reply | None]:
    """Send a request; return when its response ended, and the response, None without one."""
    deployment = context.deployment
    headers, path = {}, callers_steps.CHAT
    team = "intake" if kind == "chat that must not run twice" else "caseworkers"
    body = callers_steps.chat(stream=kind == "streamed chat")
    if kind == "filing":
        path, body = "/services/cases/filings", b"{}"
    if kind in ("filing", "chat that must not run twice"):
        headers["Idempotency-Key"] = f"stop-{number}"
    if team == "intake":
        headers["X-Workload"] = "filing-letter"
    address = support.router_address(deployment)
    try:
        reply = support.send(address, "POST", path, deployment.key(team), body, headers)
    except errors.EndpointUnreachableError:
        reply = None
    return time.monotonic(), reply


@when("router 1 stops while a {kind} runs, and another arrives every 0.2 seconds")
def step_stop(context, kind):
    context.running = gevent.spawn(send, context, kind, 0)
    gevent.sleep(0.4)
    assert context.deployment.routers[0].status.in_flight

    def stop() -> tuple[int, float]:
        return context.deployment.routers[0].stop(), time.monotonic()

    stopping = gevent.spawn(stop)
    gevent.sleep(0)
    context.later = []
    for number in range(1, int(DRAIN_SECONDS / 0.2)):
        context.later.append(gevent.spawn(send, context, kind, number))
        gevent.sleep(0.2)
    context.unfinished, context.stopped_at = stopping.get(timeout=5.0)
    gevent.joinall([context.running, *context.later], timeout=1.0)


@then("each got an answer, or a stream without its end marker, before the router stopped")
def step_answered(context):
    assert all(g.successful() for g in (context.running, *context.later)), context.running
    ended_at, reply = context.running.value
    assert ended_at <= context.stopped_at + 0.05
    assert reply.status in (200, 502), reply
    assert b"[DONE]" not in reply.body, reply
    assert b"unknown" in reply.body, reply


@then("those that arrived during the stop are refused as not run")
def step_refused(context):
    replies = [reply for _, reply in (g.value for g in context.later) if reply is not None]
    assert replies
    for reply in replies:
        assert reply.status == 503, reply
        assert json.loads(reply.body)["error"]["outcome"] == "not-run", reply
        assert reply.headers["Connection"] == "close", reply
        assert reply.headers["Retry-After-Ms"] == "0", reply


@given("router 1 assigns no endpoint")
def step_no_assignment(context):
    task = context.deployment.routers[0].dispatcher
    send_message = task.send

    def send_other(message):
        if not isinstance(message, messages.Admit):
            send_message(message)

    task.send = send_other


@then("the one that waited is refused as not run before the router stopped")
def step_waited(context):
    ended_at, reply = context.running.value
    assert ended_at <= context.stopped_at + 0.05
    assert reply.status == 503 and reply.json()["error"]["outcome"] == "not-run", reply


def encoded_chat(context) -> bytes:
    """Return the bytes of a plain chat."""
    headers = {"Authorization": f"Bearer {context.deployment.key('caseworkers')}"}
    return http_client.encode_request(
        "POST", callers_steps.CHAT, "router", headers, callers_steps.chat()
    )


def send_to_backlog(context, sock) -> None:
    """Send a request on a new connection, which the router cannot have accepted yet."""
    blocking = gevent.monkey.get_original("socket", "socket")()
    blocking.connect(("127.0.0.1", context.deployment.routers[0].port))
    blocking.sendall(encoded_chat(context))
    context.sock = socket.socket(fileno=blocking.detach())
    context.sock.settimeout(2.0)


def send_unread(context, sock) -> None:
    """Send a request on a kept connection."""
    sock.sendall(encoded_chat(context))


def send_in_halves(context, sock) -> None:
    """Send half of a request, and the other half a little later."""
    raw = encoded_chat(context)
    sock.sendall(raw[:-20])
    gevent.sleep(0.1)
    gevent.spawn_later(0.2, sock.sendall, raw[-20:])


SENDERS = {
    "in the backlog of the listening socket": send_to_backlog,
    "unread on a kept connection": send_unread,
    "whose body is half read": send_in_halves,
}


@when("the stop meets a request {moment}")
def step_meet(context, moment):
    router = context.deployment.routers[0]
    connection = callers_steps.open_connection(context)
    connection.send("GET", "/healthz", {}, b"")
    connection.receive("GET")
    connection.read_all()
    context.sock = connection.socket
    interrupt = router._interrupt_requests

    def interrupt_and_send() -> None:
        interrupt()
        SENDERS[moment](context, connection.socket)

    router._interrupt_requests = interrupt_and_send
    router.stop()
    for sock in list(router.server.open_sockets):
        sock.close()


@then("it got a complete answer before the process exited")
def step_complete(context):
    reply = gateway_support.read_reply(http1.Channel(context.sock))
    assert reply.status == 503 and reply.is_whole, reply
    assert reply.head.get("connection") == "close", reply
    assert json.loads(reply.body)["error"]["outcome"] == "not-run", reply
