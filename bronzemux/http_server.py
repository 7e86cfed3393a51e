"""WSGI server based on gevent.pywsgi, with TCP_NODELAY, read and write timeouts, and abort."""

import socket

import gevent
import gevent.server
from gevent import pywsgi

from bronzemux import http_client, logs, records

IDLE_TIMEOUT_SECONDS = 75.0
HEADER_TIMEOUT_SECONDS = 10.0
WRITE_TIMEOUT_SECONDS = 30.0
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


class Handler(pywsgi.WSGIHandler):
    """Handler of one connection that enforces the timeouts of its server."""

    def read_requestline(self):
        """Return the request line; an empty one after the idle timeout closes the connection."""
        try:
            if not self._await_request():
                return ""
            self.socket.settimeout(self.server.timeouts.idle)
            return super().read_requestline()
        except TimeoutError:
            return ""

    def _await_request(self) -> bool:
        """Wait for a request; return False when the connection stayed idle."""
        self.socket.settimeout(0.0)
        if self.rfile.peek(1):
            return True
        self.socket.settimeout(self.server.timeouts.idle)
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            # A request may have arrived after the timeout expired, during a pause of the process.
            return not http_client.is_open_and_idle(self.socket)
        return True

    def read_request(self, raw_requestline):
        """Read the headers; returning False after a timeout closes the connection."""
        self.socket.settimeout(self.server.timeouts.write)
        timeout = gevent.Timeout(self.server.timeouts.header)
        timeout.start()
        try:
            return super().read_request(raw_requestline)
        except (gevent.Timeout, TimeoutError):
            return False
        finally:
            timeout.close()

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
    """

    handler_class = Handler

    def __init__(self, listener, application, timeouts: ConnectionTimeouts = DEFAULT_TIMEOUTS):
        super().__init__(listener, application, log=None, error_log=None)
        self.timeouts = timeouts
        self.open_sockets: set[socket.socket] = set()

    def handle(self, sock, address):
        """Serve one connection until it closes."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_sockets.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.open_sockets.discard(sock)

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


def shutdown_socket(sock: socket.socket) -> None:
    """Shut down a connection in both directions, so that its peer stops waiting."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def status_line(status: int) -> str:
    """Return the status code with its reason phrase."""
    return f"{status} {REASON_PHRASES.get(status, 'Status')}"


def respond(start_response, status: int, body: bytes, headers=()) -> list[bytes]:
    """Start a response of known length and return its body for WSGI."""
    header_lines = [("Content-Length", str(len(body))), *headers]
    start_response(status_line(status), header_lines)
    return [body]
