"""Steps for endpoints that respond before they have read the request."""

import contextlib
import gc
import socket
import struct

import gevent
import gevent.server
from behave import given, then, when

from bronzemux.gateway import http1, settings
from bronzemux.platform import standin_worker
from features import gateway_support

# Far more than the buffers of the sockets hold.
LONG_BYTES = 12_000_000
WINDOW_BYTES = 65_536
LATER_SECONDS = 0.2
HOLD_SECONDS = 4.0
EVENTS = [b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, 5)]
BODY = b"the body of the response"
BOUNDS = settings.Bounds(retry_slack=1e9)


class EarlyEndpoint:
    """Endpoint that responds to long requests before it reads their bodies.

    Args:
      identity: Identity under which it registers.

    Attributes:
      form: Form of its early responses.
      then: What it does after an early response.
      long_bytes: Length of the requests to which it responds early.
      received: All bytes that arrived, by connection.
    """

    def __init__(self, identity: str):
        self.identity = identity
        self.form = self.then = ""
        self.long_bytes = LONG_BYTES
        self.received: list[bytearray] = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f"127.0.0.1:{self.server.server_port}"

    def stop(self) -> None:
        """Stop accepting."""
        self.server.stop(timeout=0)

    def _serve(self, sock, address) -> None:
        received = bytearray()
        self.received.append(received)
        with contextlib.suppress(OSError):
            while self._serve_next(sock, received, len(received)):
                continue
        sock.close()

    def _serve_next(self, sock, received: bytearray, start: int) -> bool:
        """Serve the request that begins at an offset; return whether to wait for another one."""
        while (end := received.find(http1.HEAD_END, start)) < 0:
            if not receive(sock, received):
                return False
        head = http1.parse_head(bytes(received[start:end]))
        body_end = end + len(http1.HEAD_END) + int(head.get("content-length") or 0)
        if body_end - end < self.long_bytes:
            while len(received) < body_end:
                if not receive(sock, received):
                    return False
            first, rest = self._response(head, "a stream" if head.get("model") else "a body")
            sock.sendall(first + rest)
            return True
        first, rest = self._response(head, self.form)
        sock.sendall(first)
        if self.then == "reads on before it completes the response":
            while len(received) < body_end:
                if not receive(sock, received):
                    return False
        sock.sendall(rest)
        if self.then == "reads some bytes and ends":
            receive_available(sock, received)
            return False
        if self.then == "resets the connection":
            gevent.sleep(LATER_SECONDS)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        if self.then == "reads nothing":
            if "ended by its channel" in self.form:
                sock.shutdown(socket.SHUT_WR)
            gevent.sleep(HOLD_SECONDS)
            return False
        if self.then == "closes the connection" or "ended by its channel" in self.form:
            sock.shutdown(socket.SHUT_WR)
        if self.then == "closes the connection" and "ended by its channel" in self.form:
            return False
        if self.then != "reads on at once":
            gevent.sleep(LATER_SECONDS)
        while len(received) < body_end:
            if not receive(sock, received):
                return False
        return True

    def _response(self, head, form: str) -> tuple[bytes, bytes]:
        """Return the beginning and the rest of a response."""
        fields = [("Request-Id", head.get("request-id")), ("Response-Seal", "s")]
        statuses = {
            "a redirect": 307,
            "an error": 500,
            "a refusal": 503,
            "a misdirected status": 421,
        }
        status = statuses.get(form, 200)
        if form == "a refusal":
            fields.append(("Not-Executed", "1"))
        pieces = EVENTS if "stream" in form else [BODY]
        if "ended by its channel" not in form:
            is_chunked = "chunks" in form or "stream" in form
            length = str(sum(map(len, pieces)))
            fields.append(
                ("Transfer-Encoding", "chunked") if is_chunked else ("Content-Length", length)
            )
            if is_chunked:
                pieces = [*map(http1.encode_chunk, pieces), http1.LAST_CHUNK]
        first = http1.encode_head(f"HTTP/1.1 {status} X", fields) + pieces[0][:-1]
        rest = pieces[0][-1:] + b"".join(pieces[1:])
        if "interim" in form:
            interim = http1.encode_head("HTTP/1.1 103 Early Hints", [])
            return interim, first + rest
        return first, rest


def receive(sock, received: bytearray) -> bool:
    """Append some bytes of a connection; return False at its end."""
    data = sock.recv(http1.READ_BYTES)
    received += data
    return bool(data)


def receive_available(sock, received: bytearray) -> None:
    """Append the bytes of a connection that have arrived."""
    sock.settimeout(0.0)
    with contextlib.suppress(BlockingIOError):
        while receive(sock, received):
            continue


@given("a gateway whose endpoints respond to long requests before they read the body")
def step_site(context):
    site = context.site = gateway_support.Site()
    context.cleanups.append(site.stop)
    limits = gateway_support.configuration()["limits"] | {"max_body_bytes": 2 * LONG_BYTES}
    site.store.put("op", "config", gateway_support.configuration(limits=limits))
    context.endpoints = {}
    for identity, service, models in (("app-1", "app", {}), ("lm-1", "lm", {"m1": 1})):
        endpoint = context.endpoints[identity] = EarlyEndpoint(identity)
        context.cleanups.append(endpoint.stop)
        worker = standin_worker.StandInWorker(identity, service, models)
        site.store.put("servers", identity, worker.entry(address=endpoint.address))
    gateway = site.add_gateway(bounds=BOUNDS)
    gateway_support.wait_for(lambda: len(gateway.endpoints.states) == 2)
    context.bodies = {}


def send(context, path: str, team: str, body: bytes) -> gateway_support.Reply:
    """Send a request of a team and remember its body."""
    request_id = f"r{len(context.bodies)}"
    context.bodies[request_id] = body
    authorization = f"Bearer {gateway_support.KEYS[team]}"
    return context.site.send(path, body=body, Request_Id=request_id, Authorization=authorization)


@when('a long request to "{path}" gets {form}, and the endpoint {then_does}')
def step_send_long(context, path, form, then_does):
    send_early(context, path, form, then_does, LONG_BYTES)


@when('a request of {size:d} bytes to "{path}" gets {form}, and the endpoint {then_does}')
def step_send_size(context, size, path, form, then_does):
    send_early(context, path, form, then_does, size)


def send_early(context, path: str, form: str, then_does: str, size: int) -> None:
    """Send a request of at least some size, to which the endpoints respond early."""
    for endpoint in context.endpoints.values():
        endpoint.form, endpoint.then, endpoint.long_bytes = form, then_does, size
    context.reply = send(context, path, "clerks", bytes(range(256)) * (size // 256 + 1))


@then("the caller gets no complete response with status {status:d}")
def step_not_complete(context, status):
    reply = context.reply
    assert reply.status != status or not reply.is_whole, reply
    assert reply.status in (status, 502), reply


@then("the caller gets a complete response with status {status:d}")
def step_status(context, status):
    assert context.reply.status == status, context.reply
    assert context.reply.is_whole, context.reply
    if status == 200:
        assert context.reply.body in (BODY, b"".join(EVENTS)), context.reply


@then('another team\'s request to "{path}" is answered in time')
def step_other(context, path):
    # The rejection of the first request keeps others from the only endpoint for a moment.
    reply = send(context, path, "lawyers", b"a short request")
    assert reply.status == 200 and reply.is_whole, reply


def requests_of(received: bytes):
    """Yield the head, the body and the declared length of each request in received bytes."""
    while received:
        head, _, rest = received.partition(http1.HEAD_END)
        parsed = http1.parse_head(head)
        length = int(parsed.get("content-length") or 0)
        yield parsed, rest[:length], length
        received = rest[length:]


@then("the endpoint got parts of the callers' requests in their places only")
def step_places(context):
    gevent.sleep(2 * LATER_SECONDS)
    for endpoint in context.endpoints.values():
        for received in endpoint.received:
            for head, body, length in requests_of(bytes(received)):
                sent = context.bodies[head.get("request-id")]
                assert length == len(sent)
                assert sent.startswith(body), f"other bytes in {head.get('request-id')}"


@then("the endpoint got the whole body on one connection")
def step_whole_body(context):
    (received,) = [r for endpoint in context.endpoints.values() for r in endpoint.received]
    ((_, body, _),) = requests_of(bytes(received))
    assert body == context.bodies["r0"]


@when("a request of {count:d} bytes was sent on a connection")
def step_send_on_pair(context, count):
    local, remote = socket.socketpair()
    context.cleanups += [local.close, remote.close]
    context.channel, context.data = http1.Channel(local), bytes(count)
    reader = gevent.spawn(lambda: [remote.recv(http1.READ_BYTES) for _ in range(2)])
    sender = gevent.spawn(context.channel.send_until_response, context.data, 1.0)
    reader.join()
    while not sender.ready():
        remote.recv(http1.READ_BYTES)
    assert sender.get()


@then("the connection refers to no part of it")
def step_no_reference(context):
    assert context.channel.unsent.obj is not context.data
    assert not any(found is context.channel for found in gc.get_referrers(context.data))


@when("callers send a request with {framing}, and leave after each byte")
def step_leave(context, framing):
    whole = context.site.encode("/filing/1", body=b"0123456789")
    if framing == "chunks":
        head = whole.partition(b"Content-Length")[0]
        whole = head + b"Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"
    for count in range(1, len(whole)):
        with context.site.connect() as sock:
            sock.sendall(whole[:count])


@then("no endpoint got any request")
def step_no_request(context):
    gevent.sleep(LATER_SECONDS)
    assert not any(endpoint.received for endpoint in context.endpoints.values())
