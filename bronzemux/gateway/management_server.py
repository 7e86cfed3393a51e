"""HTTP server of the management pages, which reads no bodies and bounds what a client takes."""

import socket

import gevent

from bronzemux import clock as clocks
from bronzemux import http_server
from bronzemux.gateway import connection_limit

# Longest head of a request; clients inside the limits of the platform send less.
MAX_HEAD_BYTES = 65536
# Bytes that a socket holds before its client has to wait, which a page's request never needs.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Connections that are accepted before the first of them is served or makes room.
ACCEPTED_AT_ONCE = 8


class HeadReader(http_server.SocketReader):
    """Stream that ends with a timeout when a head is too long."""

    def __init__(self, sock: socket.socket):
        super().__init__(sock)
        self.head_bytes = 0

    def readinto(self, buffer) -> int | None:
        """Receive bytes; see the base class.

        Raises:
          TimeoutError: Also when more bytes have arrived than a head may have.
        """
        count = super().readinto(buffer)
        self.head_bytes += count or 0
        if self.head_bytes > MAX_HEAD_BYTES:
            raise TimeoutError("the head is too long")
        return count


class Handler(http_server.Handler):
    """Handler of one connection, which is closed after a request with a body."""

    reader_class = HeadReader

    def read_requestline(self):
        """Return the request line; an empty one closes the connection."""
        # Clients that send many requests ahead leave time for others.
        gevent.sleep(0)
        self.reader.head_bytes = 0
        self.server.enter(self.socket, connection_limit.Stage.IDLE)
        line = super().read_requestline()
        self.server.enter(self.socket, connection_limit.Stage.READING)
        return line

    def read_request(self, raw_requestline):
        """Read the headers; a body is left unread."""
        is_valid = super().read_request(raw_requestline)
        if is_valid and (self.content_length or "transfer-encoding" in self.headers):
            self.content_length = 0
            del self.headers["content-length"]
            del self.headers["transfer-encoding"]
            self.close_connection = True
        return is_valid


class Server(http_server.Server):
    """WSGI server whose connections count against those of all callers.

    Args:
      listener: Host and port.
      application: WSGI application.
      limit: Connections of the process.
      clock: Source of time.
    """

    handler_class = Handler

    def __init__(
        self,
        listener,
        application,
        limit: connection_limit.ConnectionLimit,
        clock: clocks.Clock,
    ):
        super().__init__(listener, application)
        self.max_accept = ACCEPTED_AT_ONCE
        self.limit = limit
        self.clock = clock
        self.connections: dict[socket.socket, connection_limit.Connection] = {}

    def init_socket(self):
        """Open the listening socket; its connections inherit the size of the receive buffer."""
        super().init_socket()
        http_server.limit_receive_buffer(self.socket, RECEIVE_BUFFER_BYTES)

    def enter(self, sock: socket.socket, stage: connection_limit.Stage) -> None:
        """Record that a connection enters a stage."""
        self.connections[sock].enter(stage, self.clock.monotonic())

    def handle(self, sock, address):
        """Serve one connection until it closes, unless there is no room for it."""

        def close() -> bool:
            http_server.shutdown_socket(sock)
            return True

        connection = self.limit.open(close, self.clock.monotonic())
        if connection is None:
            return
        self.connections[sock] = connection
        try:
            super().handle(sock, address)
        finally:
            del self.connections[sock]
            self.limit.remove(connection)
