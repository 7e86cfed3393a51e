"""Configuration in the table service: a small head row, updated by compare-and-set.

The head row holds only the newest version, so that polling it is cheap. Each accepted version has a
row with its document.
"""

import dataclasses
import datetime
import uuid

import cbor2

from bronzemux import clock as clocks
from bronzemux import config, errors, logs, plain_values, table

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
WRITE_ATTEMPTS = 5
INITIAL_BACKOFF_SECONDS = 0.1
MAX_HISTORY = 100
# `history_key` has 12 digits.
MAX_VERSION = 10**12 - 1


@dataclasses.dataclass(frozen=True)
class Head:
    """An accepted configuration.

    Attributes:
      version: Version, which counts the accepted changes from 1.
      text: The TOML document.
      change_id: Identifier of the change, to recognise a retry after a lost response.
      operator: Name of the operator who made the change.
      at: UTC time of the change, ISO 8601.
      summary: What was changed.
    """

    version: int
    text: str
    change_id: str
    operator: str
    at: str
    summary: str

    def document(self) -> config.Config:
        """Return the decoded configuration.

        Raises:
          errors.ConfigError: When the document has errors.
        """
        return config.loads(self.text)


@dataclasses.dataclass(frozen=True)
class Change:
    """A change that an operator requests.

    Attributes:
      expected: Version that the change is based on, 0 for the first configuration.
      text: The new document.
      operator: Name of the operator.
      summary: What is changed.
      change_id: Identifier of the change, the same in each retry.
    """

    expected: int
    text: str
    operator: str
    summary: str
    change_id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)


def encode(head: Head) -> bytes:
    """Return the encoding of a head for rows and messages."""
    return cbor2.dumps(dataclasses.astuple(head))


def decode(content: bytes) -> Head:
    """Return the head that a row or message holds.

    Raises:
      errors.HeadError: When the encoding is invalid.
    """
    try:
        version, *texts = plain_values.items(
            plain_values.load_cbor(content), len(dataclasses.fields(Head))
        )
        return Head(
            plain_values.integer(version, 1, MAX_VERSION),
            *(plain_values.text(text) for text in texts),
        )
    except plain_values.CHECK_ERRORS as error:
        raise errors.HeadError(
            f"the configuration head is malformed: {plain_values.cause(error)}",
            "check the version of its writer",
        ) from error


def decode_version(value: bytes) -> int:
    """Return the version that the head row holds.

    Raises:
      errors.HeadError: When the value is malformed.
    """
    try:
        return plain_values.integer(plain_values.load_cbor(value), 1, MAX_VERSION)
    except plain_values.CHECK_ERRORS as error:
        raise errors.HeadError(
            f"the row {HEAD_KEY} is malformed: {plain_values.cause(error)}",
            "write the number of the newest version to it",
        ) from error


def decode_row(row: table.Row) -> Head:
    """Return the head that a row of the history holds.

    Raises:
      errors.HeadError: When the value is malformed or has another version than the key.
    """
    head = decode(row.value)
    if history_key(head.version) != row.key:
        raise errors.HeadError(
            f"the row {row.key} holds version {head.version}", "check the version of its writer"
        )
    return head


class ConfigAccess:
    """Interface to the accepted configurations."""

    def read(self) -> Head | None:
        """Return the newest accepted configuration, None before the first one.

        Raises:
          errors.BronzemuxError: When it could not be read.
        """
        raise NotImplementedError

    def history(self, limit: int = MAX_HISTORY) -> list[Head]:
        """Return accepted configurations, the newest first.

        Raises:
          errors.BronzemuxError: When they could not be read.
        """
        raise NotImplementedError

    def read_version(self, number: int) -> Head:
        """Return an accepted configuration by its version.

        Raises:
          errors.NotFoundError: When no configuration has this version.
          errors.BronzemuxError: When it could not be read.
        """
        raise NotImplementedError

    def apply(self, change: Change) -> Head:
        """Apply a change; a retry of an accepted change returns the head of the first attempt.

        Raises:
          errors.ConfigError: When the document has errors.
          errors.ConfigConflictError: When another change was accepted first.
          errors.BronzemuxError: When the change could not be sent or written.
        """
        raise NotImplementedError


class ConfigStore(ConfigAccess):
    """Accepted configurations in the table service.

    Args:
      service: Table service.
      clock: Source of time.
    """

    def __init__(self, service: table.TableService, clock: clocks.Clock):
        self.service = service
        self.clock = clock
        self.repeats = logs.RepeatFilter(clock)

    def newest_version(self) -> int:
        """Return the version of the newest configuration, 0 before the first one.

        Raises:
          errors.HeadError: When the head row is malformed.
          errors.PlatformUnavailableError: When the service sent no response.
        """
        return self._newest()[1]

    def _newest(self) -> tuple[int, int]:
        """Return the version of the head row, and that of the newest configuration."""
        row = self.service.read([HEAD_KEY])[0]
        return (row.version, decode_version(row.value)) if row else (table.ABSENT, 0)

    def read(self) -> Head | None:
        """Return the newest accepted configuration, None before the first one.

        Raises:
          errors.PlatformUnavailableError: When the service sent no response.
        """
        version = self.newest_version()
        return self.read_version(version) if version else None

    def history(self, limit: int = MAX_HISTORY) -> list[Head]:
        """Return accepted configurations, the newest first, without malformed ones.

        Raises:
          errors.PlatformUnavailableError: When the service sent no response.
        """
        found = []
        for row in self.service.scan(HISTORY_PREFIX, limit):
            try:
                found.append(decode_row(row))
            except errors.HeadError as error:
                self.repeats.event("config_row_rejected", "history", row=row.key, cause=str(error))
        return found

    def read_version(self, number: int) -> Head:
        """Return an accepted configuration by its version.

        Raises:
          errors.NotFoundError: When no configuration has this version.
          errors.HeadError: When its row is malformed.
          errors.PlatformUnavailableError: When the service sent no response.
        """
        row = self.service.read([history_key(number)])[0]
        if row is None:
            raise errors.NotFoundError(f"no version {number}", "list them with `config history`")
        return decode_row(row)

    def apply(self, change: Change) -> Head:
        """Validate the whole document of a change and write it in one transaction.

        Args:
          change: The change.

        Returns:
          The new head, also when an earlier attempt of the same change was accepted.

        Raises:
          errors.ConfigError: When the document has errors.
          errors.ConfigConflictError: When another change was accepted first.
          errors.PlatformError: When the table service failed in all attempts.
        """
        head = self._new_head(change)
        head.document()
        last_error: errors.PlatformError | None = None
        for attempt in range(WRITE_ATTEMPTS):
            try:
                row_version, newest = self._newest()
                if newest != change.expected:
                    return self._resolve_conflict(change)
                self.service.transact(head_writes(head, row_version))
                return head
            except errors.WriteConflictError:
                return self._resolve_conflict(change)
            except errors.HeadError:
                raise
            except errors.PlatformError as error:
                last_error = error
                self.clock.sleep(INITIAL_BACKOFF_SECONDS * 2**attempt)
        raise last_error

    def rewrite_lost(self, head: Head) -> bool:
        """Write an accepted configuration again that a restored table service has lost.

        Args:
          head: The newest configuration that this process knows.

        Returns:
          Whether it was written. It is not when the service holds it or a later change.

        Raises:
          errors.PlatformError: When the table service failed or another process wrote the head.
          errors.NotFoundError: When the service has lost the configuration of its head.
        """
        row_version, newest = self._newest()
        if newest >= head.version:
            return False
        if newest and self.read_version(newest).at > head.at:
            logs.event("config_diverged", "error", stored=newest, in_force=head.version)
            return False
        self.service.transact(head_writes(head, row_version))
        logs.event("config_rewritten", "warning", stored=newest, version=head.version)
        return True

    def _new_head(self, change: Change) -> Head:
        return Head(
            version=change.expected + 1,
            text=change.text,
            change_id=change.change_id,
            operator=change.operator,
            at=self.clock.now().astimezone(datetime.UTC).isoformat(timespec="seconds"),
            summary=change.summary,
        )

    def _resolve_conflict(self, change: Change) -> Head:
        """Return the head that an earlier attempt of this change wrote, or raise the conflict."""
        row = self.service.read([history_key(change.expected + 1)])[0]
        accepted = decode_row(row) if row else None
        if accepted is not None and accepted.change_id == change.change_id:
            return accepted
        current = self.read()
        version = current.version if current else 0
        other = f"{accepted.operator}: {accepted.summary}" if accepted else "no such version yet"
        raise errors.ConfigConflictError(
            f"expected version {change.expected}, found {version} ({other})",
            "compare with `bronzemux-ctl config diff` and apply the change again",
        )


def history_key(version: int) -> str:
    """Return the row key of an accepted version; the keys of newer versions sort first."""
    return f"{HISTORY_PREFIX}{10**12 - version:012d}"


def head_writes(head: Head, row_version: int) -> list[table.Write]:
    """Return the writes that make a head the newest accepted configuration.

    Both fail on a conflict when another change was accepted first.

    Args:
      head: The head.
      row_version: Version of the head row, which must show the version before.
    """
    content = encode(head)
    return [
        table.Write(HEAD_KEY, row_version, cbor2.dumps(head.version)),
        table.Write(history_key(head.version), table.ABSENT, content),
    ]
