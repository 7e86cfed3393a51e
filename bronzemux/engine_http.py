"""HTTP client of OpenAI-compatible engines that stream server-sent events."""

import itertools
import json
import re
from collections.abc import Callable, Iterator

from bronzemux import engine, errors, fleet, http_client, plain_values

HEADER_REQUEST = "X-Request-Id"
HEADER_INCARNATION = "X-Engine-Incarnation"
HEADER_SOFTWARE = "X-Engine-Software"
HEADER_OUTCOME = "X-Outcome"
HEADER_SALT = "X-Cache-Salt"
HEADER_WEIGHTS = "X-Weights-Version"
HEADER_PRIORITY = "X-Priority"
HEADER_CONTINUE = "X-Continue-Bytes"
HEADER_ADAPTER = "X-Adapter"
HEADER_IMPORT = "X-Cache-Import"
HEADER_EXPORT = "X-Cache-Export"
HEADER_IDEMPOTENCY = "Idempotency-Key"
HEADER_RETRY_AFTER = "Retry-After"
OUTCOME_NOT_RUN = "not-run"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500
MAX_ERROR_BYTES = 500
# Far more than the cache events that an engine keeps.
MAX_STATE_BYTES = 8 * 1024 * 1024
MAX_KEY_DIGITS = 32
MAX_IDLE_CONNECTIONS = 32
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (.*)\n\n\Z", re.DOTALL)


class HttpEngine(engine.Engine):
    """Client of an engine over HTTP, with a pool of idle connections.

    Args:
      name: Name of the endpoint.
      host: IP address.
      port: TCP port.
      timeouts: Timeouts; `progress` limits the pauses within a response.
    """

    def __init__(self, name: str, host: str, port: int, timeouts: http_client.Timeouts):
        self.name = name
        self.host = host
        self.port = port
        self.timeouts = timeouts
        self.idle_connections: list[http_client.Connection] = []

    def start(self, job: engine.Job) -> engine.ResponseStream:
        """Start a job."""
        headers = {
            "Content-Type": "application/json",
            HEADER_REQUEST: job.request_id,
            HEADER_SALT: job.salt.hex(),
            HEADER_WEIGHTS: job.weights_version,
            HEADER_PRIORITY: str(job.priority),
        }
        if job.idempotency_key:
            headers[HEADER_IDEMPOTENCY] = job.idempotency_key
        if job.adapter:
            headers[HEADER_ADAPTER] = job.adapter
        headers |= _transfer_headers(job.transfer)
        body = job.body
        if job.continue_text:
            suffix = job.continue_text.encode()
            headers[HEADER_CONTINUE] = str(len(suffix))
            body += suffix
        return self._stream("POST", job.path, headers, body, job, 0)

    def resume(self, request_id: str, offset: int) -> engine.ResponseStream:
        """Resume the response stream of a started job."""
        job = engine.Job(request_id, "", b"", b"", "", 0, may_reuse_connection=False)
        return self._stream("GET", f"/requests/{request_id}?offset={offset}", {}, b"", job, offset)

    def cancel(self, request_id: str) -> None:
        """Cancel a job."""
        self._exchange("DELETE", f"/requests/{request_id}")

    def state(self, after: int) -> engine.EngineState:
        """Return the state of the engine with its cache events after a sequence number."""
        response = self._exchange("GET", f"/state?after={after}")
        return decode_state(self.name, response.body)

    def order(self, order: engine.Order, check: Callable[[], None] = lambda: None) -> None:
        """Send an order to the engine."""
        body = {
            "model": order.model,
            "weights_version": order.weights_version,
            "fencing_token": order.fencing_token,
            "adapter": order.adapter,
            "role": order.role,
        }
        self._exchange("POST", "/orders", json.dumps(body).encode(), check)

    def _exchange(
        self, method: str, path: str, body: bytes = b"", check: Callable[[], None] = lambda: None
    ) -> http_client.Response:
        connection = http_client.Connection(self.host, self.port, self.timeouts)
        try:
            check()
            response = connection.exchange(method, path, {}, body, MAX_STATE_BYTES)
        finally:
            connection.close()
        if response.status != HTTP_OK:
            raise _status_error(self.name, response.status, response.headers, response.body)
        return response

    def _stream(self, method, path, headers, body, job, offset) -> "HttpResponseStream":
        connection = self._connection(job.may_reuse_connection)
        try:
            connection.send(method, path, headers, body)
            connection.reader.remaining_bytes = http_client.MAX_HEAD_BYTES
            response = connection.receive(method)
            if response.status_code != HTTP_OK:
                text = connection.read_all()
                raise _status_error(self.name, response.status_code, response, text)
            if response.get(HEADER_REQUEST) != job.request_id:
                raise errors.EndpointProtocolError(
                    f"the response of {self.name} belongs to another request",
                    "the response is dropped",
                )
            # Each event of the stream is limited by itself.
            connection.reader.remaining_bytes = None
            incarnation = response.get(HEADER_INCARNATION, "")
            software = response.get(HEADER_SOFTWARE, "")
            return HttpResponseStream(self, connection, incarnation, offset, software)
        except BaseException:
            connection.close()
            raise

    def _connection(self, may_reuse: bool) -> http_client.Connection:
        while may_reuse and self.idle_connections:
            connection = self.idle_connections.pop()
            if http_client.is_open_and_idle(connection.socket):
                return connection
            connection.close()
        return http_client.Connection(self.host, self.port, self.timeouts)

    def release(self, connection: http_client.Connection) -> None:
        """Keep a connection for reuse after a complete response, or close it."""
        if connection.is_reusable() and len(self.idle_connections) < MAX_IDLE_CONNECTIONS:
            self.idle_connections.append(connection)
        else:
            connection.close()


class HttpResponseStream(engine.ResponseStream):
    """Response that is read from a connection; part numbers must be consecutive.

    Args:
      owner: Engine to which the connection is released after the end of the response.
      connection: Connection from which the headers of the response were already read.
      incarnation: Incarnation of the engine.
      offset: Number of the first part to return; earlier ones are skipped.
      software: Version of the engine's software, or empty.
    """

    def __init__(self, owner, connection, incarnation: str, offset: int, software: str = ""):
        self.owner = owner
        self.connection = connection
        self.incarnation = incarnation
        self.software = software
        self.offset = offset

    def __iter__(self) -> Iterator[engine.Part]:
        """Iterate over the parts up to and including `engine.DONE`."""
        chunks = iter(self.connection.read, b"")
        expected = self.offset
        for event in http_client.iter_events(chunks):
            part = decode_event(event)
            if part.number < expected:
                continue
            if part.number > expected:
                raise errors.EndpointLostError(
                    f"part {expected} of the response is missing",
                    "resume the stream from this part",
                )
            expected += 1
            if part.data == engine.DONE:
                self._finish_exchange(chunks)
                yield part
                return
            yield part
        raise errors.EndpointLostError(
            "the response ended before its end marker", "resume the stream after the last part"
        )

    def _finish_exchange(self, chunks) -> None:
        """Release the connection, or close it if data follows the end marker."""
        rest = b"".join(itertools.islice(chunks, 2))
        if rest:
            self.connection.close()
        else:
            self.owner.release(self.connection)
        self.connection = None

    def close(self) -> None:
        """Close the connection; the engine keeps running the request."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def _transfer_headers(transfer: engine.Transfer) -> dict[str, str]:
    headers = {}
    if transfer.import_pieces:
        headers[HEADER_IMPORT] = f"{transfer.import_pieces} {transfer.import_from}"
    if transfer.export_pieces:
        headers[HEADER_EXPORT] = str(transfer.export_pieces)
    return headers


def decode_transfer(imports: str, exports: str) -> engine.Transfer:
    """Decode the transfers from the headers of a job.

    Args:
      imports: Value of `HEADER_IMPORT`, or empty.
      exports: Value of `HEADER_EXPORT`, or empty.
    """
    pieces, _, incarnation = imports.partition(" ")
    return engine.Transfer(int(pieces or 0), incarnation, int(exports or 0))


def decode_event(event: bytes) -> engine.Part:
    """Decode a part from a server-sent event.

    Raises:
      errors.EndpointProtocolError: When the event has no valid id or data line.
    """
    match = EVENT_PATTERN.match(event)
    if match is None:
        raise errors.EndpointProtocolError(
            "an event of the response has no valid id or data line", "check the engine's version"
        )
    return engine.Part(int(match[1]), match[2])


def encode_event(number: int, data: bytes) -> bytes:
    """Encode a part as a server-sent event."""
    return b"id: %d\ndata: %b\n\n" % (number, data)


def decode_state(name: str, body: bytes) -> engine.EngineState:
    """Decode the state that an engine reports.

    Args:
      name: Name of the endpoint.
      body: JSON body.

    Raises:
      errors.EndpointProtocolError: When the body is malformed.
    """
    try:
        raw = plain_values.typed(plain_values.load_json(body), dict)
        incarnation = _label(raw.get("incarnation"))
        load = fleet.LoadReport(
            endpoint=name,
            incarnation=incarnation,
            running=plain_values.integer(raw.get("running")),
            waiting=plain_values.integer(raw.get("waiting")),
        )
        events = engine.EventBatch(
            incarnation=incarnation,
            first=plain_values.integer(raw.get("first")),
            last=plain_values.integer(raw.get("last")),
            stored=_decode_keys(raw.get("stored")),
            evicted=_decode_keys(raw.get("evicted")),
        )
        weights = _pairs(raw.get("weights", {}))
        adapters = _pairs(raw["adapters"]) if "adapters" in raw else None
        role = plain_values.name(raw.get("role", ""))
        software = _label(raw.get("software", ""))
    except plain_values.CHECK_ERRORS as error:
        raise errors.EndpointProtocolError(
            f"{name} reported a malformed state: {plain_values.cause(error)}",
            "check the engine's version",
        ) from error
    return engine.EngineState(load, events, weights, adapters, role, software)


def _label(value) -> str:
    """Return a name or version, for which an engine may use an integer."""
    return str(plain_values.integer(value)) if type(value) is int else plain_values.name(value)


def _decode_keys(value) -> tuple[int, ...]:
    """Return cache keys from a list of hexadecimal numbers."""
    texts = [plain_values.typed(item, str) for item in plain_values.items(value)]
    if any(len(text) > MAX_KEY_DIGITS for text in texts):
        raise ValueError(f"a cache key has more than {MAX_KEY_DIGITS} digits")
    return tuple(int(text, 16) for text in texts)


def _pairs(value) -> tuple[tuple[str, str], ...]:
    """Return the pairs of name and version in a JSON object."""
    versions = plain_values.typed(value, dict)
    return tuple((plain_values.name(name), _label(version)) for name, version in versions.items())


def decode_pause(status: int, headers) -> float | None:
    """Return for how long an endpoint wants no requests, None when the field is malformed."""
    value = headers.get(HEADER_RETRY_AFTER)
    if value is None:
        return 0.0
    return http_client.decode_pause(status, value if isinstance(value, list) else [value])


def _status_error(name: str, status: int, headers, body: bytes) -> errors.EndpointError:
    """Return the error for a response whose status is not 200."""
    error = _typed_error(name, status, headers, body)
    error.pause_seconds = decode_pause(status, headers)
    return error


def _typed_error(name: str, status: int, headers, body: bytes) -> errors.EndpointError:
    text = body[:MAX_ERROR_BYTES].decode(errors="replace")
    message = f"{name} responded with status {status}: {text}"
    if headers.get(HEADER_OUTCOME) == OUTCOME_NOT_RUN:
        return errors.EndpointRefusedError(message, "send it to another endpoint")
    if status == HTTP_NOT_FOUND:
        return errors.EndpointUnknownRequestError(
            message, "send the request again if it is idempotent"
        )
    if status < HTTP_SERVER_ERROR:
        return errors.EndpointRejectedError(message, "correct the request", status)
    return errors.EndpointFailedError(message, "check the logs of the endpoint", status)
