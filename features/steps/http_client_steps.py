"""Steps for the HTTP client of platform services and engines."""

import contextlib
import time

import gevent
import gevent.server
from behave import given, then, when

from bronzemux import engine, engine_http, errors, http_client
from bronzemux.gateway import http1

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
SURPLUS = {
    "nothing": b"",
    "another response": RESPONSE,
    "half a response": RESPONSE[:30],
    "bytes that are no HTTP": b"\x00xx\r\n",
}
TIMEOUTS = http_client.Timeouts(connect=1.0, progress=0.5)
LONG_BYTES = 1_000_000


def serve(context, respond) -> None:
    """Start a service.

    Args:
      context: Context of the scenario.
      respond: Called with the socket and the head of each request; returns whether the body is to
        be read.
    """
    context.received = []

    def serve_connection(sock, address):
        received = bytearray()
        context.received.append(received)
        start = 0
        with contextlib.suppress(OSError):
            while True:
                while (end := received.find(http1.HEAD_END, start)) < 0:
                    if not receive(sock, received):
                        return
                head = http1.parse_head(bytes(received[start:end]))
                start = end + len(http1.HEAD_END) + int(head.get("content-length"))
                if start - end < LONG_BYTES:
                    while len(received) < start:
                        receive(sock, received)
                if not respond(sock, head):
                    return
                while len(received) < start:
                    if not receive(sock, received):
                        return

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve_connection)
    server.start()
    context.cleanups.append(lambda: server.stop(timeout=0))
    context.port = server.server_port
    context.client = http_client.PlatformServiceClient(
        http_client.PlatformServiceSettings("127.0.0.1", server.server_port, TIMEOUTS)
    )


def receive(sock, received: bytearray) -> bool:
    """Append some bytes of a connection; return False at its end."""
    data = sock.recv(http1.READ_BYTES)
    received += data
    return bool(data)


@given("a service that sends {what} behind each response")
def step_surplus(context, what):
    serve(context, lambda sock, head: sock.sendall(RESPONSE + SURPLUS[what]) is None)


@given("a service that sends an interim response first")
def step_interim(context):
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    serve(context, lambda sock, head: sock.sendall(interim + RESPONSE) is None)


@given('a service that responds with the status "{status}", and then with 200')
def step_status(context, status):
    first = RESPONSE.replace(b"200", status.encode())
    serve(context, lambda sock, head: sock.sendall(first + RESPONSE) is None)


@when("it is called once")
def step_call_once(context):
    started_at = time.monotonic()
    connection = http_client.Connection("127.0.0.1", context.port, TIMEOUTS)
    context.cleanups.append(connection.close)
    try:
        context.outcome = connection.exchange("GET", "/", {}, b"")
    except errors.EndpointError as error:
        context.outcome = error
    context.seconds = time.monotonic() - started_at


@then("the call fails within {seconds:g} seconds, as the response is not valid")
def step_not_valid(context, seconds):
    assert isinstance(context.outcome, errors.EndpointProtocolError), context.outcome
    assert context.seconds < seconds, context.seconds


@given("a service that responds before it reads a long request, and then {does}")
def step_early(context, does):
    def respond(sock, head) -> bool:
        sock.sendall(RESPONSE)
        if int(head.get("content-length")) < LONG_BYTES:
            return True
        gevent.sleep(2 * TIMEOUTS.progress if does == "reads nothing" else 0.1)
        return does == "reads on"

    serve(context, respond)


@when("it is called twice")
def step_call_twice(context):
    context.responses = [context.client.exchange("POST", "/", b"x", True) for _ in range(2)]


@when("it is called with {first:d} bytes and again with {second:d} bytes")
def step_call_long(context, first, second):
    context.bodies = [b"a" * first, b"b" * second]
    for body in context.bodies:
        with contextlib.suppress(errors.PlatformError):
            context.client.exchange("POST", "/", body, True)


@then('each call gets the body "{text}"')
def step_bodies(context, text):
    assert [r.body.decode() for r in context.responses] == [text, text], context.responses


@then("the service was called on {count:d} connections")
def step_connections(context, count):
    assert len(context.received) == count, context.received


@then("it got parts of the two requests in their places only")
def step_places(context):
    bodies = []
    for received in context.received:
        rest = bytes(received)
        while rest:
            head, _, rest = rest.partition(http1.HEAD_END)
            length = int(http1.parse_head(head).get("content-length"))
            bodies.append((length, rest[:length]))
            rest = rest[length:]
    for length, body in bodies:
        sent = next(b for b in context.bodies if len(b) == length)
        assert sent.startswith(body)
    assert (3, b"bbb") in bodies, [length for length, _ in bodies]


@given("an engine that sends each response twice")
def step_engine(context):
    def respond(sock, head) -> bool:
        parts = [engine_http.encode_event(0, b"text"), engine_http.encode_event(1, engine.DONE)]
        fields = [
            (engine_http.HEADER_REQUEST, head.get("x-request-id")),
            ("Transfer-Encoding", "chunked"),
        ]
        response = http1.encode_head("HTTP/1.1 200 OK", fields)
        response += b"".join(map(http1.encode_chunk, parts)) + http1.LAST_CHUNK
        sock.sendall(response + response)
        return True

    serve(context, respond)


@when("two jobs are started there one after the other")
def step_jobs(context):
    client = engine_http.HttpEngine("e1", "127.0.0.1", context.port, TIMEOUTS)
    context.parts = []
    for number in range(2):
        job = engine.Job(f"job-{number}", "/", b"x", b"", "1", 0)
        context.parts.append([(p.number, p.data) for p in client.start(job)])


@then("each job gets its own parts")
def step_parts(context):
    assert context.parts == [[(0, b"text"), (1, engine.DONE)]] * 2, context.parts
    assert len(context.received) == 2, "a connection with surplus bytes was used again"
