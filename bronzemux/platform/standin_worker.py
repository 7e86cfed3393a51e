"""Stand-in for an endpoint of the platform, for tests and development."""

import dataclasses
import enum
import json
import socket
import struct
import time

import gevent
import gevent.server

from bronzemux.gateway import http1

STREAM_EVENTS = 6
# Time between the two parts of an event that is sent in parts.
SPLIT_SECONDS = 0.02
# Time between comments during a pause.
COMMENT_SECONDS = 0.5
# KV backups that the stand-ins of this process hold for each other: pairs of the holder's address
# and the request's id.
BACKUPS: set[tuple[str, str]] = set()


class Fault(enum.Enum):
    """Fault that the endpoint simulates."""

    NONE = "none"
    SHED = "shed"
    ERROR = "error"
    RESET = "reset"
    RUN_AND_RESET = "run-and-reset"
    HANG = "hang"
    TRUNCATE = "truncate"
    EXTRA = "extra"
    CROSSED = "crossed"
    UNSEALED = "unsealed"
    GARBAGE = "garbage"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed-reset"
    CUT_STREAM = "cut-stream"
    GARBLE_STREAM = "garble-stream"
    CRASH_STREAM = "crash-stream"
    FREEZE_STREAM = "freeze-stream"
    LOSE_COPIES = "lose-copies"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_INTERIM = "endless-interim"
    ENDLESS_BODY = "endless-body"
    ENDLESS_CHUNKS = "endless-chunks"
    ENDLESS_EXTENSION = "endless-extension"
    ENDLESS_TRAILER = "endless-trailer"
    ENDLESS_EVENT = "endless-event"
    ENDLESS_COMMENTS = "endless-comments"


@dataclasses.dataclass(frozen=True)
class EndlessResponse:
    """Response that does not end.

    Attributes:
      fields: Header fields besides the seal, None when there is no complete head.
      start: Bytes after the head.
      piece: Bytes that are then repeated until the connection is closed.
    """

    fields: tuple[tuple[str, str], ...] | None
    start: bytes
    piece: bytes


CHUNKED = (("Transfer-Encoding", "chunked"),)
ENDLESS_PIECE_BYTES = 65536
FIRST_EVENT = http1.encode_chunk(b"id: 1\ndata: token-1\n\n")
ENDLESS_RESPONSES = {
    Fault.ENDLESS_HEAD: EndlessResponse(None, b"HTTP/1.1 200 OK\r\n", b"Filler: filler\r\n"),
    Fault.ENDLESS_INTERIM: EndlessResponse(None, b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    Fault.ENDLESS_BODY: EndlessResponse((), b"", bytes(ENDLESS_PIECE_BYTES)),
    Fault.ENDLESS_CHUNKS: EndlessResponse(
        CHUNKED, b"", http1.encode_chunk(bytes(ENDLESS_PIECE_BYTES))
    ),
    Fault.ENDLESS_EXTENSION: EndlessResponse(CHUNKED, b"1;", b"extension"),
    Fault.ENDLESS_TRAILER: EndlessResponse(CHUNKED, b"0\r\n", b"Filler: filler\r\n"),
    Fault.ENDLESS_EVENT: EndlessResponse(
        CHUNKED, FIRST_EVENT, http1.encode_chunk(b"data: filler\n" * 5000)
    ),
    Fault.ENDLESS_COMMENTS: EndlessResponse(CHUNKED, FIRST_EVENT, http1.encode_chunk(b": x\n\n")),
}


@dataclasses.dataclass
class ExecutedRequest:
    """A request that the endpoint executed."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    is_cancelled: bool = False


class StandInWorker:
    """Endpoint that responds with a stream of numbered events or with a short body.

    Args:
      identity: Identity under which it registers.
      service: Name of its service.
      weights: Version of the weights by model; empty for a service without models.
      software: Version of its software.

    Attributes:
      started_at_ms: Unix time of its start in milliseconds, as it registers it.
      marks_software: Whether the data of each event of a stream ends with the software version.
      fault: Fault that it simulates.
      execution_seconds: Time until the response to a request begins.
      event_seconds: Time between the events of a stream.
      endless_seconds: Time between the pieces of a response that does not end.
      has_comments: Whether a comment precedes each event of a stream.
      silence_seconds: Time for which it pauses once in the middle of a stream.
      has_split_events: Whether each event of a stream is sent in two parts.
      open_connections: Number of connections to it.
      load_seconds: Time that loading weights takes.
      order_fault: "late" to accept orders after a delay and "lost" to accept them at once, both
        without a response; empty for none.
      is_leaving: Whether it announces in all its responses that it leaves.
      interim_fields: Header fields of an interim response that precedes each response, empty for
        no such response.
      retry_after: Value of the header field in which its refusals ask for a pause, None for none.
      states_not_executed: Whether refusals under `Fault.SHED` state that nothing was executed.
      crashing_parts: Ids of the prompt parts on which it crashes when it begins to respond.
      has_crashed: Whether it has crashed; it then accepts no connections.
      channels: Its open connections.
      executed: Requests that it executed.
      arrived_at: Monotonic seconds of each request received, without orders and report calls.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        weights: dict[str, int] | None = None,
        software: str = "v1",
    ):
        self.identity = identity
        self.service = service
        self.weights = dict(weights or {})
        self.software = software
        self.started_at_ms = 1_000
        self.marks_software = False
        self.fault = Fault.NONE
        self.execution_seconds = 0.0
        self.event_seconds = 0.0
        self.endless_seconds = 0.0
        self.has_comments = False
        self.silence_seconds = 0.0
        self.has_split_events = False
        self.is_leaving = False
        self.interim_fields: tuple[tuple[str, str], ...] = ()
        self.retry_after: str | None = None
        self.states_not_executed = True
        self.crashing_parts: frozenset[str] = frozenset()
        self.has_crashed = False
        self.channels: set[http1.Channel] = set()
        self.open_connections = 0
        self.load_seconds = 0.05
        self.order_fault = ""
        self.is_loading = False
        self.orders: list[dict] = []
        self.order_count = 0
        self.executed: list[ExecutedRequest] = []
        self.arrived_at: list[float] = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve_connection)

    def start(self) -> None:
        """Start accepting connections."""
        self.server.start()

    def stop(self) -> None:
        """Stop accepting."""
        self.server.stop(timeout=0)

    def crash(self) -> None:
        """End all connections at once and accept no others, as a crashed process does."""
        self.has_crashed = True
        self.stop()
        for channel in list(self.channels):
            channel.sock.shutdown(socket.SHUT_RDWR)

    def reopen(self) -> None:
        """Accept connections at the same address again after a crash."""
        self.has_crashed = False
        self.fault = Fault.NONE
        address = (self.server.server_host, self.server.server_port)
        self.server = gevent.server.StreamServer(address, self._serve_connection)
        self.start()

    def restart(self, software: str) -> None:
        """Start again under the same identity with other software, without registering it.

        Its responses in progress and its connections end.
        """
        for channel in list(self.channels):
            channel.sock.shutdown(socket.SHUT_RDWR)
        self.software = software
        self.started_at_ms += 1_000

    @property
    def arrivals(self) -> int:
        """Return the number of requests received, without orders and report calls."""
        return len(self.arrived_at)

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def entry(self, **changes) -> dict:
        """Return the entry that registers the endpoint in the store.

        Args:
          **changes: Fields that differ from the default.
        """
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.weights.items()]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": self.software,
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "colocated",
            "models": models,
            "sequence": 1,
            "born": self.started_at_ms,
        }
        return entry | changes

    def _serve_connection(self, sock, address) -> None:
        channel = http1.Channel(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_connections += 1
        self.channels.add(channel)
        try:
            while True:
                head = channel.read_head()
                if head is None:
                    return
                body = channel.read_body(http1.request_framing(head), 1 << 24)
                if not self._serve(channel, head, body):
                    return
        except (http1.EndOfStreamError, OSError):
            return
        finally:
            self.open_connections -= 1
            self.channels.discard(channel)
            channel.close()

    def _serve(self, channel, head, body: bytes) -> bool:
        """Respond to a request; return whether the connection stays open."""
        method, target, _ = head.start_line
        if target.startswith("/-/report"):
            return self._report(channel)
        if target.startswith("/-/order"):
            return self._order(channel, head, body)
        self.arrived_at.append(time.monotonic())
        fields = dict(head.fields)
        misdirected_fields = [
            ("Instance-Id", self.identity),
            ("Request-Id", fields.get("request-id", "")),
        ]
        if fields.get("target-instance", self.identity) != self.identity:
            return self._send(channel, 421, b"", misdirected_fields)
        expected, name = fields.get("expect-version"), fields.get("model")
        if expected is not None and int(expected) != self.weights.get(name, 0):
            return self._send(channel, 421, b"", misdirected_fields)
        if self.fault is Fault.SHED or self.is_loading:
            return self._refuse(channel, fields["request-id"])
        backup_handle = fields.get("kv-from")
        if backup_handle is not None and not self._consume_backup(backup_handle):
            return self._refuse(channel, fields["request-id"])
        if "kv-backup" in fields:
            BACKUPS.add((fields["kv-backup"], fields["request-id"]))
        if self.fault is Fault.RESET:
            return _reset(channel)
        return self._execute(channel, ExecutedRequest(method, target, fields, body))

    def _consume_backup(self, handle: str) -> bool:
        """Remove the KV backup that a handle names; return whether it can be used."""
        address, _, request_id = handle.partition("/")
        is_present = address == self.address and (address, request_id) in BACKUPS
        BACKUPS.discard((address, request_id))
        return is_present and self.fault is not Fault.LOSE_COPIES

    def _execute(self, channel, request: ExecutedRequest) -> bool:
        self.executed.append(request)
        gevent.sleep(self.execution_seconds)
        request_id = request.fields["request-id"]
        seal_fields = [
            ("Request-Id", request_id),
            ("Response-Seal", f"{self.identity}.{request_id}"),
        ]
        if self.fault is Fault.ERROR:
            return self._send(channel, 500, b"failed", seal_fields)
        if self.fault is Fault.RUN_AND_RESET:
            return _reset(channel)
        if self.fault is Fault.HANG:
            gevent.sleep(30.0)
        if self.fault is Fault.GARBAGE:
            channel.send(b"\x00\x01not an answer\r\n\r\n")
            return False
        if self.fault is Fault.CROSSED:
            seal_fields = [("Request-Id", "another"), ("Response-Seal", "x")]
        if self.fault is Fault.UNSEALED:
            seal_fields = [("Request-Id", request_id)]
        if self.fault in ENDLESS_RESPONSES:
            return self._send_endless(channel, ENDLESS_RESPONSES[self.fault], seal_fields)
        if "model" in request.fields:
            return self._send_stream(channel, request, seal_fields)
        return self._send_body(channel, request, seal_fields)

    def _send_endless(self, channel, response: EndlessResponse, seal_fields) -> bool:
        """Send a response that does not end, until the connection is closed."""
        if response.fields is not None:
            channel.send(http1.encode_head("HTTP/1.1 200 OK", [*seal_fields, *response.fields]))
        channel.send(response.start)
        while True:
            channel.send(response.piece)
            gevent.sleep(self.endless_seconds)

    def _send_body(self, channel, request: ExecutedRequest, seal_fields) -> bool:
        body = f"{self.identity} ran {request.target}".encode()
        if self.fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            channel.send(self._encode_head(200, seal_fields) + body)
            if self.fault is Fault.UNFRAMED_RESET:
                gevent.sleep(0.05)
                return _reset(channel)
            return False
        if self.fault is Fault.TRUNCATE:
            fields = [*seal_fields, ("Content-Length", str(len(body) + 5))]
            channel.send(self._encode_head(200, fields) + body)
            return False
        self._send(channel, 200, body, [*seal_fields, ("Keep-Alive", "timeout=5")])
        if self.fault is Fault.EXTRA:
            self._send(
                channel, 200, b"of nobody", [("Request-Id", "stale"), ("Response-Seal", "x")]
            )
        return True

    def _send_stream(self, channel, request: ExecutedRequest, seal_fields) -> bool:
        first = int(request.fields.get("last-event-id", "0")) + 1
        version = str(self.weights.get(request.fields["model"], 0))
        fields = [
            *seal_fields,
            ("Content-Type", "text/event-stream"),
            ("Weight-Versions", version),
            ("Transfer-Encoding", "chunked"),
        ]
        channel.send(self._encode_head(200, fields))
        software = self.software
        parts = {
            part.partition(":")[0] for part in request.fields.get("prompt-prefix", "").split(",")
        }
        if parts & self.crashing_parts:
            self.crash()
            return False
        for number in range(first, STREAM_EVENTS + 1):
            gevent.sleep(self.event_seconds / 2)
            if self.has_comments:
                channel.send(http1.encode_chunk(b": comment\n\n"))
            gevent.sleep(self.event_seconds / 2)
            if number == first + 2:
                self._pause(channel)
            mark = f" {software}" if self.marks_software else ""
            event = f"id: {number}\ndata: token-{number}{mark}\n\n".encode()
            if self.fault is Fault.CUT_STREAM and number == first + 2:
                channel.send(http1.encode_chunk(event[:7]))
                gevent.sleep(0.02)
                return _reset(channel)
            if self.fault is Fault.GARBLE_STREAM and number == first + 2:
                channel.send(b"not a chunk\r\n")
                return False
            if self.fault is Fault.CRASH_STREAM and number == first + 2:
                self.stop()
                return _reset(channel)
            if self.fault is Fault.FREEZE_STREAM and number == first + 2:
                self.stop()
                gevent.sleep(30.0)
            if not channel.is_open_and_idle():
                request.is_cancelled = True
                return False
            if self.has_split_events:
                channel.send(http1.encode_chunk(event[:7]))
                gevent.sleep(SPLIT_SECONDS)
                event = event[7:]
            channel.send(http1.encode_chunk(event))
        channel.send(http1.LAST_CHUNK)
        return True

    def _pause(self, channel) -> None:
        """Pause in the middle of a stream; with comments, these go on meanwhile."""
        remaining = self.silence_seconds
        while self.has_comments and remaining > COMMENT_SECONDS:
            gevent.sleep(COMMENT_SECONDS)
            remaining -= COMMENT_SECONDS
            channel.send(http1.encode_chunk(b": comment\n\n"))
        gevent.sleep(remaining)

    def _report(self, channel) -> bool:
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.weights.items()]
        document = {
            "stage": "colocated",
            "models": models,
            "busy": self.is_loading,
            "sequence": self.order_count,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 1000,
            "handles": 0,
            "born": self.started_at_ms,
        }
        return self._send(channel, 200, json.dumps(document).encode(), [])

    def _order(self, channel, head, body: bytes) -> bool:
        order = json.loads(body)
        if head.get("target-instance") not in (None, self.identity):
            return self._send(channel, 421, b"", [])
        if self.order_fault == "late":
            gevent.spawn_later(0.3, self._accept_order, order)
            gevent.sleep(30.0)
        status = self._accept_order(order)
        if self.order_fault == "lost":
            gevent.sleep(30.0)
        return self._send(channel, status, b"", [])

    def _accept_order(self, order: dict) -> int:
        self.orders.append(order)
        if self.weights.get(order["model"], 0) >= order["version"]:
            return 200
        if self.is_loading or order.get("expected", self.order_count) != self.order_count:
            return 409
        self.order_count += 1
        self.is_loading = True
        gevent.spawn_later(self.load_seconds, self._finish_loading, order)
        return 202

    def _finish_loading(self, order: dict) -> None:
        self.weights[order["model"]] = order["version"]
        self.is_loading = False

    def _refuse(self, channel, request_id: str) -> bool:
        """Refuse a request, which was not executed."""
        fields = [("Request-Id", request_id)]
        if self.states_not_executed:
            fields.append(("Not-Executed", "1"))
        if self.retry_after is not None:
            fields.append(("Retry-After", self.retry_after))
        return self._send(channel, 503, b"", fields)

    def _send(self, channel, status: int, body: bytes, fields) -> bool:
        """Send a complete response; return True, as the connection stays open."""
        framed = [*fields, ("Content-Length", str(len(body)))]
        channel.send(self._encode_head(status, framed) + body)
        return True

    def _encode_head(self, status: int, fields) -> bytes:
        """Encode the head of a response, after an interim response if there is one."""
        interim = b""
        if self.interim_fields:
            interim = http1.encode_head("HTTP/1.1 103 Early Hints", self.interim_fields)
        leaving = [("Server-Leaving", "1")] if self.is_leaving else []
        return interim + http1.encode_head(f"HTTP/1.1 {status} X", [*fields, *leaving])


def _reset(channel) -> bool:
    """Make the close of the connection reset it; return False, as the caller must close it."""
    linger = struct.pack("ii", 1, 0)
    channel.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False
