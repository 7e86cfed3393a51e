"""Stand-in for the platform's store, for tests and development."""

import base64
import dataclasses
import enum
import json
import urllib.parse

import gevent
import gevent.event

from bronzemux import http_server

HANG_SECONDS = 30.0
MAX_PAGE_ROWS = 500
MAX_TRANSACTION_ENTRIES = 100
ERA_FIELD = "Store-Era"


class Fault(enum.Enum):
    """Fault that the store simulates."""

    NONE = "none"
    BUSY = "busy"
    TOO_MANY = "too-many"
    SILENT = "silent"
    ANSWER_LOST = "answer-lost"
    LATE_WRITE = "late-write"
    GARBAGE = "garbage"


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of a row in the store's history; its value is None for a removal."""

    table: str
    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Copy:
    """Content of a store at one moment, from which it can be restored."""

    rows: dict[tuple[str, str], Change]
    history: tuple[Change, ...]
    history_start: int
    version: int


class StandInStore:
    """In-memory store with one version counter, change feeds and simulated faults.

    Args:
      address: Host and port to listen on.

    Attributes:
      history_start: Version after which the history of changes is complete.
      era: Number of times that the store was started or restored from an older copy.
      late_write_seconds: Delay of a write under `Fault.LATE_WRITE`.
      calls: Number of requests received, by path.
    """

    def __init__(self, address=("127.0.0.1", 0)):
        self.rows: dict[tuple[str, str], Change] = {}
        self.history: list[Change] = []
        self.history_start = 0
        self.version = 0
        self.era = 1
        self.fault = Fault.NONE
        self.late_write_seconds = 0.2
        self.calls: dict[str, int] = {}
        self.changed = gevent.event.Event()
        self.server = http_server.Server(address, self._serve)

    def start(self) -> None:
        """Start accepting connections."""
        self.server.start()

    def stop(self) -> None:
        """Close all connections and stop."""
        self.server.abort()

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f"{self.server.server_host}:{self.server.server_port}"

    # Operations of operators and endpoints

    def put(self, table: str, key: str, document) -> int:
        """Write a row, with bytes unchanged and other documents as JSON; return its version."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        self.version += 1
        self._apply(Change(table, key, self.version, value))
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self._apply(Change(table, key, self.version, None))

    def forget_history(self) -> None:
        """Drop the history of changes; a feed that has not read all of it gets status 410."""
        self.history_start = self.version
        self.history.clear()

    def copy(self) -> Copy:
        """Return a copy of the content."""
        return Copy(dict(self.rows), tuple(self.history), self.history_start, self.version)

    def restore(self, copy: Copy) -> None:
        """Replace the content by an older copy; what was written since is lost."""
        self.rows, self.history = dict(copy.rows), list(copy.history)
        self.history_start, self.version = copy.history_start, copy.version
        self.era += 1
        self._wake_polls()

    def _apply(self, change: Change) -> None:
        row_id = (change.table, change.key)
        if change.value is None:
            self.rows.pop(row_id, None)
        else:
            self.rows[row_id] = change
        self.history.append(change)
        self._wake_polls()

    def _wake_polls(self) -> None:
        self.changed.set()
        self.changed = gevent.event.Event()

    # HTTP interface

    def _serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        self.calls[path] = self.calls.get(path, 0) + 1
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        if self.fault in (Fault.BUSY, Fault.TOO_MANY):
            status = 503 if self.fault is Fault.BUSY else 429
            return self._respond(start_response, status, b"")
        if self.fault is Fault.SILENT:
            gevent.sleep(HANG_SECONDS)
        if self.fault is Fault.GARBAGE:
            return self._respond(start_response, 200, b"<html>")
        status, document = self._dispatch(path, query, body)
        return self._respond(start_response, status, json.dumps(document).encode())

    def _respond(self, start_response, status: int, body: bytes) -> list[bytes]:
        return http_server.respond(start_response, status, body, [(ERA_FIELD, str(self.era))])

    def _dispatch(self, path: str, query: dict, body: bytes):
        if path == "/-/rows-get":
            return 200, self._get(query)
        if path == "/-/rows-feed":
            return self._feed(query)
        if path == "/-/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query: dict) -> dict:
        start, end = query.get("from", ""), query.get("to")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        found = sorted(
            (change for (table, _), change in self.rows.items() if table == query["table"]),
            key=lambda change: change.key,
        )
        found = [c for c in found if c.key >= start and (end is None or c.key < end)]
        page = [_document(change) for change in found[:limit]]
        return {"rows": page, "has_more": len(found) > limit, "row_version": self.version}

    def _feed(self, query: dict):
        after, table = int(query["after"]), query["table"]
        wait = int(query.get("wait_ms", 0)) / 1000
        with gevent.Timeout(wait, False):
            while self._has_history(after) and not self._changes(table, after):
                self.changed.wait()
        # A change may precede the timeout in the same iteration of the event loop.
        if not self._has_history(after):
            return 410, {}
        changes = self._changes(table, after)
        return 200, {"rows": [_document(c) for c in changes], "row_version": self.version}

    def _has_history(self, after: int) -> bool:
        return self.history_start <= after <= self.version

    def _changes(self, table: str, after: int) -> list[Change]:
        return [c for c in self.history if c.table == table and c.version > after]

    def _transact(self, body: dict):
        if sum(map(len, body.values())) > MAX_TRANSACTION_ENTRIES:
            return 400, {}
        if self.fault is Fault.LATE_WRITE:
            gevent.spawn_later(self.late_write_seconds, self._commit, body)
            gevent.sleep(HANG_SECONDS)
        conflicts = self._commit(body)
        if self.fault is Fault.ANSWER_LOST:
            gevent.sleep(HANG_SECONDS)
        if conflicts:
            return 412, {"rows": conflicts, "row_version": self.version}
        return 200, {"row_version": self.version}

    def _commit(self, body: dict) -> list[dict]:
        conflicts = []
        for item in body["expected"]:
            known = self.rows.get((item["table"], item["key"]))
            if (known.version if known else 0) != item["row_version"]:
                conflicts.append({"table": item["table"], "key": item["key"]})
        if conflicts:
            return conflicts
        self.version += 1
        for item in body["puts"]:
            value = base64.b64decode(item["value"])
            self._apply(Change(item["table"], item["key"], self.version, value))
        for item in body["remove"]:
            self._apply(Change(item["table"], item["key"], self.version, None))
        return []


def _document(change: Change) -> dict:
    row = {"table": change.table, "part": "", "key": change.key, "row_version": change.version}
    if change.value is None:
        return row | {"deleted": True}
    return row | {"value": base64.b64encode(change.value).decode()}
