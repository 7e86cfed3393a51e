"""HTTP/1.1 client that reports how far an exchange got; responses are parsed by geventhttpclient.

The pooled client of geventhttpclient resends a request when the connection closes before the
response, which would run a non-idempotent request twice. This module therefore opens the
connections itself and uses only the response parser of that package.
"""

import re
import socket
from collections.abc import Iterator, Mapping

import gevent
from geventhttpclient import response as http_response

from bronzemux import errors, records

CRLF = b"\r\n"
READ_BYTES = 65536
MAX_IDLE_CONNECTIONS = 8
# Far more than the largest page, object or configuration of a platform service.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Far more than the state of an endpoint, or its response to an order.
MAX_CONTROL_BYTES = 1024 * 1024
# Far more than the head of a response and the text of an error.
MAX_HEAD_BYTES = 256 * 1024
# A response that takes longer in all, as a multiple of the progress timeout, does not end.
MAX_RESPONSE_TIMEOUTS = 5
# Far more than any event of a token stream.
MAX_EVENT_BYTES = 1024 * 1024
STATUSES = range(100, 600)
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
HTTP_SERVICE_UNAVAILABLE = 503
SECONDS_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")


@records.record
class Timeouts:
    """Timeouts of one exchange in seconds.

    Attributes:
      connect: Longest wait until the connection is established.
      progress: Longest wait for the peer to accept or send data.
    """

    connect: float = 1.0
    progress: float = 5.0


@records.record
class PlatformServiceSettings:
    """Address and timeouts of a platform service."""

    host: str
    port: int
    timeouts: Timeouts = Timeouts(connect=1.0, progress=2.0)


@records.record
class Response:
    """A complete response to one request."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Reader:
    """Receiving side of a socket that prefers received data to an expired timeout.

    After a pause of the process, the timeout may have expired although data arrived during the
    pause; the data is then returned.

    Args:
      sock: Connected socket with a timeout.

    Attributes:
      remaining_bytes: Bytes that the peer may still send, None for no limit.
    """

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.remaining_bytes: int | None = None

    def recv(self, count: int) -> bytes:
        """Return up to `count` bytes, empty at the end of the stream.

        Raises:
          TimeoutError: When no data arrived within the timeout of the socket.
          ValueError: When more bytes arrive than the peer may send.
        """
        try:
            data = self.sock.recv(count)
        except TimeoutError:
            data = self._recv_available(count)
        if self.remaining_bytes is not None:
            self.remaining_bytes -= len(data)
            if self.remaining_bytes < 0:
                raise ValueError("the response is too long")
        return data

    def _recv_available(self, count: int) -> bytes:
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


class SingleResponse(http_response.HTTPSocketResponse):
    """Response that ends where its framing says.

    Its base class would join a response that follows in the same bytes to this one.

    Attributes:
      has_surplus: Whether bytes followed the response; they are dropped.
    """

    has_surplus = False

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= HTTP_OK:
            self.has_surplus = True
            raise http_response.HTTPProtocolViolationError("bytes follow the response")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        if self.get_code() not in STATUSES:
            # The base class would wait for another response after one with a status below 200.
            raise http_response.HTTPProtocolViolationError(f"the status {self.get_code()} is none")
        return super()._on_headers_complete()

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
          http_response.HTTPParseError: When the response itself is malformed.
        """
        try:
            super().feed(data)
        except http_response.HTTPParseError:
            if not self.has_surplus:
                raise


class Connection:
    """A connection that carries one exchange at a time and belongs to one greenlet.

    Args:
      host: IP address.
      port: TCP port.
      timeouts: Connect and progress timeouts.

    Raises:
      errors.EndpointUnreachableError: When the connection cannot be established.
    """

    def __init__(self, host: str, port: int, timeouts: Timeouts):
        self.timeouts = timeouts
        self.address = f"{host}:{port}"
        self.response = None
        self.is_request_sent = False
        try:
            self.socket = socket.create_connection((host, port), timeouts.connect)
        except OSError as error:
            raise errors.EndpointUnreachableError(
                f"cannot connect to {self.address}: {error}",
                "check that the server runs and listens on this address",
            ) from error
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(timeouts.progress)
        self.reader = Reader(self.socket)

    def send(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Send a request.

        Raises:
          errors.EndpointLostError: When the connection broke; the peer may have received a part.
          errors.EndpointSilentError: When the peer stopped reading.
        """
        self.is_request_sent = False
        self._translate_errors(
            self.socket.sendall, encode_request(method, path, self.address, headers, body)
        )
        self.is_request_sent = True

    def wait_readable(self, seconds: float) -> bool:
        """Wait for data or the end of the connection without reading any of it.

        Args:
          seconds: Longest wait.

        Returns:
          Whether data arrived or the connection ended within the time.
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
        """Return the response once its headers have arrived; its body is read with `read`.

        Args:
          method: HTTP method of the request.

        Raises:
          errors.EndpointLostError: When the connection broke.
          errors.EndpointSilentError: When no data arrived within the progress timeout.
          errors.EndpointProtocolError: When the response is not HTTP.
        """
        self.response = self._translate_errors(SingleResponse, self.reader, READ_BYTES, method)
        return self.response

    def read(self) -> bytes:
        """Return buffered bytes of the body, or wait for some; empty at the end of the body."""
        return self._translate_errors(self._read_available)

    def _read_available(self) -> bytes:
        response = self.response
        while not response._body_buffer and not response.message_complete:
            data = self.reader.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError("connection closed in the middle of the body")
            response.feed(data)
        chunk = bytes(response._body_buffer)
        response._body_buffer.clear()
        return chunk

    def read_all(self) -> bytes:
        """Return the rest of the body."""
        return b"".join(iter(self.read, b""))

    def exchange(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> Response:
        """Send a request and return its complete response.

        Args:
          method: HTTP method.
          path: Path with query.
          headers: Header fields besides Host and Content-Length.
          body: Body of the request.
          max_bytes: Longest response, with its head.

        Raises:
          errors.EndpointLostError: When the connection broke.
          errors.EndpointSilentError: When no data arrived within the progress timeout, or the
            response did not end within `MAX_RESPONSE_TIMEOUTS` of them.
          errors.EndpointProtocolError: When the response is not HTTP, or too long.
        """
        self.reader.remaining_bytes = max_bytes
        seconds = MAX_RESPONSE_TIMEOUTS * self.timeouts.progress
        expired = errors.EndpointSilentError(
            f"{self.address} did not complete its response within {seconds:g} s",
            "query the state of the request before repeating it",
        )
        with gevent.Timeout(seconds, expired):
            self.send(method, path, headers, body)
            raw = self.receive(method)
            return Response(raw.status_code, dict(raw.items()), self.read_all())

    def is_reusable(self) -> bool:
        """Return whether the connection may carry another exchange."""
        response = self.response
        return (
            self.is_request_sent
            and response is not None
            and response.message_complete
            and not response.has_surplus
            and response.should_keep_alive()
        )

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()

    def _translate_errors(self, function, *args):
        """Call a function and raise its failures as subclasses of `errors.EndpointError`."""
        try:
            return function(*args)
        except (TimeoutError, gevent.Timeout) as error:
            raise errors.EndpointSilentError(
                f"{self.address} sent or accepted no data for {self.timeouts.progress:g} s",
                "query the state of the request before repeating it",
            ) from error
        except http_response.HTTPConnectionClosed as error:
            raise errors.EndpointLostError(
                f"{self.address} closed the connection before the response",
                "query the state of the request before repeating it",
            ) from error
        except (http_response.HTTPParseError, ValueError) as error:
            raise errors.EndpointProtocolError(
                f"the response of {self.address} is not valid HTTP: {error}", "check the address"
            ) from error
        except OSError as error:
            raise errors.EndpointLostError(
                f"the connection to {self.address} broke: {error}",
                "query the state of the request before repeating it",
            ) from error


def encode_request(
    method: str, path: str, host: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Return the bytes of an HTTP/1.1 request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return "\r\n".join(lines).encode("latin-1") + CRLF + CRLF + body


class PlatformServiceClient:
    """Client of a platform service that keeps up to `MAX_IDLE_CONNECTIONS` connections for reuse.

    Args:
      settings: Address and timeouts.
    """

    def __init__(self, settings: PlatformServiceSettings):
        self.settings = settings
        self.idle_connections: list[Connection] = []

    def exchange(self, method: str, path: str, body: bytes, is_write: bool) -> Response:
        """Send one request and return the complete response.

        Args:
          method: HTTP method.
          path: Path with query.
          body: Body of the request.
          is_write: Whether the request modifies stored data.

        Raises:
          errors.PlatformUnavailableError: When the request had no effect.
          errors.AmbiguousWriteError: When a write may have had an effect.
        """
        try:
            connection = self._connection()
        except errors.EndpointUnreachableError as error:
            raise errors.PlatformUnavailableError(
                f"cannot reach the platform service: {error.message}",
                "wait until it is available again",
            ) from error
        try:
            return self._exchange(connection, method, path, body, is_write)
        except errors.EndpointError as error:
            connection.close()
            raise _to_platform_error(error, is_write) from error
        except BaseException:
            connection.close()
            raise

    def _exchange(self, connection, method, path, body, is_write) -> Response:
        response = connection.exchange(method, path, {}, body, MAX_RESPONSE_BYTES)
        if connection.is_reusable() and len(self.idle_connections) < MAX_IDLE_CONNECTIONS:
            self.idle_connections.append(connection)
        else:
            connection.close()
        if response.status >= HTTP_SERVER_ERROR:
            raise errors.PlatformUnavailableError(
                f"the platform service responded with status {response.status}",
                "wait until it is available again",
            )
        return response

    def _connection(self) -> Connection:
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if is_open_and_idle(connection.socket):
                return connection
            connection.close()
        settings = self.settings
        return Connection(settings.host, settings.port, settings.timeouts)


def is_open_and_idle(sock: socket.socket) -> bool:
    """Return whether a socket is open and has no unread data, so that it may be reused."""
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(timeout)
    return False


def _to_platform_error(error: errors.EndpointError, is_write: bool) -> errors.PlatformError:
    if is_write:
        return errors.AmbiguousWriteError(
            f"the response of the platform service was lost: {error.message}",
            "read the row to learn whether the write took effect",
        )
    return errors.PlatformUnavailableError(
        f"no response from the platform service: {error.message}",
        "wait until it is available again",
    )


def iter_events(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Split a byte stream into server-sent events.

    Args:
      chunks: Consecutive byte strings of the body.

    Returns:
      Iterator over the events, each with its closing blank line; an incomplete last event is
      dropped.

    Raises:
      errors.EndpointProtocolError: When an event is longer than `MAX_EVENT_BYTES`.
    """
    buffer = bytearray()
    for chunk in chunks:
        searched_bytes = max(0, len(buffer) - 1)
        buffer += chunk
        while (end := buffer.find(b"\n\n", searched_bytes)) >= 0:
            yield bytes(buffer[: end + 2])
            del buffer[: end + 2]
            searched_bytes = 0
        if len(buffer) > MAX_EVENT_BYTES:
            raise errors.EndpointProtocolError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", "check the endpoint"
            )


def decode_pause(status: int, values: list[str]) -> float | None:
    """Return for how long a server wants no requests, in seconds.

    Args:
      status: Status of its response; a pause comes with 503 only.
      values: Values of the header field Retry-After.

    Returns:
      The seconds, whole or with a fraction, 0 when it does not ask for a pause, and None when the
      field is malformed or repeated.
    """
    if status != HTTP_SERVICE_UNAVAILABLE or not values:
        return 0.0
    if len(values) > 1 or not SECONDS_PATTERN.fullmatch(values[0]):
        return None
    return float(values[0])
