"""Websocket connections between routers."""

import socket
from collections import abc

import gevent
import gevent.queue
import gevent.server
import websockets.exceptions
from websockets.sync import client as websocket_client
from websockets.sync import server as websocket_server

from bronzemux import logs

CONNECT_TIMEOUT_SECONDS = 1.0
CLOSE_TIMEOUT_SECONDS = 1.0
KEEPALIVE_SECONDS = 5.0
RECONNECT_DELAY_SECONDS = 1.0
MAX_QUEUED_FRAMES = 64
MAX_FRAME_BYTES = 16 * 1024 * 1024
CONNECTION_ERRORS = (OSError, TimeoutError, websockets.exceptions.WebSocketException)


class Peer:
    """Outgoing connection to one router; drops messages while the router is unreachable.

    Args:
      address: IP address and port.
      meters: Metrics of the router, of which `mesh_bytes` counts the bytes sent.
      keepalive_seconds: Interval of websocket pings, and the time without a pong or a TCP
        acknowledgement after which the connection is closed.
    """

    def __init__(self, address: str, meters, keepalive_seconds: float = KEEPALIVE_SECONDS):
        self.address = address
        self.meters = meters
        self.keepalive_seconds = keepalive_seconds
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
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        milliseconds = int(self.keepalive_seconds * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        with websocket_client.connect(
            f"ws://{self.address}/",
            sock=sock,
            open_timeout=CONNECT_TIMEOUT_SECONDS,
            ping_interval=self.keepalive_seconds,
            ping_timeout=self.keepalive_seconds,
            compression=None,
            max_size=MAX_FRAME_BYTES,
        ) as connection:
            frame = first
            while True:
                connection.send(frame)
                self.meters.mesh_bytes.labels("sent").inc(len(frame))
                frame = self.queue.get()


class PeerServer:
    """Server for the connections of other routers.

    gevent's `StreamServer` accepts connections instead of the accept loop of websockets, which
    never closes its selector. That selector would keep watching the numbers of closed descriptors,
    which the operating system reuses for new sockets.

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
        self.protocol_server = websocket_server.serve(
            self._read_frames,
            sock=listener,
            ping_interval=KEEPALIVE_SECONDS,
            ping_timeout=KEEPALIVE_SECONDS,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            compression=None,
            max_size=MAX_FRAME_BYTES,
        )
        self.acceptor = gevent.server.StreamServer(listener, self.protocol_server.handler)

    def start(self) -> None:
        """Start to accept connections."""
        self.acceptor.start()

    def close(self) -> None:
        """Stop accepting connections, then close the open ones."""
        self.protocol_server.socket_closed.set()
        self.acceptor.close()
        self.protocol_server.shutdown_watcher.close()
        self.protocol_server.shutdown_notifier.close()
        closing = [gevent.spawn(item.close) for item in self.protocol_server.connections]
        gevent.joinall(closing, timeout=2 * CLOSE_TIMEOUT_SECONDS)

    def _read_frames(self, connection) -> None:
        """Pass on the frames of one connection until it ends."""
        try:
            for frame in connection:
                if isinstance(frame, bytes):
                    self.receive(frame)
        except CONNECTION_ERRORS as error:
            logs.event("peer_connection_ended", "debug", cause=str(error))
