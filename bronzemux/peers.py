"""Websocket connections between routers.

The protocol is that of websockets, without its threads: a connection costs one greenlet at the
receiver and two at the sender.
"""

import socket
from collections import abc

import gevent
import gevent.event
import gevent.lock
import gevent.pool
import gevent.queue
import gevent.server
from websockets import client, exceptions, frames, http11, protocol, server, uri

from bronzemux import clock as clocks
from bronzemux import logs

CONNECT_TIMEOUT_SECONDS = 1.0
KEEPALIVE_SECONDS = 5.0
# A sender pings at least every `KEEPALIVE_SECONDS`; a connection that stays silent for twice as
# long has lost its sender.
SILENCE_TIMEOUT_SECONDS = 2 * KEEPALIVE_SECONDS
RECONNECT_DELAY_SECONDS = 1.0
# A ping goes out together with a message that is sent in this last part of the interval, which
# saves a wake-up on both sides.
PING_EARLY_FRACTION = 0.3
MAX_QUEUED_FRAMES = 64
MAX_FRAME_BYTES = 16 * 1024 * 1024
READ_BYTES = 65536
CONNECTION_ERRORS = (OSError, TimeoutError, exceptions.WebSocketException)


class PeerConnection:
    """One websocket connection over a socket, for either side.

    Attributes:
      is_pong_due: Whether the last ping has not been answered.

    Args:
      sock: The connected socket.
      state: Protocol of the client or of the server side.
    """

    def __init__(self, sock: socket.socket, state: protocol.Protocol):
        self.sock = sock
        self.protocol = state
        self.is_pong_due = False
        self.send_lock = gevent.lock.RLock()

    def is_open(self) -> bool:
        """Return whether frames can be sent and received."""
        return self.protocol.state is protocol.State.OPEN

    def flush(self) -> None:
        """Send what the protocol has queued.

        Raises:
          OSError: When the connection is lost.
        """
        with self.send_lock:
            data = b"".join(self.protocol.data_to_send())
            if data:
                self.sock.sendall(data)

    def receive(self) -> list:
        """Wait for data and return the events in it, none at the end of the connection.

        Raises:
          OSError: When the connection is lost, or silent for the timeout of the socket.
        """
        data = self.sock.recv(READ_BYTES)
        if data:
            self.protocol.receive_data(data)
        else:
            self.protocol.receive_eof()
        events = self.protocol.events_received()
        self.flush()
        return events

    def open_client(self) -> None:
        """Perform the opening handshake of the client side.

        Raises:
          exceptions.WebSocketException: When the server refuses it.
          OSError: When the connection is lost or the handshake takes too long.
        """
        self.protocol.send_request(self.protocol.connect())
        self.flush()
        while self.protocol.state is protocol.State.CONNECTING:
            self.receive()
            if self.protocol.handshake_exc is not None:
                raise self.protocol.handshake_exc

    def messages(self) -> abc.Iterator[bytes]:
        """Yield the binary messages that arrive until the connection ends.

        Raises:
          OSError: When the connection is lost, or silent for the timeout of the socket.
        """
        while True:
            events = self.receive()
            for event in events:
                if isinstance(event, http11.Request):
                    self.protocol.send_response(self.protocol.accept(event))
                    self.flush()
                elif event.opcode is frames.Opcode.PONG:
                    self.is_pong_due = False
                elif event.opcode is frames.Opcode.BINARY and event.fin:
                    yield bytes(event.data)
                elif event.opcode in frames.DATA_OPCODES:
                    self.protocol.fail(frames.CloseCode.UNSUPPORTED_DATA, "one binary frame")
                    self.flush()
            if self.protocol.close_expected() or self.protocol.state is protocol.State.CLOSED:
                return

    def queue_ping(self) -> None:
        """Queue a ping for the next `flush`.

        Raises:
          TimeoutError: When the previous one has not been answered.
        """
        if self.is_pong_due:
            raise TimeoutError("the last ping was not answered")
        self.is_pong_due = True
        self.protocol.send_ping(b"")


class Peer:
    """Outgoing connection to one router; drops messages while the router is unreachable.

    Args:
      address: IP address and port.
      meters: Metrics of the router, of which `mesh_bytes` counts the bytes sent.
      keepalive_seconds: Interval of websocket pings, and the time without a pong or a TCP
        acknowledgement after which the connection is closed.
      clock: Source of time.
    """

    def __init__(
        self,
        address: str,
        meters,
        keepalive_seconds: float = KEEPALIVE_SECONDS,
        clock: clocks.Clock | None = None,
    ):
        self.address = address
        self.meters = meters
        self.keepalive_seconds = keepalive_seconds
        self.clock = clock or clocks.SystemClock()
        self.queue: gevent.queue.Queue = gevent.queue.Queue(MAX_QUEUED_FRAMES)
        self.greenlet = gevent.spawn(self._run)

    def send(self, frame: bytes) -> None:
        """Queue a frame, or drop it when `MAX_QUEUED_FRAMES` are waiting."""
        try:
            self.queue.put_nowait(frame)
        except gevent.queue.Full:
            logs.event("peer_queue_full", "debug", peer=self.address)

    def close(self) -> None:
        """Close the connection and drop the queued frames."""
        self.greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            first = self.queue.get()
            try:
                self._connect_and_send(first)
            except CONNECTION_ERRORS as error:
                logs.event("peer_lost", "debug", peer=self.address, cause=str(error))
                gevent.sleep(RECONNECT_DELAY_SECONDS)

    def _connect_and_send(self, first: bytes) -> None:
        """Send a frame and the following ones on a new connection, until that is lost.

        Raises:
          exceptions.WebSocketException: When the handshake fails.
          OSError: When the router cannot be reached or the connection is lost.
        """
        host, _, port = self.address.rpartition(":")
        with socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            milliseconds = int(self.keepalive_seconds * 1000)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
            state = client.ClientProtocol(
                uri.parse_uri(f"ws://{self.address}/"), max_size=MAX_FRAME_BYTES
            )
            connection = PeerConnection(sock, state)
            connection.open_client()
            sock.settimeout(None)
            reader = gevent.spawn(self._read_replies, connection)
            try:
                self._send_frames(connection, first)
            finally:
                reader.kill(block=False)

    def _send_frames(self, connection: PeerConnection, first: bytes) -> None:
        frame = first
        next_ping_at = self.clock.monotonic() + self.keepalive_seconds
        while True:
            if not connection.is_open():
                raise ConnectionError("the router closed the connection")
            remaining = next_ping_at - self.clock.monotonic()
            if frame is not None:
                connection.protocol.send_binary(frame)
                self.meters.mesh_bytes.labels("sent").inc(len(frame))
                remaining -= PING_EARLY_FRACTION * self.keepalive_seconds
            if remaining <= 0:
                connection.queue_ping()
                next_ping_at = self.clock.monotonic() + self.keepalive_seconds
            connection.flush()
            wait = next_ping_at - self.clock.monotonic()
            try:
                frame = self.queue.get(timeout=max(0.0, wait))
            except gevent.queue.Empty:
                frame = None

    def _read_replies(self, connection: PeerConnection) -> None:
        """Handle pongs and the closing handshake; the router sends nothing else."""
        try:
            for _ in connection.messages():
                logs.event("peer_message_ignored", "debug", peer=self.address)
        except CONNECTION_ERRORS as error:
            logs.event("peer_connection_ended", "debug", peer=self.address, cause=str(error))
            connection.protocol.receive_eof()


class PeerServer:
    """Server for the connections of other routers.

    Args:
      host: IP address to listen on.
      port: Port to listen on, 0 for a free one.
      receive: Called with each received binary frame.
    """

    def __init__(self, host: str, port: int, receive: abc.Callable[[bytes], None]):
        self.receive = receive
        listener = socket.create_server((host, port))
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = listener.getsockname()[1]
        self.connections = gevent.pool.Pool()
        self.acceptor = gevent.server.StreamServer(
            listener, self._read_frames, spawn=self.connections
        )

    def start(self) -> None:
        """Start to accept connections."""
        self.acceptor.start()

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.acceptor.close()
        self.connections.kill(block=False)

    def _read_frames(self, sock: socket.socket, address) -> None:
        """Pass on the frames of one connection until it ends."""
        sock.settimeout(SILENCE_TIMEOUT_SECONDS)
        state = server.ServerProtocol(max_size=MAX_FRAME_BYTES)
        with sock:
            try:
                for frame in PeerConnection(sock, state).messages():
                    self.receive(frame)
            except CONNECTION_ERRORS as error:
                logs.event("peer_connection_ended", "debug", cause=str(error))
