"""Stand-in plain service: filings or orders that must not run twice, and status look-ups."""

import dataclasses
import json

from gevent import event

from bronzemux import clock as clocks
from bronzemux import engine_http, http_server

LATE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True)
class Filing:
    """One execution of a filing."""

    key: str
    content: bytes
    number: int


class StandinService:
    """Service that counts its executions.

    Args:
      name: Name of the endpoint.
      clock: Source of time.
      port: TCP port, 0 for any.
      work_seconds: Time of one filing.
    """

    def __init__(self, name: str, clock: clocks.Clock, port: int = 0, work_seconds: float = 0.005):
        self.name = name
        self.clock = clock
        self.port = port
        self.work_seconds = work_seconds
        self.filings: list[Filing] = []
        self.late_seconds = LATE_SECONDS
        self.late_release: event.Event | None = None
        self.started = 0
        self.next_modes: list[str] = []
        self.is_up = False

    def start(self) -> None:
        """Listen; the port stays the same over restarts."""
        self.server = http_server.Server(("127.0.0.1", self.port), self.application)
        self.server.start()
        self.port = self.server.server_port
        self.is_up = True

    def crash(self) -> None:
        """Cut all connections and stop listening."""
        self.is_up = False
        self.server.abort()

    def application(self, environ, start_response):
        """Serve one request (WSGI): POST files, GET looks up."""
        mode = self.next_modes.pop(0) if self.next_modes else "ordinary"
        if mode == "cut_while_reading":
            return self._cut()
        content = environ["wsgi.input"].read()
        if mode == "refuse":
            headers = [(engine_http.HEADER_OUTCOME, engine_http.OUTCOME_NOT_RUN), *_json()]
            return http_server.respond(start_response, 503, b'{"error":"busy"}', headers)
        if mode == "crash_before":
            return self._cut()
        body = self._run(environ, content)
        return self._answer(environ, start_response, mode, body)

    def _run(self, environ, content: bytes) -> bytes:
        """Execute a request and return the body of its answer."""
        if environ["REQUEST_METHOD"] == "GET":
            found = {"filings": len(self.filings), "path": environ["PATH_INFO"]}
            return json.dumps(found).encode()
        self.started += 1
        self.clock.sleep(self.work_seconds)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        filing = Filing(key, content, len(self.filings) + 1)
        self.filings.append(filing)
        return json.dumps({"filing": filing.number}).encode()

    def _answer(self, environ, start_response, mode: str, body: bytes):
        """Answer a request that ran, with the fault of a mode."""
        if mode == "crash_after":
            return self._cut()
        if mode == "silent_after":
            event.Event().wait()
        if mode == "late" and self.late_release is not None:
            self.late_release.wait()
        elif mode == "late":
            self.clock.sleep(self.late_seconds)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if mode == "crossed":
            request_id = "another-request"
        headers = [(engine_http.HEADER_REQUEST, request_id), *_json()]
        if mode == "cut_in_answer":
            return self._break_off(start_response, headers, body)
        status = 500 if mode == "error" else 200
        return http_server.respond(start_response, status, body, headers)

    def _break_off(self, start_response, headers, body: bytes):
        """Announce a longer answer than is sent."""
        start_response("200 OK", [*headers, ("Content-Length", str(len(body) + 1))])
        yield body
        self._cut()

    def _cut(self):
        for sock in list(self.server.open_sockets):
            http_server.shutdown_socket(sock)
        return []


def _json() -> list[tuple[str, str]]:
    return [("Content-Type", "application/json")]
