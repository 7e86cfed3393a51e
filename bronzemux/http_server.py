"""WSGI server based on gevent.pywsgi, with TCP_NODELAY, read and write timeouts, and abort."""

import contextlib
import io
import socket
import time
from collections.abc import Iterator

import gevent
import gevent.server
from gevent import pywsgi

from bronzemux import http_client, logs, records

IDLE_TIMEOUT_SECONDS = 75.0
HEADER_TIMEOUT_SECONDS = 10.0
WRITE_TIMEOUT_SECONDS = 30.0
# Wait for a request on a connection once the listening socket is closed: a few round trips.
LAST_REQUEST_SECONDS = 0.25
DRAIN_POLL_SECONDS = 0.02
# Most bytes that are read after the time for them has passed: what arrived during a pause.
MAX_LATE_BYTES = 1024 * 1024
# Key of the `SocketReader` of a connection in the WSGI environment.
READER_KEY = "bronzemux.reader"
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


@records.record
class ConnectionTimeouts:
    """Timeouts of the connection of a client in seconds.

    Attributes:
      idle: Wait for the next request line.
      header: Time for all headers of a request.
      write: Wait for the client to accept data of a response, or to send data of a body.
    """

    idle: float = IDLE_TIMEOUT_SECONDS
    header: float = HEADER_TIMEOUT_SECONDS
    write: float = WRITE_TIMEOUT_SECONDS


DEFAULT_TIMEOUTS = ConnectionTimeouts()


class SocketReader(io.RawIOBase):
    """Stream of the bytes that arrive at a socket, which a timeout ends only when none are there.

    After a pause of the process, a timeout may have expired although bytes arrived meanwhile.

    Args:
      sock: Connected socket.
    """

    def __init__(self, sock: socket.socket):
        super().__init__()
        self.sock = sock
        self.ends_at: float | None = None
        self.late_bytes = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    @contextlib.contextmanager
    def limit(self, seconds: float) -> Iterator[None]:
        """Limit the time of all reads in the context, besides the timeout of the socket."""
        self.ends_at = time.monotonic() + seconds
        self.late_bytes = 0
        try:
            yield
        finally:
            self.ends_at = None

    def readinto(self, buffer) -> int | None:
        """Receive bytes; return their number, 0 at the end of the stream.

        Returns None when no bytes are there and the timeout of the socket is 0.

        Raises:
          TimeoutError: When no bytes arrive in time.
        """
        timeout = self.sock.gettimeout()
        if timeout == 0:
            return self._receive_at_once(buffer)
        seconds = timeout
        if self.ends_at is not None:
            left = max(0.0, self.ends_at - time.monotonic())
            seconds = left if timeout is None else min(timeout, left)
        try:
            if seconds != 0:
                self.sock.settimeout(seconds)
                with contextlib.suppress(TimeoutError):
                    count = self.sock.recv_into(buffer)
                    self.late_bytes = 0
                    return count
            self.sock.settimeout(0.0)
            count = self._receive_at_once(buffer) if self.late_bytes < MAX_LATE_BYTES else None
        finally:
            self.sock.settimeout(timeout)
        if count is None:
            raise TimeoutError("timed out")
        self.late_bytes += count
        return count

    def _receive_at_once(self, buffer) -> int | None:
        try:
            return self.sock.recv_into(buffer)
        except BlockingIOError:
            return None


class Handler(pywsgi.WSGIHandler):
    """Handler of one connection that enforces the timeouts of its server."""

    reader_class = SocketReader

    def __init__(self, sock, address, server):
        self.reader = self.reader_class(sock)
        super().__init__(sock, address, server, io.BufferedReader(self.reader))

    def read_requestline(self):
        """Return the request line; an empty one after the idle timeout closes the connection."""
        self.socket.settimeout(self.server.idle_seconds())
        self.server.idle_sockets.add(self.socket)
        try:
            if not self.rfile.peek(1):
                return ""
            self.server.idle_sockets.discard(self.socket)
            return super().read_requestline()
        except TimeoutError:
            return ""
        finally:
            self.server.idle_sockets.discard(self.socket)

    def read_request(self, raw_requestline):
        """Read the headers; returning False after a timeout closes the connection."""
        self.socket.settimeout(self.server.timeouts.write)
        try:
            with self.reader.limit(self.server.timeouts.header):
                return super().read_request(raw_requestline)
        except TimeoutError:
            return False

    def get_environ(self):
        """Return the WSGI environment, with the reader of the connection."""
        return super().get_environ() | {READER_KEY: self.reader}

    def handle_error(self, kind, error, traceback):
        """Log one line, without a traceback, for a client that stopped reading, and disconnect it.

        Other errors are handled by the base class.
        """
        if isinstance(error, TimeoutError) and self.headers_sent:
            logs.event("caller_silent", "warning", seconds=self.server.timeouts.write)
            self.close_connection = True
        else:
            super().handle_error(kind, error, traceback)

    def log_request(self):
        """Write no access log, because the application logs requests."""


class Server(pywsgi.WSGIServer):
    """WSGI server that tracks its open connections.

    Args:
      listener: Host and port.
      application: WSGI application.
      timeouts: Timeouts of the connections.

    Attributes:
      is_accepting: Whether new connections are accepted.
      open_sockets: All connections.
      idle_sockets: Connections that wait for a request.
    """

    handler_class = Handler

    def __init__(self, listener, application, timeouts: ConnectionTimeouts = DEFAULT_TIMEOUTS):
        super().__init__(listener, application, log=None, error_log=None)
        self.timeouts = timeouts
        self.is_accepting = True
        self.open_sockets: set[socket.socket] = set()
        self.idle_sockets: set[socket.socket] = set()

    def idle_seconds(self) -> float:
        """Return how long a connection waits for a request."""
        idle = self.timeouts.idle
        return idle if self.is_accepting else min(idle, LAST_REQUEST_SECONDS)

    def handle(self, sock, address):
        """Serve one connection until it closes."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_sockets.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.open_sockets.discard(sock)

    def drain(self, seconds: float) -> None:
        """Accept the queued connections, stop listening, and wait until no request is open.

        Args:
          seconds: Longest wait.
        """
        self.is_accepting = False
        accept_queued(self, self.backlog)
        self.close()
        for sock in list(self.idle_sockets):
            close_idle(sock)
        ends_at = time.monotonic() + seconds
        # Lets the greenlets of the connections that were accepted last start.
        gevent.sleep(DRAIN_POLL_SECONDS)
        while self.open_sockets and time.monotonic() < ends_at:
            gevent.sleep(DRAIN_POLL_SECONDS)

    def abort(self) -> None:
        """Stop listening and shut down all connections without waiting for their requests."""
        for sock in list(self.open_sockets):
            shutdown_socket(sock)
        self.stop(timeout=0)


def accept_queued(server: gevent.server.StreamServer, limit: int) -> None:
    """Accept the connections that are queued at a listening socket, whose close would reset them.

    The server then accepts no more connections.

    Args:
      server: The server.
      limit: Most connections to accept.
    """
    server.stop_accepting()
    try:
        for _ in range(limit):
            accepted = server.do_read()
            if accepted is None:
                return
            server.do_handle(*accepted)
    except OSError as error:
        logs.event("accept_failed", "warning", cause=str(error))


def close_idle(sock: socket.socket) -> None:
    """Shut down an idle connection, unless it has unread bytes of a new request."""
    if http_client.is_open_and_idle(sock):
        shutdown_socket(sock)


def shutdown_socket(sock: socket.socket) -> None:
    """Shut down a connection in both directions, so that its peer stops waiting."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def limit_receive_buffer(sock: socket.socket, count: int) -> None:
    """Limit the bytes that the system holds for a socket, or for those that it accepts, unread.

    Args:
      sock: Connected or listening socket.
      count: Bytes.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, count)
    except OSError as error:
        logs.event("receive_buffer_unlimited", "warning", cause=str(error))


def status_line(status: int) -> str:
    """Return the status code with its reason phrase."""
    return f"{status} {REASON_PHRASES.get(status, 'Status')}"


def respond(start_response, status: int, body: bytes, headers=()) -> list[bytes]:
    """Start a response of known length and return its body for WSGI."""
    header_lines = [("Content-Length", str(len(body))), *headers]
    start_response(status_line(status), header_lines)
    return [body]
