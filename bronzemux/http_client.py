"""HTTP/1.1 client that tells how far an exchange got; parsing by geventhttpclient.

The package's pooled client sends a request again when a connection closes before the answer,
which would run a non-idempotent request twice. So connections are dialled here, and only the
response parser of the package is used.
"""

import dataclasses
import socket
from collections.abc import Iterator, Mapping

import gevent
from geventhttpclient import response as http_response

from bronzemux import errors

CRLF = b"\r\n"
READ_BYTES = 65536
MAX_IDLE_CONNECTIONS = 8
HTTP_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True)
class Timeouts:
    """Timeouts of one exchange in seconds."""

    connect: float = 1.0
    progress: float = 5.0


@dataclasses.dataclass(frozen=True)
class PlatformServiceSettings:
    """Address and timeouts of a platform service."""

    host: str
    port: int
    timeouts: Timeouts = Timeouts(connect=1.0, progress=2.0)


@dataclasses.dataclass(frozen=True)
class Response:
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Reader:
    """Receiving side of a socket whose deadline counts only while nothing has arrived.

    When the process was paused, the deadline has passed and the answer has arrived before either
    is noticed; the answer then counts.

    Args:
      sock: Connected socket with a timeout.
    """

    def __init__(self, sock: socket.socket):
        self.sock = sock

    def recv(self, count: int) -> bytes:
        """Return up to `count` bytes, empty at the end.

        Raises:
          TimeoutError: When nothing arrived within the timeout of the socket.
        """
        try:
            return self.sock.recv(count)
        except TimeoutError:
            return self._arrived(count)

    def _arrived(self, count: int) -> bytes:
        timeout = self.sock.gettimeout()
        self.sock.settimeout(0.0)
        try:
            return self.sock.recv(count)
        except BlockingIOError:
            raise TimeoutError("timed out") from None
        finally:
            self.sock.settimeout(timeout)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class Connection:
    """One connection and at most one exchange at a time; owned by one greenlet.

    Args:
      host: IP number.
      port: TCP port.
      timeouts: Limits of waiting.

    Raises:
      errors.EndpointUnreachableError: When the connection is not established.
    """

    def __init__(self, host: str, port: int, timeouts: Timeouts):
        self.timeouts = timeouts
        self.name = f"{host}:{port}"
        self.response = None
        try:
            self.socket = socket.create_connection((host, port), timeouts.connect)
        except OSError as error:
            raise errors.EndpointUnreachableError(
                f"no connection to {self.name}: {error}", "check that it runs and listens"
            ) from error
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(timeouts.progress)
        self.reader = Reader(self.socket)

    def send(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Send a request.

        Raises:
          errors.EndpointLostError: When the connection broke; bytes may have arrived.
          errors.EndpointSilentError: When the peer stopped reading.
        """
        self._guard(self.socket.sendall, encode_request(method, path, self.name, headers, body))

    def has_answer(self, seconds: float) -> bool:
        """Return whether something arrives, or the connection ends, within a time.

        Args:
          seconds: Longest wait; nothing is read.
        """
        self.socket.settimeout(seconds)
        try:
            self.socket.recv(1, socket.MSG_PEEK)
            return True
        except TimeoutError:
            return not is_open_and_idle(self.socket)
        except OSError:
            return True
        finally:
            self.socket.settimeout(self.timeouts.progress)

    def receive(self, method: str):
        """Return the response once its headers arrived.

        Raises:
          errors.EndpointLostError: When the connection broke.
          errors.EndpointSilentError: When nothing arrived within the progress deadline.
          errors.EndpointProtocolError: When the answer is not HTTP.
        """
        self.response = self._guard(
            http_response.HTTPSocketResponse, self.reader, READ_BYTES, method
        )
        return self.response

    def read(self) -> bytes:
        """Return the bytes of the body that are there, or wait for some; empty at the end."""
        return self._guard(self._read_some)

    def _read_some(self) -> bytes:
        response = self.response
        while not response._body_buffer and not response.message_complete:
            data = self.reader.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError("closed in the middle of the body")
            response.feed(data)
        chunk = bytes(response._body_buffer)
        response._body_buffer.clear()
        return chunk

    def read_all(self) -> bytes:
        """Return the rest of the body."""
        return b"".join(iter(self.read, b""))

    def is_reusable(self) -> bool:
        """Return whether another exchange may follow on this connection."""
        response = self.response
        return bool(response and response.message_complete and response.should_keep_alive())

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()

    def _guard(self, function, *args):
        try:
            return function(*args)
        except (TimeoutError, gevent.Timeout) as error:
            raise errors.EndpointSilentError(
                f"no progress from {self.name} for {self.timeouts.progress:g} s",
                "ask for the request's state before a repeat",
            ) from error
        except http_response.HTTPConnectionClosed as error:
            raise errors.EndpointLostError(
                f"{self.name} closed the connection before an answer",
                "ask for the request's state before a repeat",
            ) from error
        except (http_response.HTTPParseError, ValueError) as error:
            raise errors.EndpointProtocolError(
                f"{self.name} answered something that is not HTTP: {error}", "check the address"
            ) from error
        except OSError as error:
            raise errors.EndpointLostError(
                f"connection to {self.name} lost: {error}",
                "ask for the request's state before a repeat",
            ) from error


def encode_request(
    method: str, path: str, host: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Return the bytes of an HTTP/1.1 request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return "\r\n".join(lines).encode("latin-1") + CRLF + CRLF + body


class PlatformServiceClient:
    """Client of a platform service with a few idle connections.

    Args:
      settings: Address and timeouts.
    """

    def __init__(self, settings: PlatformServiceSettings):
        self.settings = settings
        self.idle: list[Connection] = []

    def exchange(self, method: str, path: str, body: bytes, is_write: bool) -> Response:
        """Send one request and return the whole answer.

        Args:
          method: HTTP method.
          path: Path with query.
          body: Body of the request.
          is_write: Whether the request changes something.

        Raises:
          errors.PlatformUnavailableError: When the request had no effect.
          errors.AmbiguousWriteError: When a write may have had an effect.
        """
        try:
            connection = self._connection()
        except errors.EndpointUnreachableError as error:
            raise errors.PlatformUnavailableError(
                f"platform service not reached: {error.message}", "wait until it is back"
            ) from error
        try:
            return self._exchange(connection, method, path, body, is_write)
        except errors.EndpointError as error:
            connection.close()
            raise _platform_error(error, is_write) from error
        except BaseException:
            connection.close()
            raise

    def _exchange(self, connection, method, path, body, is_write) -> Response:
        connection.send(method, path, {}, body)
        response = connection.receive(method)
        answer = Response(response.status_code, dict(response.items()), connection.read_all())
        if connection.is_reusable() and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()
        if answer.status >= HTTP_SERVER_ERROR:
            raise errors.PlatformUnavailableError(
                f"platform service answered {answer.status}", "wait until it is back"
            )
        return answer

    def _connection(self) -> Connection:
        while self.idle:
            connection = self.idle.pop()
            if is_open_and_idle(connection.socket):
                return connection
            connection.close()
        settings = self.settings
        return Connection(settings.host, settings.port, settings.timeouts)


def is_open_and_idle(sock: socket.socket) -> bool:
    """Return whether an idle socket is open and has nothing to read."""
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        sock.settimeout(timeout)
        return True
    except OSError:
        return False
    return False


def _platform_error(error: errors.EndpointError, is_write: bool) -> errors.PlatformError:
    if is_write:
        return errors.AmbiguousWriteError(
            f"answer of the platform service lost: {error.message}", "read the row back"
        )
    return errors.PlatformUnavailableError(
        f"no answer from the platform service: {error.message}", "wait until it is back"
    )


def iter_events(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Split a stream of bytes into server-sent events.

    Args:
      chunks: Pieces of the body.

    Returns:
      Each event with its closing blank line; an unfinished rest is left out.
    """
    rest = b""
    for chunk in chunks:
        rest += chunk
        while (end := rest.find(b"\n\n")) >= 0:
            yield rest[: end + 2]
            rest = rest[end + 2 :]
