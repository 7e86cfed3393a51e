"""Client of the platform's metadata store."""

import base64
import json
import reprlib
import urllib.parse

from bronzemux import errors, http_client, logs, store_version, table
from bronzemux.gateway import rows
from bronzemux.platform import fields

# Enough for two round trips and the retransmission of one lost packet.
CONNECT_TIMEOUT_SECONDS = 1.0
# Responses normally take 4 ms, and up to a hundred times as long when the store is slow.
RESPONSE_TIMEOUT_SECONDS = 2.0
# Added to the wait of a long poll. Covers a response time of up to a hundred times the normal 4 ms,
# and a slow link.
FEED_MARGIN_SECONDS = 1.0
# Maximum number of rows in one response.
PAGE_ROWS = 500
# Leaves the era within the limit of `store_version`.
MAX_ERA_DIGITS = 6
MAX_TRANSACTION_ENTRIES = 100
# A write and the version that its row must have.
ENTRIES_PER_WRITE = 2
OWN_TABLE = "bronzemux"
HISTORY_LOST_STATUS = 410
CONFLICT_STATUS = 412
ERA_FIELD = "store-era"


class StoreEra:
    """Number of times that the store was restored from an older copy, shared by its clients.

    Attributes:
      value: Highest number that a response of the store had, 0 before the first.
    """

    def __init__(self):
        self.value = 0

    def read(self, response: http_client.Response) -> int:
        """Return the era of a response, 0 for that of a store without eras.

        Raises:
          errors.PlatformUnavailableError: When the field is malformed, or missing although earlier
            responses had it.
        """
        fields_by_name = {name.lower(): value for name, value in response.headers.items()}
        text = fields_by_name.get(ERA_FIELD)
        if text is None and not self.value:
            return 0
        text = text or ""
        if not text.isascii() or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
            raise errors.PlatformUnavailableError(
                f"the store's era {text[:20]!r} is malformed", "check the address of the store"
            )
        era = int(text)
        if era > self.value:
            logs.event("store_era", era=era, known=self.value)
            self.value = era
        return era


class StoreRows(rows.RowSource):
    """Source of rows that reads and follows tables of the store.

    Args:
      address: IP address and port.
      wait_seconds: How long the store holds a long poll open while there are no changes.
      era: Era of the store.
    """

    def __init__(self, address: str, wait_seconds: float, era: StoreEra):
        self.wait_seconds = wait_seconds
        self.era = era
        self.read_client = _client(address, RESPONSE_TIMEOUT_SECONDS)
        self.feed_client = _client(address, wait_seconds + FEED_MARGIN_SECONDS)

    def read(self, name: str) -> rows.Batch:
        """Return all rows of a table as of one moment.

        Raises:
          rows.HistoryLostError: When the store was restored between two pages.
        """
        received, start, eras = [], "", set()
        while True:
            query = {"table": name, "part": "", "limit": PAGE_ROWS, "from": start}
            response = _call(
                self.read_client, "GET", "/-/rows-get?" + urllib.parse.urlencode(query)
            )
            page = _page(response, self.era.read(response), skips_malformed=True)
            received.extend(page.rows)
            eras.add(store_version.era_of(page.version))
            if len(eras) > 1:
                raise rows.HistoryLostError(f"the store was restored while {name} was read")
            if not page.has_more:
                return rows.Batch(tuple(received), page.version, is_snapshot=True)
            if not page.rows:
                raise errors.PlatformUnavailableError(
                    f"a whole page of table {name} is malformed", "remove its rows"
                )
            start = page.rows[-1].key + "\0"

    def changes(self, name: str, after: int) -> rows.Batch:
        """Return the rows that changed after a version, none after `wait_seconds` without changes.

        Raises:
          rows.HistoryLostError: When the store no longer has the changes after the version, or was
            restored from an older copy.
        """
        return self._changes(self.feed_client, name, after, self.wait_seconds)

    def changes_so_far(self, name: str, after: int) -> rows.Batch:
        """Return the rows that have changed after a version, without waiting for any.

        Raises:
          rows.HistoryLostError: As `changes` does.
        """
        return self._changes(self.read_client, name, after, 0.0)

    def _changes(self, client, name: str, after: int, wait_seconds: float) -> rows.Batch:
        number = store_version.number_of(after)
        query = {"table": name, "after": number, "wait_ms": int(wait_seconds * 1000)}
        path = "/-/rows-feed?" + urllib.parse.urlencode(query)
        response = _call(client, "GET", path)
        era = self.era.read(response)
        # A restored store gives the same numbers to other rows.
        if response.status == HISTORY_LOST_STATUS or era != store_version.era_of(after):
            raise rows.HistoryLostError(
                f"the store no longer has the changes of table {name} after version {number}"
            )
        page = _page(response, era, skips_malformed=True)
        return rows.Batch(page.rows, page.version, is_snapshot=False)


class StoreTable(table.TableService):
    """The gateway's own table; row versions come from the store's single version counter.

    Args:
      address: IP address and port.
      store_era: Era of the store.
    """

    max_writes = MAX_TRANSACTION_ENTRIES // ENTRIES_PER_WRITE

    def __init__(self, address: str, store_era: StoreEra):
        self.store_era = store_era
        self.client = _client(address, RESPONSE_TIMEOUT_SECONDS)

    @property
    def era(self) -> int:
        """Return how often the store has been restored from an older copy, as far as is known."""
        return self.store_era.value

    def record_era(self, era: int) -> None:
        """Record an era that was learnt from another router."""
        self.store_era.value = max(self.store_era.value, era)

    def read(self, keys) -> list[table.Row | None]:
        """Return the rows with the given keys, None for each key that does not exist."""
        received = {row.key: row for key in keys for row in self._range(key, key + "\0", 1)}
        return [received.get(key) for key in keys]

    def scan(self, prefix: str, limit: int) -> list[table.Row]:
        """Return at most `limit` rows whose key starts with a prefix, in key order."""
        return self._range(prefix, prefix + "\x7f", limit)

    def _range(self, start: str, end: str, limit: int) -> list[table.Row]:
        query = {"table": OWN_TABLE, "part": "", "from": start, "to": end, "limit": limit}
        response = _call(self.client, "GET", "/-/rows-get?" + urllib.parse.urlencode(query))
        page = _page(response, self.store_era.read(response))
        return [table.Row(row.key, row.version, row.value) for row in page.rows]

    def transact(self, writes) -> int:
        """Apply all writes atomically; return the new version of the rows.

        Raises:
          errors.WriteConflictError: When a row does not have its expected version.
          errors.AmbiguousWriteError: When the store was restored since the expected version was
            read; the version may have been that of another row.
        """
        keys = tuple(write.key for write in writes)
        expected_eras = {
            store_version.era_of(write.expected)
            for write in writes
            if write.expected != table.ABSENT
        }
        if expected_eras - {self.era}:
            raise errors.WriteConflictError(keys)
        body = {
            "expected": [
                _key(write) | {"row_version": store_version.number_of(write.expected)}
                for write in writes
            ],
            "puts": [
                _key(write) | {"value": base64.b64encode(write.value).decode()}
                for write in writes
                if write.value is not None
            ],
            "remove": [_key(write) for write in writes if write.value is None],
        }
        response = _call(self.client, "POST", "/-/rows-tx", json.dumps(body).encode())
        try:
            era = self.store_era.read(response)
        except errors.PlatformUnavailableError as error:
            raise errors.AmbiguousWriteError(error.message, "read the row again") from None
        if response.status == CONFLICT_STATUS:
            raise errors.WriteConflictError(keys)
        if expected_eras - {era}:
            raise errors.AmbiguousWriteError(
                "the store was restored before the write", "read the row again"
            )
        try:
            return _version(_document(response), era)
        except (errors.PlatformUnavailableError, fields.DocumentError, ValueError) as error:
            raise errors.AmbiguousWriteError(
                f"the store's response to a write is malformed: {error}", "read the row again"
            ) from None


def _client(address: str, progress_seconds: float) -> http_client.PlatformServiceClient:
    host, port = fields.split_address(address)
    timeouts = http_client.Timeouts(connect=CONNECT_TIMEOUT_SECONDS, progress=progress_seconds)
    return http_client.PlatformServiceClient(
        http_client.PlatformServiceSettings(host, port, timeouts)
    )


def _key(write: table.Write) -> dict:
    return {"table": OWN_TABLE, "part": "", "key": write.key}


def _call(client, method: str, path: str, body: bytes = b"") -> http_client.Response:
    response = client.exchange(method, path, body, is_write=method != "GET")
    if response.status in (200, HISTORY_LOST_STATUS, CONFLICT_STATUS):
        return response
    raise errors.PlatformUnavailableError(
        f"the store responded with status {response.status} to {path.partition('?')[0]}",
        "wait until the store is available",
    )


def _document(response: http_client.Response) -> dict:
    try:
        return fields.load(response.body)
    except fields.DocumentError as error:
        raise errors.PlatformUnavailableError(
            f"the store's response is malformed: {error}"
        ) from None


class _Page:
    """Page of rows, with the version of the store and whether more rows follow."""

    def __init__(self, received, version: int, has_more: bool):
        self.rows = received
        self.version = version
        self.has_more = has_more


def _page(response: http_client.Response, era: int, skips_malformed: bool = False) -> _Page:
    """Return the rows of a response.

    Args:
      response: The response.
      era: Era of the response.
      skips_malformed: Whether a malformed row is left out, rather than the whole response.

    Raises:
      errors.PlatformUnavailableError: When the response is malformed.
    """
    document = _document(response)
    decode = _row_or_none if skips_malformed else _row
    try:
        decoded = [
            decode(fields.table(item, "row"), era) for item in fields.items(document, "rows")
        ]
        received = tuple(row for row in decoded if row is not None)
        version = _version(document, era)
        return _Page(received, version, fields.flag(document, "has_more", False))
    except (fields.DocumentError, ValueError) as error:
        raise errors.PlatformUnavailableError(
            f"the store's response is malformed: {error}"
        ) from None


def _version(document: dict, era: int) -> int:
    return store_version.combine(era, fields.integer(document, "row_version"))


def _row_or_none(item: dict, era: int) -> rows.Row | None:
    try:
        return _row(item, era)
    except (fields.DocumentError, ValueError) as error:
        key = reprlib.repr(item.get("key"))
        logs.event("entry_rejected", "warning", key=key, cause=f"{error}; remove the row")
        return None


def _row(item: dict, era: int) -> rows.Row:
    is_deleted = fields.flag(item, "deleted", False)
    value = b"" if is_deleted else base64.b64decode(fields.text(item, "value", ""))
    return rows.Row(fields.text(item, "key"), _version(item, era), value, is_deleted)
