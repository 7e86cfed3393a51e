"""Client of the platform's metadata store."""

import base64
import json
import urllib.parse

from bronzemux import errors, http_client, table
from bronzemux.gateway import rows
from bronzemux.platform import fields

# Two round trips and one lost packet.
CONNECT_SECONDS = 1.0
# Answers take 4 ms, and up to a hundred times as long on a slow day.
ANSWER_SECONDS = 2.0
# Answers may be late by a hundred times the usual 4 ms, and by a slow link; the wait itself is part
# of the call.
FEED_MARGIN_SECONDS = 1.0
# Most rows of one answer.
PAGE_ROWS = 500
OWN_TABLE = "bronzemux"
LOST_HISTORY = 410
CONFLICT = 412


class StoreRows(rows.RowSource):
    """Tables of the store as a source of rows.

    Args:
      address: IP number and port.
      wait_seconds: How long a feed waits for changes.
    """

    def __init__(self, address: str, wait_seconds: float):
        self.wait_seconds = wait_seconds
        self.reader = _client(address, ANSWER_SECONDS)
        self.feeder = _client(address, wait_seconds + FEED_MARGIN_SECONDS)

    def read(self, name: str) -> rows.Batch:
        """Return all rows of a table as of one moment."""
        found, start = [], ""
        while True:
            query = {"table": name, "part": "", "limit": PAGE_ROWS, "from": start}
            page = _page(_call(self.reader, "GET", "/-/rows-get?" + urllib.parse.urlencode(query)))
            found.extend(page.rows)
            if not page.has_more or not page.rows:
                return rows.Batch(tuple(found), page.version, is_snapshot=True)
            start = page.rows[-1].key + "\0"

    def changes(self, name: str, after: int) -> rows.Batch:
        """Return the rows that changed after a version; wait until there are some."""
        query = {"table": name, "after": after, "wait_ms": int(self.wait_seconds * 1000)}
        path = "/-/rows-feed?" + urllib.parse.urlencode(query)
        answer = _call(self.feeder, "GET", path)
        if answer.status == LOST_HISTORY:
            raise rows.HistoryLostError(f"the changes of {name} after {after} are gone")
        page = _page(answer)
        return rows.Batch(page.rows, page.version, is_snapshot=False)


class StoreTable(table.TableService):
    """Rows of the gateway's own table; versions are those of the store's single counter.

    Args:
      address: IP number and port.
    """

    def __init__(self, address: str):
        self.client = _client(address, ANSWER_SECONDS)

    def read(self, keys) -> list[table.Row | None]:
        """Return the rows of keys, None for each that does not exist."""
        found = {row.key: row for key in keys for row in self._range(key, key + "\0", 1)}
        return [found.get(key) for key in keys]

    def scan(self, prefix: str, limit: int) -> list[table.Row]:
        """Return up to `limit` rows whose key starts with a prefix, in key order."""
        return self._range(prefix, prefix + "\x7f", limit)

    def _range(self, start: str, end: str, limit: int) -> list[table.Row]:
        query = {"table": OWN_TABLE, "part": "", "from": start, "to": end, "limit": limit}
        page = _page(_call(self.client, "GET", "/-/rows-get?" + urllib.parse.urlencode(query)))
        return [table.Row(row.key, row.version, row.value) for row in page.rows]

    def transact(self, writes) -> int:
        """Apply all writes or none; return the new version of the rows."""
        body = {
            "expected": [_key(write) | {"row_version": write.expected} for write in writes],
            "puts": [
                _key(write) | {"value": base64.b64encode(write.value).decode()}
                for write in writes
                if write.value is not None
            ],
            "remove": [_key(write) for write in writes if write.value is None],
        }
        answer = _call(self.client, "POST", "/-/rows-tx", json.dumps(body).encode())
        if answer.status == CONFLICT:
            raise errors.WriteConflictError(tuple(write.key for write in writes))
        return fields.integer(_document(answer), "row_version")


def _client(address: str, progress: float) -> http_client.PlatformServiceClient:
    host, port = fields.split_address(address)
    timeouts = http_client.Timeouts(connect=CONNECT_SECONDS, progress=progress)
    return http_client.PlatformServiceClient(
        http_client.PlatformServiceSettings(host, port, timeouts)
    )


def _key(write: table.Write) -> dict:
    return {"table": OWN_TABLE, "part": "", "key": write.key}


def _call(client, method: str, path: str, body: bytes = b"") -> http_client.Response:
    answer = client.exchange(method, path, body, is_write=method != "GET")
    if answer.status in (200, LOST_HISTORY, CONFLICT):
        return answer
    raise errors.PlatformUnavailableError(
        f"the store answered {answer.status} to {path.partition('?')[0]}", "wait until it is back"
    )


def _document(answer: http_client.Response) -> dict:
    try:
        return fields.load(answer.body)
    except fields.DocumentError as error:
        raise errors.PlatformUnavailableError(
            f"the store's answer is unreadable: {error}"
        ) from None


class _Page:
    """Rows of one answer, its version and whether more follow."""

    def __init__(self, found, version: int, has_more: bool):
        self.rows = found
        self.version = version
        self.has_more = has_more


def _page(answer: http_client.Response) -> _Page:
    document = _document(answer)
    try:
        found = tuple(_row(fields.table(item, "row")) for item in fields.items(document, "rows"))
        version = fields.integer(document, "row_version")
        return _Page(found, version, fields.flag(document, "has_more", False))
    except (fields.DocumentError, ValueError) as error:
        raise errors.PlatformUnavailableError(
            f"the store's answer is unreadable: {error}"
        ) from None


def _row(item: dict) -> rows.Row:
    is_deleted = fields.flag(item, "deleted", False)
    value = b"" if is_deleted else base64.b64decode(fields.text(item, "value", ""))
    key, version = fields.text(item, "key"), fields.integer(item, "row_version")
    return rows.Row(key, version, value, is_deleted)
