"""Connections of callers: strict reading, answers, and notice of callers that leave."""

import socket
from collections.abc import Callable

import gevent
import gevent.server

from bronzemux import clock as clocks
from bronzemux import errors, http_client, logs
from bronzemux.gateway import admission, failures, forwarder, http1, model

# Connections that wait to be accepted: all callers of a data centre at once after a restart.
BACKLOG = 1024
# A caller that reads nothing for this long is cut off: callers give streams up sooner.
WRITE_SECONDS = 5.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# The event loop's flag for readable.
READ_EVENT = 1


class Departure:
    """Interrupts a greenlet when its caller closes the connection.

    Args:
      sock: The caller's socket.
      greenlet: Greenlet that serves it.
    """

    def __init__(self, sock, greenlet: gevent.Greenlet):
        self.sock = sock
        self.greenlet = greenlet
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)

    def __enter__(self):
        self.watcher.start(self._on_readable)
        return self

    def __exit__(self, *exception):
        self.watcher.stop()
        self.watcher.close()

    def _on_readable(self) -> None:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            is_gone = not self.sock._sock.recv(1, flags)
        except BlockingIOError:
            return
        except OSError:
            is_gone = True
        # Bytes of a next request would report readiness for good, so the watch ends either way.
        self.watcher.stop()
        if is_gone:
            gevent.kill(self.greenlet, failures.CallerLeftError("the caller closed its connection"))


class Caller:
    """Sending side of one connection.

    Args:
      channel: The connection.
      protocol: Encodes refusals.
      is_stopping: Returns whether connections are no longer kept.
    """

    def __init__(
        self,
        channel: http1.Channel,
        protocol: model.Protocol,
        is_stopping: Callable[[], bool] = lambda: False,
    ):
        self.channel = channel
        self.protocol = protocol
        self.is_stopping = is_stopping
        self.closes = False

    def connection_fields(self) -> list[tuple[str, str]]:
        """Return the fields that tell whether the connection is kept."""
        self.closes = self.closes or self.is_stopping()
        return [("Connection", "close")] if self.closes else []

    def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
          failures.CallerLeftError: When the caller is gone or does not read.
        """
        try:
            self.channel.send(data)
        except (http1.EndOfStreamError, TimeoutError) as error:
            raise failures.CallerLeftError(f"the caller is gone: {error}") from error

    def refuse(self, request_id: str | None, status: int, text: str, retry_after=None) -> None:
        """Send an answer of the gateway itself."""
        self.closes = self.closes or self.is_stopping()
        self.send(self.protocol.encode_refusal(request_id, status, text, retry_after, self.closes))


class Ingress:
    """Server for callers.

    Args:
      address: IP number and port.
      served: Serves the requests.
      clock: Source of time.
    """

    def __init__(self, address: str, served: forwarder.Forwarder, clock: clocks.Clock):
        self.forwarder = served
        self.admission = admission.Admission(served.components)
        self.protocol = served.components.protocol
        self.clock = clock
        self.repeats = logs.RepeatFilter(clock)
        self.is_stopping = False
        self.in_flight = 0
        self.last_request_at = clock.monotonic()
        self.open: set[http1.Channel] = set()
        self.idle: set[http1.Channel] = set()
        host, _, port = address.rpartition(":")
        self.server = gevent.server.StreamServer((host, int(port)), self._handle, backlog=BACKLOG)

    def start(self) -> None:
        """Accept connections."""
        self.server.start()

    def stop_accepting(self) -> None:
        """Close the listening socket and the idle connections."""
        self.server.stop_accepting()
        self.server.close()
        for channel in list(self.idle):
            cut(channel.sock)

    def _handle(self, sock, address) -> None:
        channel = http1.Channel(sock)
        self.open.add(channel)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self._serve_next(channel):
                continue
        except failures.CallerLeftError:
            pass
        except http1.EndOfStreamError as error:
            self.repeats.event("connection_cut", "incomplete", "info", cause=error.message)
        except OSError as error:
            self.repeats.event("connection_failed", "socket", "info", cause=str(error))
        finally:
            self.open.discard(channel)
            self.idle.discard(channel)
            channel.close()

    def _limits(self) -> model.CallerLimits:
        config = self.forwarder.components.cluster_state.configuration
        return config.limits if config is not None else model.CallerLimits()

    def _serve_next(self, channel: http1.Channel) -> bool:
        """Serve one request; return whether another may follow."""
        limits = self._limits()
        caller = Caller(channel, self.protocol, lambda: self.is_stopping)
        if not channel.buffer and not self._await_request(channel, limits):
            return False
        arrived_at = self.clock.monotonic()
        try:
            request = self._read(channel, limits)
        except TimeoutError:
            caller.closes = True
            caller.refuse(None, 408, "the request did not arrive in time; send it again")
            return False
        except http1.TooLargeError as error:
            caller.closes = True
            status = 431 if "head" in error.message else 413
            caller.refuse(None, status, str(error))
            return False
        except http1.FramingError as error:
            caller.closes = True
            self.repeats.event("request_malformed", error.message[:40], cause=str(error))
            caller.refuse(None, 400, str(error))
            return False
        if request is None:
            return False
        head, body = request
        return self._answer(channel, caller, head, body, arrived_at)

    def _await_request(self, channel: http1.Channel, limits: model.CallerLimits) -> bool:
        channel.sock.settimeout(limits.idle_seconds)
        self.idle.add(channel)
        try:
            return channel.fill()
        except TimeoutError:
            return False
        finally:
            self.idle.discard(channel)

    def _read(self, channel: http1.Channel, limits: model.CallerLimits):
        channel.sock.settimeout(limits.head_seconds)
        with gevent.Timeout(limits.head_seconds, TimeoutError("slow head")):
            head = channel.read_head(limits.head_bytes)
        if head is None:
            return None
        framing = http1.request_framing(head)
        if framing.length and framing.length > limits.body_bytes:
            raise http1.TooLargeError(
                f"the body exceeds {limits.body_bytes} bytes", "send a shorter body"
            )
        if (head.get("expect") or "").lower() == "100-continue":
            channel.send(CONTINUE)
        return head, channel.read_body(framing, limits.body_bytes)

    def _answer(self, channel, caller: Caller, head, body: bytes, arrived_at: float) -> bool:
        self.last_request_at = arrived_at
        caller.closes = self.is_stopping or head.closes()
        channel.sock.settimeout(WRITE_SECONDS)
        try:
            request = self.protocol.decode_request(head, body)
        except errors.BronzemuxError as error:
            caller.refuse(None, 400, str(error))
            return not caller.closes
        self.in_flight += 1
        try:
            with Departure(channel.sock, gevent.getcurrent()):
                self._forward(request, caller, arrived_at)
        finally:
            self.in_flight -= 1
        return not caller.closes and not self.is_stopping

    def _forward(self, request: model.Request, caller: Caller, arrived_at: float) -> None:
        try:
            job = self.admission.admit(request, arrived_at)
        except failures.RefusedError as error:
            known = self.forwarder.components.cluster_state
            logs.event(
                "request_refused",
                id=request.id,
                status=error.status,
                cause=error.message,
                config=known.configuration.version if known.configuration else None,
                age=known.age(),
                retry_after=error.retry_after,
            )
            self.forwarder.components.meters.refusals.labels(str(error.status)).inc()
            caller.refuse(request.id, error.status, str(error), error.retry_after)
            return
        self.forwarder.serve(job, caller)


def cut(sock) -> None:
    """Close the connection of a caller that sends nothing, unless it has just sent something."""
    if not http_client.is_open_and_idle(sock):
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
