"""HTTP server of gevent with TCP_NODELAY, deadlines and abrupt or graceful ends."""

import dataclasses
import socket

import gevent
from gevent import pywsgi

from bronzemux import logs

IDLE_SECONDS = 75.0
HEADER_SECONDS = 10.0
WRITE_SECONDS = 30.0
STATUS_TEXT = {
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


@dataclasses.dataclass(frozen=True)
class Deadlines:
    """Limits of waiting for a caller, in seconds."""

    idle: float = IDLE_SECONDS
    header: float = HEADER_SECONDS
    write: float = WRITE_SECONDS


class Handler(pywsgi.WSGIHandler):
    """Handler of one connection."""

    def read_requestline(self):
        """Return the request line; empty, which closes, when none comes in time."""
        self.socket.settimeout(self.server.deadlines.idle)
        try:
            return super().read_requestline()
        except TimeoutError:
            return ""

    def read_request(self, raw_requestline):
        """Read the headers within their deadline."""
        self.socket.settimeout(self.server.deadlines.write)
        timeout = gevent.Timeout(self.server.deadlines.header)
        timeout.start()
        try:
            return super().read_request(raw_requestline)
        except (gevent.Timeout, TimeoutError):
            return False
        finally:
            timeout.close()

    def handle_error(self, kind, error, traceback):
        """Log a caller that stopped reading in one line, and close; leave other errors as they are."""
        if isinstance(error, TimeoutError) and self.headers_sent:
            logs.event("caller_silent", "warning", seconds=self.server.deadlines.write)
            self.close_connection = True
        else:
            super().handle_error(kind, error, traceback)

    def log_request(self):
        """Write no access log; the application logs requests."""


class Server(pywsgi.WSGIServer):
    """WSGI server that knows its open connections.

    Args:
      listener: Host and port.
      application: WSGI application.
      deadlines: Limits of waiting.
    """

    handler_class = Handler

    def __init__(self, listener, application, deadlines: Deadlines = Deadlines()):  # noqa: B008
        super().__init__(listener, application, log=None, error_log=None)
        self.deadlines = deadlines
        self.open_sockets: set[socket.socket] = set()

    def handle(self, sock, address):
        """Handle one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_sockets.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self.open_sockets.discard(sock)

    def abort(self) -> None:
        """Stop listening and cut all connections."""
        for sock in list(self.open_sockets):
            shutdown_socket(sock)
        self.stop(timeout=0)


def shutdown_socket(sock: socket.socket) -> None:
    """Reset a connection whose other end still waits."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def status_line(status: int) -> str:
    """Return the status with its text."""
    return f"{status} {STATUS_TEXT.get(status, 'Status')}"


def respond(start_response, status: int, body: bytes, headers=()) -> list[bytes]:
    """Start a whole answer and return its body for WSGI."""
    lines = [("Content-Length", str(len(body))), *headers]
    start_response(status_line(status), lines)
    return [body]
