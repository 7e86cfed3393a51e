"""Strict HTTP/1.1 framing for both sides of a forwarded exchange.

gevent's WSGI server accepts bare line feeds and repeated lengths, and hides when a caller leaves;
the parser of geventhttpclient does not tell a closed connection from a reset one. A forwarder needs
all of these, so heads and bodies are framed here, from the same rules for callers and endpoints.
"""

import dataclasses
import re
import socket
from collections.abc import Callable, Iterator

import gevent.select

from bronzemux import errors, http_client

# One read of a socket: its usual buffer.
READ_BYTES = 65536
# Longest head of an endpoint; that of callers is configured.
MAX_HEAD_BYTES = 65536
# Longest size line of a chunk, extensions included.
MAX_CHUNK_LINE_BYTES = 1024
CRLF = b"\r\n"
HEAD_END = b"\r\n\r\n"
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
TARGET = re.compile(rb"/[\x21-\x7e]*\Z")
DIGITS = re.compile(rb"[0-9]{1,12}\Z")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")
BODILESS_STATUS = frozenset({204, 304})
CONNECTION_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


class FramingError(errors.BronzemuxError):
    """Bytes break the framing rules of HTTP/1.1; the connection cannot be used any further."""


class EndOfStreamError(errors.BronzemuxError):
    """The other end closed the connection inside a message.

    Attributes:
      is_reset: Whether it was reset rather than closed.
    """

    def __init__(self, message: str, remedy: str = "", is_reset: bool = False):
        super().__init__(message, remedy)
        self.is_reset = is_reset


class TooLargeError(FramingError):
    """A head or a body is longer than the limit."""


@dataclasses.dataclass(frozen=True)
class Head:
    """Start line and header fields of a message.

    Attributes:
      start: The three parts of the start line.
      fields: Names in lower case with values, in the order they came.
    """

    start: tuple[str, str, str]
    fields: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the first value of a field, None when it is absent.

        Args:
          name: Name in lower case.
        """
        for key, value in self.fields:
            if key == name:
                return value
        return None

    def all(self, name: str) -> list[str]:
        """Return the values of a field in order."""
        return [value for key, value in self.fields if key == name]

    def closes(self) -> bool:
        """Return whether the sender closes the connection after this message."""
        listed = ",".join(self.all("connection")).lower()
        tokens = {token.strip() for token in listed.split(",")}
        version = self.start[2] if self.start[2].startswith("HTTP/") else self.start[0]
        return "close" in tokens or version != "HTTP/1.1"


@dataclasses.dataclass(frozen=True)
class Framing:
    """How the end of a body is found.

    Attributes:
      length: Bytes of the body, None when it is not declared.
      is_chunked: Whether the body comes in chunks.
      until_close: Whether the body ends with the connection.
    """

    length: int | None = 0
    is_chunked: bool = False
    until_close: bool = False


def parse_head(data: bytes) -> Head:
    """Parse a head without its closing blank line.

    Raises:
      FramingError: For bare line ends, folded lines, spaces before a colon and control characters.
    """
    lines = data.split(CRLF)
    start = lines[0].split(b" ", 2)
    if len(start) != 3 or not VALUE.match(lines[0]):
        raise FramingError(f"start line {lines[0][:60]!r} is malformed", "send HTTP/1.1")
    fields = []
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name) or not VALUE.match(value):
            raise FramingError(
                f"header line {line[:60]!r} is malformed", "send one `Name: value` a line"
            )
        fields.append((name.decode("ascii").lower(), value.strip(b" \t").decode("latin-1")))
    return Head(tuple(part.decode("latin-1") for part in start), tuple(fields))


def request_framing(head: Head) -> Framing:
    """Return how the body of a request ends.

    Raises:
      FramingError: When the head is not a plain HTTP/1.1 request, or its length is ambiguous.
    """
    method, target, version = head.start
    if version not in ("HTTP/1.1", "HTTP/1.0") or not TOKEN.match(method.encode("latin-1")):
        raise FramingError(f"request line {head.start!r} is malformed", "send HTTP/1.1")
    if not TARGET.match(target.encode("latin-1")):
        raise FramingError("the request target is not an absolute path", "send a path")
    if len(head.all("host")) != 1:
        raise FramingError("the request has no single Host", "send one Host header")
    return _declared_framing(head) or Framing(0)


def response_framing(head: Head, method: str) -> Framing:
    """Return how the body of a response ends.

    Raises:
      FramingError: When the status line or the length is malformed.
    """
    if head.start[0] not in ("HTTP/1.1", "HTTP/1.0") or not re.fullmatch(
        "[1-5][0-9][0-9]", head.start[1]
    ):
        raise FramingError(f"status line {head.start!r} is malformed", "check the endpoint")
    status = int(head.start[1])
    declared = _declared_framing(head)
    if method == "HEAD" or status in BODILESS_STATUS or status < 200:
        return Framing(0)
    return declared or Framing(None, until_close=True)


def _declared_framing(head: Head) -> Framing | None:
    lengths = head.all("content-length")
    codings = head.all("transfer-encoding")
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != "chunked":
            raise FramingError(
                "the length of the body is ambiguous", "send Content-Length or chunks, not both"
            )
        return Framing(None, is_chunked=True)
    if not lengths:
        return None
    if len(lengths) > 1 or not DIGITS.match(lengths[0].encode("latin-1")):
        raise FramingError("Content-Length is malformed", "send one decimal number")
    return Framing(int(lengths[0]))


class Channel:
    """Buffered side of one socket; owned by one greenlet.

    Args:
      sock: Connected socket.
    """

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.buffer = bytearray()
        # Asked when the timeout has passed; whether to go on waiting.
        self.on_silence: Callable[[], bool] | None = None

    def fill(self) -> bool:
        """Receive some bytes into the buffer.

        Returns:
          Whether any came; False at the end of the stream.

        Raises:
          EndOfStreamError: When the connection was reset.
          TimeoutError: When the timeout of the socket passed.
        """
        while True:
            try:
                data = self.sock.recv(READ_BYTES)
            except TimeoutError:
                if self.on_silence is not None and self.on_silence():
                    continue
                raise
            except OSError as error:
                raise EndOfStreamError(f"connection lost: {error}", is_reset=True) from error
            self.buffer += data
            return bool(data)

    def read_head(self, limit: int = MAX_HEAD_BYTES) -> Head | None:
        """Return the next head, None when the stream ended before it began.

        Raises:
          TooLargeError: When it is longer than `limit` bytes.
          FramingError: When it is malformed.
          EndOfStreamError: When the stream ended inside it.
        """
        while (end := self.buffer.find(HEAD_END)) < 0:
            if len(self.buffer) > limit:
                raise TooLargeError(f"the head exceeds {limit} bytes", "send fewer headers")
            if not self.fill():
                if not self.buffer:
                    return None
                raise EndOfStreamError("the connection ended inside a head")
        if end > limit:
            raise TooLargeError(f"the head exceeds {limit} bytes", "send fewer headers")
        data = bytes(self.buffer[:end])
        del self.buffer[: end + len(HEAD_END)]
        return parse_head(data)

    def read_body(self, framing: Framing, limit: int) -> bytes:
        """Return a whole body.

        Raises:
          TooLargeError: When it is longer than `limit` bytes.
        """
        if framing.length is not None and framing.length > limit:
            raise TooLargeError(f"the body exceeds {limit} bytes", "send a shorter body")
        body = bytearray()
        for piece in self.pieces(framing):
            body += piece
            if len(body) > limit:
                raise TooLargeError(f"the body exceeds {limit} bytes", "send a shorter body")
        return bytes(body)

    def pieces(self, framing: Framing) -> Iterator[bytes]:
        """Yield the pieces of a body as they arrive, until it is complete.

        Raises:
          EndOfStreamError: When the stream ended before the body did.
          FramingError: When a chunk is malformed.
        """
        if framing.is_chunked:
            yield from self._chunks()
        elif framing.until_close:
            yield from self._until_close()
        else:
            yield from self._counted(framing.length or 0)

    def _counted(self, count: int) -> Iterator[bytes]:
        while count:
            if not self.buffer and not self.fill():
                raise EndOfStreamError("the connection ended inside a body")
            piece = bytes(self.buffer[:count])
            del self.buffer[: len(piece)]
            count -= len(piece)
            yield piece

    def _until_close(self) -> Iterator[bytes]:
        while self.buffer or self.fill():
            piece = bytes(self.buffer)
            self.buffer.clear()
            yield piece

    def _chunks(self) -> Iterator[bytes]:
        while size := self._chunk_size():
            yield from self._counted(size)
            if self._line():
                raise FramingError("a chunk is longer than its size", "check the sender")
        while self._line():
            continue

    def _chunk_size(self) -> int:
        digits = self._line().partition(b";")[0].rstrip(b" \t")
        if not CHUNK_SIZE.match(digits):
            raise FramingError(f"chunk size {digits[:20]!r} is malformed", "check the sender")
        return int(digits, 16)

    def _line(self) -> bytes:
        while (end := self.buffer.find(CRLF)) < 0:
            if len(self.buffer) > MAX_CHUNK_LINE_BYTES:
                raise FramingError("a line between chunks is too long", "check the sender")
            if not self.fill():
                raise EndOfStreamError("the connection ended inside a body")
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return line

    def send(self, data: bytes) -> None:
        """Send all bytes.

        Raises:
          EndOfStreamError: When the other end is gone.
          TimeoutError: When it does not read for the timeout of the socket.
        """
        try:
            self.sock.sendall(data)
        except TimeoutError:
            raise
        except OSError as error:
            raise EndOfStreamError(f"connection lost: {error}", is_reset=True) from error

    def send_until_answer(self, data: bytes, timeout: float) -> bool:
        """Send bytes until all are sent or the other end answers.

        Args:
          data: The bytes.
          timeout: Longest wait for the other end to read, in seconds.

        Returns:
          Whether all were sent.

        Raises:
          EndOfStreamError: When the other end is gone.
          TimeoutError: When it neither reads nor answers in time.
        """
        view = memoryview(data)
        self.sock.settimeout(0.0)
        try:
            while view:
                try:
                    view = view[self.sock.send(view[:READ_BYTES]) :]
                except BlockingIOError:
                    readable, writable, _ = gevent.select.select(
                        [self.sock], [self.sock], [], timeout
                    )
                    if readable:
                        return False
                    if not writable:
                        raise TimeoutError("the other end does not read") from None
        except TimeoutError:
            raise
        except OSError as error:
            raise EndOfStreamError(f"connection lost: {error}", is_reset=True) from error
        finally:
            self.sock.settimeout(timeout)
        return True

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing waits to be read.

        It never lets another greenlet run, so that a pool may ask while it holds the connection.
        """
        return (
            not self.buffer and self.sock.fileno() >= 0 and http_client.is_open_and_idle(self.sock)
        )

    def shut(self) -> None:
        """End the connection for the greenlet that reads it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


def encode_head(start: str, fields) -> bytes:
    """Return the bytes of a head with its closing blank line.

    Args:
      start: Start line.
      fields: Pairs of name and value.
    """
    lines = [start, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
