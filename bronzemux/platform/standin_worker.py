"""Stand-in of an endpoint of the platform, for tests and development."""

import dataclasses
import enum
import json
import socket
import struct

import gevent
import gevent.server

from bronzemux.gateway import http1

EVENTS = 6
# Copies of runs' memory that endpoints of this process sent each other: holder's address and
# request's id.
COPIES: set[tuple[str, str]] = set()


class Fault(enum.Enum):
    """How the endpoint treats requests."""

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
    CRASH_STREAM = "crash-stream"
    FREEZE_STREAM = "freeze-stream"
    LOSE_COPIES = "lose-copies"


@dataclasses.dataclass
class ExecutedRequest:
    """A request that the endpoint ran."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    is_cancelled: bool = False


class StandInWorker:
    """Endpoint that answers with numbered events or a short body.

    Args:
      identity: Identity under which it registers.
      service: Its service.
      weights: Version by model; empty for a plain service.
    """

    def __init__(self, identity: str, service: str, weights: dict[str, int] | None = None):
        self.identity = identity
        self.service = service
        self.weights = dict(weights or {})
        self.fault = Fault.NONE
        self.seconds = 0.0
        self.event_seconds = 0.0
        self.load_seconds = 0.05
        self.order_fault = ""
        self.is_loading = False
        self.orders: list[dict] = []
        self.order_count = 0
        self.executed: list[ExecutedRequest] = []
        self.arrivals = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._handle)

    def start(self) -> None:
        """Accept connections."""
        self.server.start()

    def stop(self) -> None:
        """Stop accepting."""
        self.server.stop(timeout=0)

    @property
    def address(self) -> str:
        """Return IP number and port."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def entry(self, **changes) -> dict:
        """Return its entry in the store."""
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.weights.items()]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "colocated",
            "models": models,
            "sequence": 1,
            "born": 1_000,
        }
        return entry | changes

    def _handle(self, sock, address) -> None:
        channel = http1.Channel(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
            channel.close()

    def _serve(self, channel, head, body: bytes) -> bool:
        method, target, _ = head.start_line
        if target.startswith("/-/report"):
            return self._report(channel)
        if target.startswith("/-/order"):
            return self._order(channel, head, body)
        self.arrivals += 1
        fields = dict(head.fields)
        if fields.get("target-instance", self.identity) != self.identity:
            return _send(channel, 421, b"", [("Instance-Id", self.identity)])
        expected, name = fields.get("expect-version"), fields.get("model")
        if expected is not None and int(expected) != self.weights.get(name, 0):
            return _send(channel, 421, b"", [("Instance-Id", self.identity)])
        if self.fault is Fault.SHED or self.is_loading:
            return _send(channel, 503, b"", [("Not-Executed", "1")])
        copy = fields.get("kv-from")
        if copy is not None and not self._take_copy(copy):
            return _send(channel, 503, b"", [("Not-Executed", "1")])
        if "kv-backup" in fields:
            COPIES.add((fields["kv-backup"], fields["request-id"]))
        if self.fault is Fault.RESET:
            return _reset(channel)
        return self._run(channel, ExecutedRequest(method, target, fields, body))

    def _take_copy(self, handle: str) -> bool:
        """Use up the copy that a handle names; return whether it is there."""
        address, _, request_id = handle.partition("/")
        is_here = address == self.address and (address, request_id) in COPIES
        COPIES.discard((address, request_id))
        return is_here and self.fault is not Fault.LOSE_COPIES

    def _run(self, channel, seen: ExecutedRequest) -> bool:
        self.executed.append(seen)
        gevent.sleep(self.seconds)
        request_id = seen.fields["request-id"]
        sealed = [("Request-Id", request_id), ("Response-Seal", f"{self.identity}.{request_id}")]
        if self.fault is Fault.ERROR:
            return _send(channel, 500, b"failed", sealed)
        if self.fault is Fault.RUN_AND_RESET:
            return _reset(channel)
        if self.fault is Fault.HANG:
            gevent.sleep(30.0)
        if self.fault is Fault.GARBAGE:
            channel.send(b"\x00\x01not an answer\r\n\r\n")
            return False
        if self.fault is Fault.CROSSED:
            sealed = [("Request-Id", "another"), ("Response-Seal", "x")]
        if self.fault is Fault.UNSEALED:
            sealed = [("Request-Id", request_id)]
        if "model" in seen.fields:
            return self._stream(channel, seen, sealed)
        return self._plain(channel, seen, sealed)

    def _plain(self, channel, seen: ExecutedRequest, sealed) -> bool:
        body = f"{self.identity} ran {seen.target}".encode()
        if self.fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            channel.send(http1.encode_head("HTTP/1.1 200 OK", sealed) + body)
            if self.fault is Fault.UNFRAMED_RESET:
                gevent.sleep(0.05)
                return _reset(channel)
            return False
        if self.fault is Fault.TRUNCATE:
            fields = [*sealed, ("Content-Length", str(len(body) + 5))]
            channel.send(http1.encode_head("HTTP/1.1 200 OK", fields) + body)
            return False
        _send(channel, 200, body, [*sealed, ("Keep-Alive", "timeout=5")])
        if self.fault is Fault.EXTRA:
            _send(channel, 200, b"of nobody", [("Request-Id", "stale"), ("Response-Seal", "x")])
        return True

    def _stream(self, channel, seen: ExecutedRequest, sealed) -> bool:
        first = int(seen.fields.get("last-event-id", "0")) + 1
        version = str(self.weights.get(seen.fields["model"], 0))
        fields = [
            *sealed,
            ("Content-Type", "text/event-stream"),
            ("Weight-Versions", version),
            ("Transfer-Encoding", "chunked"),
        ]
        channel.send(http1.encode_head("HTTP/1.1 200 OK", fields))
        for number in range(first, EVENTS + 1):
            gevent.sleep(self.event_seconds)
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            if self.fault is Fault.CUT_STREAM and number == first + 2:
                channel.send(http1.encode_chunk(event[:7]))
                gevent.sleep(0.02)
                return _reset(channel)
            if self.fault is Fault.CRASH_STREAM and number == first + 2:
                self.stop()
                return _reset(channel)
            if self.fault is Fault.FREEZE_STREAM and number == first + 2:
                self.stop()
                gevent.sleep(30.0)
            if not channel.is_quiet():
                seen.is_cancelled = True
                return False
            channel.send(http1.encode_chunk(event))
        channel.send(http1.LAST_CHUNK)
        return True

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
        }
        return _send(channel, 200, json.dumps(document).encode(), [])

    def _order(self, channel, head, body: bytes) -> bool:
        order = json.loads(body)
        if head.get("target-instance") not in (None, self.identity):
            return _send(channel, 421, b"", [])
        if self.order_fault == "late":
            gevent.spawn_later(0.3, self._accept, order)
            gevent.sleep(30.0)
        status = self._accept(order)
        if self.order_fault == "lost":
            gevent.sleep(30.0)
        return _send(channel, status, b"", [])

    def _accept(self, order: dict) -> int:
        self.orders.append(order)
        if self.weights.get(order["model"], 0) >= order["version"]:
            return 200
        if self.is_loading or order.get("expected", self.order_count) != self.order_count:
            return 409
        self.order_count += 1
        self.is_loading = True
        gevent.spawn_later(self.load_seconds, self._loaded, order)
        return 202

    def _loaded(self, order: dict) -> None:
        self.weights[order["model"]] = order["version"]
        self.is_loading = False


def _send(channel, status: int, body: bytes, fields) -> bool:
    framed = [*fields, ("Content-Length", str(len(body)))]
    channel.send(http1.encode_head(f"HTTP/1.1 {status} X", framed) + body)
    return True


def _reset(channel) -> bool:
    linger = struct.pack("ii", 1, 0)
    channel.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False
