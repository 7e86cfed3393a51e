"""Steps for responses that break off at any byte."""

import re
import socket
import struct
import time

import gevent
import gevent.pool
import gevent.server
from behave import given, then, when

from bronzemux.gateway import http1, settings
from features import gateway_support

EVENT_COUNT = 4
MAX_PARALLEL_REQUESTS = 16
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token-\1\n\n")
BODY = b"the body of one execution"
# No test may be limited by the budget that protects real endpoints.
BOUNDS = settings.Bounds(retry_slack=1e9)


class ScriptedEndpoint:
    """Endpoint that answers each request with the bytes that a script returns.

    Args:
      identity: Identity under which it registers.
      script: Called with the identity, the head of a request and the ids of the requests before it
        on the connection; returns the bytes of the response and what happens to the connection:
        "close", "reset" or "keep".
    """

    def __init__(self, identity: str, script):
        self.identity = identity
        self.script = script
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f"127.0.0.1:{self.server.server_port}"

    def stop(self) -> None:
        """Stop accepting."""
        self.server.stop(timeout=0)

    def _serve(self, sock, address) -> None:
        channel, seen_ids = http1.Channel(sock), []
        try:
            while (head := channel.read_head()) is not None:
                channel.read_body(http1.request_framing(head), 1 << 20)
                data, end = self.script(self.identity, head, tuple(seen_ids))
                seen_ids.append(head.get("request-id"))
                channel.send(data)
                if end == "keep":
                    continue
                if end == "reset":
                    # Lets the bytes arrive: a reset would discard them.
                    gevent.sleep(0.01)
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return
        except (http1.EndOfStreamError, OSError):
            return
        finally:
            channel.close()


def events(first: int, last: int) -> list[bytes]:
    """Return numbered events."""
    return [b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(first, last + 1)]


def response(head, pieces: list[bytes], framing: str, status=200, **changes) -> bytes:
    """Return a response.

    Args:
      head: Head of the request.
      pieces: Parts of the body.
      framing: "length", "chunks" or "close".
      status: HTTP status.
      **changes: Header fields that differ from the default, None to omit one.
    """
    request_id = head.get("request-id")
    values = {"Request-Id": request_id, "Response-Seal": f"seal.{request_id}"}
    if framing == "chunks":
        values["Transfer-Encoding"] = "chunked"
    if framing == "length":
        values["Content-Length"] = str(sum(map(len, pieces)))
    values |= {name.replace("_", "-"): value for name, value in changes.items()}
    fields = [(name, value) for name, value in values.items() if value is not None]
    if framing == "chunks":
        pieces = [*map(http1.encode_chunk, pieces), http1.LAST_CHUNK]
    return http1.encode_head(f"HTTP/1.1 {status} X", fields) + b"".join(pieces)


@given("a gateway with two scripted endpoints")
def step_site(context):
    site = context.site = gateway_support.Site()
    context.cleanups.append(site.stop)
    site.store.put("op", "config", gateway_support.configuration())
    context.script = None
    for identity, service, models in (
        ("app-1", "app", {}),
        ("app-2", "app", {}),
        ("lm-1", "lm", {gateway_support.MODEL: 1}),
        ("lm-2", "lm", {gateway_support.MODEL: 1}),
    ):
        scripted = ScriptedEndpoint(identity, lambda *a: context.script(*a))
        context.cleanups.append(scripted.stop)
        worker = gateway_support.standin_worker.StandInWorker(identity, service, models)
        site.store.put("servers", identity, worker.entry(address=scripted.address))
    gateway = site.add_gateway(bounds=BOUNDS)
    gateway_support.wait_for(lambda: len(gateway.endpoints.states) == 4)


class Attempts:
    """Numbers the attempts of each request."""

    def __init__(self):
        self.counts: dict[str, int] = {}

    def next(self, head) -> int:
        """Return the number of the attempt that a request head begins."""
        key = head.get("request-id")
        self.counts[key] = self.counts.get(key, 0) + 1
        return self.counts[key]


def whole_response(kind: str, framing: str, head) -> bytes:
    """Return the complete response of an endpoint."""
    if kind == "body":
        return response(head, [BODY], framing)
    first = int(head.get("last-event-id") or 0) + 1
    return response(head, events(first, EVENT_COUNT), framing)


@when("a {kind} with {framing} stops after each byte by {end}, at attempt {attempt:d}")
def step_cut(context, kind, framing, end, attempt):
    site, attempts, cuts = context.site, Attempts(), {}
    path = "/status/1" if kind == "body" else "/classify/1"

    def script(identity, head, seen_ids):
        cut, count = cuts[head.get("request-id")], attempts.next(head)
        if attempt == 2 and count == 1:
            # Ends inside the third event.
            data = whole_response(kind, "close", head)
            return data[: data.index(b"id: 3") + 4], "close"
        return whole_response(kind, framing, head)[:cut], end

    context.script = script
    probe = http1.Head(("POST", path, "HTTP/1.1"), (("request-id", "cut-000"),))
    length = len(whole_response(kind, framing, probe))

    def send(cut):
        request_id = f"cut-{cut:03d}"
        cuts[request_id] = cut
        return cut, site.send(path, Request_Id=request_id)

    pool = gevent.pool.Pool(MAX_PARALLEL_REQUESTS)
    context.kind = kind
    context.cut_replies = list(pool.imap_unordered(send, range(length)))


@then(
    "no response looked complete without being so, and no caller got bytes that are no part of it"
)
def step_check_cut(context):
    whole = BODY if context.kind == "body" else b"".join(events(1, EVENT_COUNT))
    for cut, reply in context.cut_replies:
        if reply.status != 200:
            assert reply.status in (0, 502), (cut, reply)
        elif context.kind == "body":
            assert not reply.is_whole or reply.body == whole, (cut, reply)
        else:
            found = b"".join(m.group() for m in EVENT_PATTERN.finditer(reply.body))
            assert found == reply.body and whole.startswith(found) and found, (cut, reply)
            # A stream without length or chunks that ends after an event is complete.
            is_ambiguous = reply.head is not None and found.endswith(b"\n\n")
            assert not reply.is_whole or found == whole or is_ambiguous, (cut, reply)


ANSWERS = {
    "an error": lambda head: response(head, [b"error text"], "length", 500),
    "an unknown path": lambda head: response(head, [b"error text"], "length", 404),
    "a refusal": lambda head: response(head, [b"busy"], "length", 503, Not_Executed="1"),
    "a body without a seal": lambda head: response(
        head, events(3, 4), "chunks", Response_Seal=None
    ),
    "another request's id": lambda head: response(head, events(3, 4), "chunks", Request_Id="x"),
    "no events": lambda head: response(head, [], "close"),
    "the status 000": lambda head: response(head, events(3, 4), "chunks", "000"),
    "the status 1000": lambda head: response(head, events(3, 4), "chunks", "1000"),
}


@when("a stream breaks off after two events, and the next endpoint answers with {answer}")
def step_second_answer(context, answer):
    attempts = Attempts()

    def script(identity, head, seen_ids):
        if attempts.next(head) == 1:
            return response(head, events(1, 2), "chunks").removesuffix(http1.LAST_CHUNK), "reset"
        return ANSWERS[answer](head), "close"

    context.script = script
    context.replies = [context.site.send("/classify/1")]


@then("the caller got just the events {first:d} to {last:d}, and the response {end}")
def step_events(context, first, last, end):
    reply = context.replies[-1]
    assert reply.status == 200, reply
    assert reply.body == b"".join(events(first, last)), reply
    assert reply.is_whole == (end == "is complete"), reply


@when("a stream of {count:d} events ends with its connection")
def step_unframed(context, count):
    def script(identity, head, seen_ids):
        return response(head, events(1, count), "close"), "close"

    context.script = script
    context.replies = [context.site.send("/classify/1")]


@when('an endpoint responds with the idle time "{value}"')
def step_idle_time(context, value):
    def script(identity, head, seen_ids):
        return response(head, [BODY], "length", Keep_Alive=f"timeout={value}"), "keep"

    context.script = script
    context.replies = [context.site.send("/filing/1")]


@when('an endpoint responds to "{path}" with the status "{status}", and keeps the connection')
def step_odd_status(context, path, status):
    def script(identity, head, seen_ids):
        pieces, framing = (events(1, 4), "chunks") if head.get("model") else ([BODY], "length")
        return response(head, pieces, framing, status), "keep"

    context.script = script
    started_at = time.monotonic()
    context.replies = [context.site.send(path)]
    context.seconds = time.monotonic() - started_at


@then("the caller gets {status:d} within {seconds:g} second")
def step_status_within(context, status, seconds):
    step_status(context, status)
    assert context.seconds < seconds, context.seconds


@then("the caller gets {status:d}")
def step_status(context, status):
    assert [reply.status for reply in context.replies] == [status], context.replies


@when("a request leaves a kept connection, and the endpoint repeats a refusal {wording} on it")
def step_stale_refusal(context, wording):
    context.attempts = Attempts()

    def script(identity, head, seen_ids):
        request_id = head.get("request-id")
        refusal = response(head, [b"busy"], "length", 503, Not_Executed="1")
        if request_id == "first":
            return response(head, [BODY], "length", Keep_Alive="timeout=5"), "keep"
        if wording == "without an id":
            if not seen_ids:
                return response(head, [BODY], "length"), "keep"
            return (
                response(head, [b"busy"], "length", 503, Not_Executed="1", Request_Id=None),
                "keep",
            )
        # Refused first. If it is sent again on the same connection, it runs there.
        if request_id in seen_ids or context.attempts.next(head) == 1:
            return refusal, "keep"
        return response(head, [BODY], "length"), "keep"

    context.script = script
    site = context.site
    for _ in range(4):
        site.send("/status/1", Request_Id="first")
    context.replies = [site.send("/status/1", Request_Id=f"next-{n}") for n in range(6)]


@then("the next request there is not answered {status:d}")
def step_not_status(context, status):
    assert all(reply.status != status for reply in context.replies), context.replies


@when("a connection is shut down while its reader handles a part of a body without length")
def step_own_shutdown(context):
    left, right = socket.socketpair()
    channel = http1.Channel(left)
    right.sendall(b"part")
    context.parts, context.error = [], None
    try:
        for part in channel.iter_body(http1.Framing(None, is_close_delimited=True)):
            context.parts.append(part)
            channel.shutdown()
    except http1.EndOfStreamError as error:
        context.error = error


@then("the reader gets an error instead of the end of the body")
def step_error(context):
    assert context.parts == [b"part"] and context.error is not None
