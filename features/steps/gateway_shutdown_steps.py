"""Steps for requests during the planned stop of a gateway."""

import dataclasses
import socket
import time

import gevent
import gevent.monkey
from behave import given, then, when

from bronzemux import http_client
from bronzemux.gateway import http1, settings
from features import gateway_support

INTERVAL_SECONDS = 0.2
# Time in which a response that was sent before the process exits reaches its caller.
TRANSIT_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request during the stop.

    Attributes:
      at: Seconds after the start of the stop at which it was sent.
      ended_at: Seconds after the start of the stop at which its response ended.
      request_id: Identity of the request.
      reply: The response, None when the connection was refused.
    """

    at: float
    ended_at: float
    request_id: str
    reply: gateway_support.Reply | None


@given("a gateway with a grace of {seconds:g} seconds")
def step_gateway(context, seconds):
    served = context.site.add_gateway(bounds=settings.Bounds(stop_seconds=seconds))
    context.grace = seconds
    gateway_support.wait_for(
        lambda: len(served.endpoints.states) >= len(context.site.workers), seconds=5
    )
    routes = [
        item | {"timeout_ms": 60_000, "target_latency_ms": 30_000}
        for item in gateway_support.configuration()["routes"]
    ]
    context.site.store.put("op", "config", gateway_support.configuration(2, routes))
    gateway_support.wait_for(lambda: served.cluster_state.configuration.version == 2)


@given("the endpoints take {seconds:g} seconds for a request")
def step_execution_seconds(context, seconds):
    for worker in context.site.workers.values():
        worker.execution_seconds = seconds


@given("the endpoints are known to take {seconds:g} seconds for a request")
def step_known_seconds(context, seconds):
    step_execution_seconds(context, seconds)
    for state in context.site.gateways[0].endpoints.states.values():
        state.latency_seconds = seconds


@given("no endpoint can be chosen until {seconds:g} seconds after the stop begins")
def step_no_choice(context, seconds):
    request_forwarder = context.site.gateways[0].forwarder
    choose = request_forwarder._try_choose

    def choose_late(*arguments):
        shutdown = request_forwarder.components.clock.monotonic() - context.stop_clock
        return choose(*arguments) if shutdown >= seconds else None

    request_forwarder._try_choose = choose_late


@when(
    '"{method} {path}" with {seconds:g} seconds to its deadline arrives every 0.2 seconds of its stop'
)
def step_arrivals(context, method, path, seconds):
    site, served = context.site, context.site.gateways[0]
    started_at = time.monotonic()
    context.stop_clock = served.clock.monotonic()
    deadline_ms = str(int(seconds * 1000))

    def send(number: int) -> Arrival:
        request_id, at = f"stop-{number}", time.monotonic() - started_at
        try:
            reply = site.send(path, method=method, Request_Id=request_id, Deadline_Ms=deadline_ms)
        except ConnectionRefusedError:
            reply = None
        return Arrival(at, time.monotonic() - started_at, request_id, reply)

    def stop() -> tuple[int, float]:
        return served.stop(), time.monotonic() - started_at

    gateway_support.TIMEOUT_SECONDS, saved = context.grace + 2.0, gateway_support.TIMEOUT_SECONDS
    try:
        stopping = gevent.spawn(stop)
        senders = []
        for number in range(int(context.grace / INTERVAL_SECONDS)):
            senders.append(gevent.spawn(send, number))
            gevent.sleep(INTERVAL_SECONDS)
        context.cut, context.exited_at = stopping.get(timeout=context.grace)
        gevent.joinall(senders, timeout=2.0)
        context.arrivals = [sender.value for sender in senders if sender.ready()]
        context.unanswered = sum(not sender.ready() for sender in senders)
    finally:
        gateway_support.TIMEOUT_SECONDS = saved


def executed(context) -> set[str]:
    """Return the ids of the requests that any endpoint ran."""
    return {
        seen.fields["request-id"]
        for worker in context.site.workers.values()
        for seen in worker.executed
    }


@then("each request got an answer, or a visibly broken-off stream, before the process exits")
def step_answered(context):
    assert context.exited_at <= context.grace, context.exited_at
    assert context.unanswered == 0 and context.cut == 0, (context.unanswered, context.cut)
    for arrival in context.arrivals:
        if arrival.reply is None:
            continue
        assert arrival.ended_at <= context.exited_at + TRANSIT_SECONDS, arrival
        assert arrival.reply.status, arrival
        assert arrival.reply.is_whole or arrival.reply.status == 200, arrival


@then("those answered 503 ran nowhere, and may be sent to another router at once")
def step_refused(context):
    refused = [a for a in context.arrivals if a.reply is not None and a.reply.status == 503]
    assert refused
    for arrival in refused:
        assert arrival.request_id not in executed(context), arrival
        assert float(arrival.reply.head.get("retry-after")) == 0, arrival
    others = {a.reply.status for a in context.arrivals if a.reply is not None} - {503}
    assert others <= {200, 502, 504}, others


@then("none that arrived later than {seconds:g} seconds after the stop began ran")
def step_none_late(context, seconds):
    late = {a.request_id for a in context.arrivals if a.at > seconds}
    assert late and not late & executed(context), sorted(late & executed(context))


@then("all that arrived within {seconds:g} seconds after the stop began got {status:d}")
def step_served(context, seconds, status):
    early = [a for a in context.arrivals if a.at < seconds]
    assert early and all(a.reply.status == status and a.reply.is_whole for a in early), early


def connect_at_once(site: gateway_support.Site) -> socket.socket:
    """Return a connection to a gateway, which the gateway cannot have accepted yet."""
    host, _, port = site.gateways[0].settings.ingress_address.rpartition(":")
    blocking = gevent.monkey.get_original("socket", "socket")()
    blocking.connect((host, int(port)))
    sock = socket.socket(fileno=blocking.detach())
    sock.settimeout(gateway_support.TIMEOUT_SECONDS)
    return sock


def connect_idle(context) -> socket.socket:
    """Return a connection that has carried a request and waits for the next one."""
    site = context.site
    sock = site.connect()
    context.cleanups.append(sock.close)
    sock.sendall(site.encode("/status/1", Request_Id="first"))
    assert gateway_support.read_reply(http1.Channel(sock)).status == 200
    gateway_support.wait_for(lambda: site.gateways[0].ingress.idle_channels)
    return sock


def exit_process(served) -> None:
    """Close the connections of a gateway in the way in which the exit of its process does."""
    for channel in list(served.ingress.open_channels):
        channel.sock.close()


def run_stop(context, on_close=lambda: None) -> None:
    """Stop the gateway and end its process.

    Args:
      context: Context of the scenario.
      on_close: Called just before the listening socket is closed.
    """
    served = context.site.gateways[0]
    stop_accepting = served.ingress.stop_accepting

    def close_listener() -> None:
        on_close()
        stop_accepting()

    served.ingress.stop_accepting = close_listener
    served.stop()
    exit_process(served)


@when("the stop meets a request in the backlog of the listening socket as that closes")
def step_stop_backlog(context):
    socks = []

    def fill_backlog() -> None:
        for _ in range(3):
            socks.append(connect_at_once(context.site))
            socks[-1].sendall(context.site.encode("/filing/1"))

    run_stop(context, fill_backlog)
    context.replies = [gateway_support.read_reply(http1.Channel(sock)) for sock in socks]


@when("the stop meets a request unread on a kept connection as the listening socket closes")
def step_stop_unread(context):
    sock = connect_idle(context)
    run_stop(context, lambda: sock.sendall(context.site.encode("/filing/1")))
    context.replies = [gateway_support.read_reply(http1.Channel(sock))]


@when("the stop meets a request whose body is half read as the listening socket closes")
def step_stop_half_read(context):
    sock = connect_idle(context)
    data = context.site.encode("/filing/1", body=b"0123456789")

    def send_halves() -> None:
        sock.sendall(data[:-5])
        gevent.sleep(0.1)
        gevent.spawn_later(0.2, sock.sendall, data[-5:])

    run_stop(context, send_halves)
    context.replies = [gateway_support.read_reply(http1.Channel(sock))]


@when("the stop meets a request on the connection of a stream that began before the stop")
def step_stop_after_stream(context):
    for worker in context.site.workers.values():
        worker.event_seconds = 0.1
    sock = context.site.connect()
    context.cleanups.append(sock.close)
    channel = http1.Channel(sock)
    sock.sendall(context.site.encode("/draft/1"))
    channel.fill()
    stopping = gevent.spawn(run_stop, context)
    assert gateway_support.read_reply(channel).is_whole
    context.replies = []
    try:
        sock.sendall(context.site.encode("/filing/1"))
        context.replies.append(gateway_support.read_reply(channel))
    finally:
        stopping.get(timeout=5.0)


@then("the request got a complete answer before the process exited")
def step_answered_at_close(context):
    assert context.replies
    for reply in context.replies:
        assert reply.status in (200, 503) and reply.is_whole, reply
        assert reply.head.get("connection") == "close", reply


def crossing_request(site: gateway_support.Site) -> bytes:
    """Return a request that the gateway would pass on at once, on a pooled connection."""
    return site.encode("/status/2", Request_Id="crossing", Deadline_Ms="600")


def send_after_look(context, sock: socket.socket) -> None:
    """Send a request after the next look at an idle connection, before anything else happens."""
    look = http_client.is_open_and_idle

    def look_and_send(looked_at: socket.socket) -> bool:
        is_idle = look(looked_at)
        if is_idle and looked_at.getpeername() == sock.getsockname():
            http_client.is_open_and_idle = look
            sock.sendall(crossing_request(context.site))
        return is_idle

    http_client.is_open_and_idle = look_and_send
    context.cleanups.append(lambda: setattr(http_client, "is_open_and_idle", look))


@when("a request arrives between the last look at its idle connection and its close in a stop")
def step_cross_stop(context):
    context.sock = connect_idle(context)
    send_after_look(context, context.sock)
    step_execution_seconds(context, 0.4)
    running = []

    def send_another() -> None:
        running.append(gevent.spawn(context.site.send, "/filing/2", Deadline_Ms="600"))
        gevent.sleep(0.1)

    run_stop(context, send_another)
    assert running[0].get(timeout=1.0).status == 200


@when(
    "a request arrives between the last look at its idle connection and its close "
    "after the idle timeout"
)
def step_cross_timeout(context):
    limits = gateway_support.configuration()["limits"] | {"idle_timeout_ms": 300}
    context.site.store.put("op", "config", gateway_support.configuration(3, limits=limits))
    state = context.site.gateways[0].cluster_state
    gateway_support.wait_for(lambda: state.configuration.version == 3)
    context.sock = connect_idle(context)
    (channel,) = context.site.gateways[0].ingress.idle_channels
    receive_late = channel._receive_late

    def receive_and_send() -> bytes:
        try:
            return receive_late()
        except TimeoutError:
            context.sock.sendall(crossing_request(context.site))
            raise

    channel._receive_late = receive_and_send
    gevent.sleep(0.5)


@then("no endpoint got it, and its connection ended without an answer")
def step_not_passed_on(context):
    assert gateway_support.read_reply(http1.Channel(context.sock)).status == 0
    gevent.sleep(0.3)
    assert "crossing" not in executed(context)
