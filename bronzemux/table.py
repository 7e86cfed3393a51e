"""Table service: versioned rows with conditional transactions."""

import dataclasses
from collections.abc import Callable, Sequence

import cbor2

from bronzemux import errors, http_client, logs, plain_values, records, store_version

ABSENT = 0
# Header of the service's responses: how often it was restored from an older copy.
ERA_HEADER = "X-Table-Era"
MAX_ERA_DIGITS = 7


@records.record
class Row:
    """A stored row.

    Attributes:
      key: Primary key.
      version: Era in which it was read and number of writes since it was created, from 1; see
        `store_version`.
      value: Stored bytes.
    """

    key: str
    version: int
    value: bytes


@records.record
class Write:
    """A conditional write.

    Attributes:
      key: Primary key.
      expected: Version that the row must have; `ABSENT` when it must not exist.
      value: New value, or None to delete the row.
    """

    key: str
    expected: int
    value: bytes | None


class TableService:
    """Interface of the platform's table service.

    Attributes:
      era: Number of times that the service was restored from an older copy, as far as is known. A
        restored service has lost the rows written since the copy.
      max_writes: Largest number of writes in one transaction.
    """

    era = 0
    max_writes = 128

    def record_era(self, era: int) -> None:
        """Record an era that was learnt otherwise than from a response of the service.

        Args:
          era: The era; an earlier one than the known one has no effect.
        """
        self.era = max(self.era, era)

    def read(self, keys: Sequence[str]) -> list[Row | None]:
        """Return the rows of keys, None for each that does not exist.

        Raises:
          errors.PlatformUnavailableError: When the service sent no response.
        """
        raise NotImplementedError

    def scan(self, prefix: str, limit: int) -> list[Row]:
        """Return up to `limit` rows whose key starts with a prefix, in key order.

        Raises:
          errors.PlatformUnavailableError: When the service sent no response.
        """
        raise NotImplementedError

    def transact(self, writes: Sequence[Write]) -> int:
        """Apply all writes atomically, or none of them.

        Returns:
          The new version of the first row written.

        Raises:
          errors.WriteConflictError: When a row has another version; nothing was written.
          errors.PlatformUnavailableError: When nothing was written.
          errors.AmbiguousWriteError: When it is not known whether the writes took effect.
        """
        raise NotImplementedError


def next_version(era: int, expected: int) -> int:
    """Return the version of a row after a write.

    Args:
      era: Era of the write.
      expected: Version of the row before it, `ABSENT` for none.
    """
    return expected + 1 if expected != ABSENT else store_version.combine(era, 1)


def in_era(era: int, row: Row) -> Row:
    """Return a row as it is in an era, with the same number of writes."""
    version = store_version.combine(era, store_version.number_of(row.version))
    return dataclasses.replace(row, version=version)


class MemoryTable(TableService):
    """Table service in memory."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.reads = 0
        self.transactions = 0

    def read(self, keys: Sequence[str]) -> list[Row | None]:
        """Return the rows of keys, None for each that does not exist."""
        self.reads += 1
        return [self.rows.get(key) for key in keys]

    def scan(self, prefix: str, limit: int) -> list[Row]:
        """Return up to `limit` rows whose key starts with a prefix, in key order."""
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys[:limit]]

    def transact(self, writes: Sequence[Write]) -> int:
        """Apply all writes atomically, or none of them."""
        self.transactions += 1
        conflicts = [write.key for write in writes if self._version(write.key) != write.expected]
        if conflicts:
            raise errors.WriteConflictError(tuple(conflicts))
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                version = next_version(self.era, write.expected)
                self.rows[write.key] = Row(write.key, version, write.value)
        return next_version(self.era, writes[0].expected)

    def copy(self) -> dict[str, Row]:
        """Return a copy of all rows, for `restore`."""
        return dict(self.rows)

    def restore(self, rows: dict[str, Row]) -> None:
        """Replace all rows by an older copy and begin a new era.

        Rows keep their numbers of writes, so that later writes give out numbers again.

        Args:
          rows: A result of `copy`.
        """
        self.era += 1
        self.rows = {key: in_era(self.era, row) for key, row in rows.items()}

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else ABSENT


class HttpTable(TableService):
    """Table service over HTTP with CBOR bodies.

    The service sends the numbers of writes of its rows, and its era in the header `ERA_HEADER`.

    Args:
      settings: Address and timeout.
    """

    def __init__(self, settings: http_client.PlatformServiceSettings):
        self.client = http_client.PlatformServiceClient(settings)

    def read(self, keys: Sequence[str]) -> list[Row | None]:
        """Return the rows of keys, None for each that does not exist."""

        def decode(content, era: int) -> list[Row | None]:
            items = plain_values.items(content, len(keys))
            return [None if item is None else _decode_row(era, item) for item in items]

        return self._call("read", list(keys), False, decode)[0]

    def scan(self, prefix: str, limit: int) -> list[Row]:
        """Return up to `limit` rows whose key starts with a prefix, in key order."""

        def decode(content, era: int) -> list[Row]:
            return [_decode_row(era, item) for item in plain_values.items(content)]

        return self._call("scan", [prefix, limit], False, decode)[0]

    def transact(self, writes: Sequence[Write]) -> int:
        """Apply all writes atomically, or none of them.

        Writes that expect a version of another era conflict without a call. A number that matches
        in a later era does so by chance; the writes then count as ambiguous.
        """
        known = self.era
        stale = [write.key for write in writes if _is_of_other_era(write, known)]
        if stale:
            raise errors.WriteConflictError(tuple(stale))
        body = [
            [write.key, store_version.number_of(write.expected), write.value] for write in writes
        ]
        written = {write.key for write in writes}

        def decode(content, _era: int) -> list[str]:
            names = [plain_values.text(name) for name in plain_values.items(content)]
            if not written.issuperset(names):
                raise ValueError("it names a conflict at a row that was not written")
            return names

        conflicts, era = self._call("transact", body, True, decode)
        if conflicts:
            raise errors.WriteConflictError(tuple(conflicts))
        if era != known:
            raise errors.AmbiguousWriteError(
                f"the table service was restored, era {known} has become {era}",
                "read the row to learn what it holds now",
            )
        return next_version(known, writes[0].expected)

    def _call(self, operation: str, body, is_write: bool, decode: Callable):
        """Return the decoded response and its era.

        Args:
          operation: Name of the operation.
          body: Its arguments.
          is_write: Whether it may change rows.
          decode: Called with the response, as CBOR decodes it, and its era.
        """
        path = f"/table/{operation}"
        response = self.client.exchange("POST", path, cbor2.dumps(body), is_write)
        era = self._response_era(response, is_write)
        if era > self.era:
            logs.event("table_restored", "warning", era=era, known=self.era)
            self.era = era
        try:
            return decode(plain_values.load_cbor(response.body), era), era
        except plain_values.CHECK_ERRORS as error:
            raise _response_error(
                f"a response of the table service is malformed: {plain_values.cause(error)}",
                is_write,
            ) from error

    def _response_era(self, response: http_client.Response, is_write: bool) -> int:
        """Return the era of a response; a service that sends none was never restored."""
        text = {name.lower(): value for name, value in response.headers.items()}.get(
            ERA_HEADER.lower(), "0"
        )
        is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
        if is_number and int(text) <= store_version.MAX_ERA:
            return int(text)
        raise _response_error(f"the table service sent an invalid era {text!r:.40}", is_write)


def _response_error(message: str, is_write: bool) -> errors.PlatformError:
    error = errors.AmbiguousWriteError if is_write else errors.PlatformUnavailableError
    return error(message, "check the table service")


def _is_of_other_era(write: Write, era: int) -> bool:
    return write.expected != ABSENT and store_version.era_of(write.expected) != era


def _decode_row(era: int, item) -> Row:
    key, number, value = plain_values.items(item, 3)
    version = store_version.combine(era, plain_values.integer(number, minimum=1))
    return Row(plain_values.text(key), version, plain_values.typed(value, bytes))
