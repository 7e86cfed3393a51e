"""Stand-in plain service with non-idempotent filings, status look-ups and injectable faults."""

import dataclasses
import json

from gevent import event

from bronzemux import clock as clocks
from bronzemux import engine_http, http_server

DEFAULT_LATE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True)
class Filing:
    """Record of one executed filing.

    Attributes:
      key: Idempotency key, or empty.
      content: Body of the request.
      number: Position among the filings of the service, from 1.
    """

    key: str
    content: bytes
    number: int


class StandinService:
    """Service that records its executions.

    Each request removes the first entry of `next_fault_modes`; without an entry it is served
    without a fault. Before the execution:
      cut_while_reading: Cut all connections before the body is read.
      refuse: Respond 503 with the outcome not-run, and with `retry_after` if it is set.
      shed: Respond 503 with `retry_after` alone.
      crash_before: Cut all connections after the body is read.
    After the execution:
      crash_after: Cut all connections.
      silent_after: Never respond.
      late: Respond once the event `late_responses_released` is set, or after `late_seconds` when it
        is None.
      crossed: Respond with the id of another request.
      cut_in_answer: Announce one byte more than is sent, then cut all connections.
      error: Respond 500.

    Args:
      name: Name of the endpoint.
      clock: Source of time.
      port: TCP port, 0 for any.
      work_seconds: Time to execute one filing.
    """

    def __init__(self, name: str, clock: clocks.Clock, port: int = 0, work_seconds: float = 0.005):
        self.name = name
        self.clock = clock
        self.port = port
        self.work_seconds = work_seconds
        self.filings: list[Filing] = []
        self.late_seconds = DEFAULT_LATE_SECONDS
        self.late_responses_released: event.Event | None = None
        self.executions_started = 0
        self.next_fault_modes: list[str] = []
        self.retry_after = ""
        self.is_up = False

    def start(self) -> None:
        """Start listening; a restart uses the same port."""
        self.server = http_server.Server(("127.0.0.1", self.port), self.application)
        self.server.start()
        self.port = self.server.server_port
        self.is_up = True

    def crash(self) -> None:
        """Close all connections and stop listening."""
        self.is_up = False
        self.server.abort()

    def application(self, environ, start_response):
        """Serve one request (WSGI): GET looks up the status, other methods execute a filing."""
        mode = self.next_fault_modes.pop(0) if self.next_fault_modes else "ordinary"
        if mode == "cut_while_reading":
            return self._cut_connections()
        content = environ["wsgi.input"].read()
        if mode == "refuse":
            outcome = (engine_http.HEADER_OUTCOME, engine_http.OUTCOME_NOT_RUN)
            return self._refuse(start_response, [outcome])
        if mode == "shed":
            return self._refuse(start_response, [])
        if mode == "crash_before":
            return self._cut_connections()
        body = self._execute(environ, content)
        return self._respond(environ, start_response, mode, body)

    def _refuse(self, start_response, headers):
        """Respond 503, with the pause that the service asks for if there is one."""
        if self.retry_after:
            headers = [*headers, (engine_http.HEADER_RETRY_AFTER, self.retry_after)]
        headers = [*headers, *_json_headers()]
        return http_server.respond(start_response, 503, b'{"error":"busy"}', headers)

    def _execute(self, environ, content: bytes) -> bytes:
        """Execute a request and return the body of its response."""
        if environ["REQUEST_METHOD"] == "GET":
            found = {"filings": len(self.filings), "path": environ["PATH_INFO"]}
            return json.dumps(found).encode()
        self.executions_started += 1
        self.clock.sleep(self.work_seconds)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        filing = Filing(key, content, len(self.filings) + 1)
        self.filings.append(filing)
        return json.dumps({"filing": filing.number}).encode()

    def _respond(self, environ, start_response, mode: str, body: bytes):
        """Respond to an executed request with the fault of its mode."""
        if mode == "crash_after":
            return self._cut_connections()
        if mode == "silent_after":
            event.Event().wait()
        if mode == "late" and self.late_responses_released is not None:
            self.late_responses_released.wait()
        elif mode == "late":
            self.clock.sleep(self.late_seconds)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if mode == "crossed":
            request_id = "another-request"
        headers = [(engine_http.HEADER_REQUEST, request_id), *_json_headers()]
        if mode == "cut_in_answer":
            return self._send_truncated(start_response, headers, body)
        status = 500 if mode == "error" else 200
        return http_server.respond(start_response, status, body, headers)

    def _send_truncated(self, start_response, headers, body: bytes):
        """Announce a longer body than is sent, then cut all connections."""
        start_response("200 OK", [*headers, ("Content-Length", str(len(body) + 1))])
        yield body
        self._cut_connections()

    def _cut_connections(self):
        for sock in list(self.server.open_sockets):
            http_server.shutdown_socket(sock)
        return []


def _json_headers() -> list[tuple[str, str]]:
    return [("Content-Type", "application/json")]
