"""Configuration in the table service: a small head row, changed by compare-and-set.

The head row holds the version alone, so that watchers read little; the documents stand in one row
for each accepted version.
"""

import dataclasses
import datetime
import uuid

import cbor2

from bronzemux import clock as clocks
from bronzemux import config, errors, table

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
WRITE_ATTEMPTS = 5
BACKOFF_SECONDS = 0.1
MAX_HISTORY = 100


@dataclasses.dataclass(frozen=True)
class Head:
    """An accepted configuration.

    Attributes:
      version: Counts accepted changes from 1.
      text: The TOML document.
      change_id: Identity of the change, for repeats after a lost answer.
      operator: Who made the change.
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
          errors.ConfigError: When the document has mistakes.
        """
        return config.loads(self.text)


@dataclasses.dataclass(frozen=True)
class Change:
    """A change that an operator asks for.

    Attributes:
      expected: Version that the operator saw; 0 for the first configuration.
      text: The new document.
      operator: Who asks.
      summary: What is changed.
      change_id: Identity, the same one with each repeat.
    """

    expected: int
    text: str
    operator: str
    summary: str
    change_id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)


def encode(head: Head) -> bytes:
    """Return the content of a row or message."""
    return cbor2.dumps(dataclasses.astuple(head))


def decode(content: bytes) -> Head:
    """Return the head that a row or message holds.

    Raises:
      errors.HeadError: When it has another form.
    """
    try:
        version, *texts = cbor2.loads(content)
        if type(version) is not int or any(type(text) is not str for text in texts):
            raise TypeError("a field has another type")
        return Head(version, *texts)
    except (ValueError, TypeError, EOFError, OverflowError, RecursionError) as error:
        raise _malformed(error) from error
    except cbor2.CBORDecodeError as error:
        raise _malformed(error) from error


def _malformed(error: Exception) -> errors.HeadError:
    return errors.HeadError(
        f"the configuration head has another form: {error!r:.80}", "check the version of its writer"
    )


class ConfigAccess:
    """Interface to the accepted configurations."""

    def read(self) -> Head | None:
        """Return the head, None before the first configuration.

        Raises:
          errors.BronzemuxError: When it cannot be read.
        """
        raise NotImplementedError

    def history(self, limit: int = MAX_HISTORY) -> list[Head]:
        """Return accepted configurations, the newest first.

        Raises:
          errors.BronzemuxError: When they cannot be read.
        """
        raise NotImplementedError

    def read_version(self, number: int) -> Head:
        """Return an accepted configuration by its version.

        Raises:
          errors.NotFoundError: When there is none.
          errors.BronzemuxError: When it cannot be read.
        """
        raise NotImplementedError

    def apply(self, change: Change) -> Head:
        """Accept a change; a repeat of an accepted change returns what it did.

        Raises:
          errors.ConfigError: When the document has mistakes.
          errors.ConfigConflictError: When another change came first.
          errors.BronzemuxError: When it is out of reach.
        """
        raise NotImplementedError


class ConfigStore(ConfigAccess):
    """Configuration head in the table service.

    Args:
      service: Table service.
      clock: Source of time.
    """

    def __init__(self, service: table.TableService, clock: clocks.Clock):
        self.service = service
        self.clock = clock

    def newest_version(self) -> int:
        """Return the version of the head, 0 before the first configuration.

        Raises:
          errors.PlatformUnavailableError: When the service gave no answer.
        """
        row = self.service.read([HEAD_KEY])[0]
        return cbor2.loads(row.value) if row else 0

    def read(self) -> Head | None:
        """Return the head, None before the first configuration.

        Raises:
          errors.PlatformUnavailableError: When the service gave no answer.
        """
        version = self.newest_version()
        return self.read_version(version) if version else None

    def history(self, limit: int = MAX_HISTORY) -> list[Head]:
        """Return accepted configurations, the newest first.

        Raises:
          errors.PlatformUnavailableError: When the service gave no answer.
        """
        rows = self.service.scan(HISTORY_PREFIX, limit)
        return [decode(row.value) for row in rows]

    def read_version(self, number: int) -> Head:
        """Return an accepted configuration by its version.

        Raises:
          errors.NotFoundError: When there is none.
          errors.PlatformUnavailableError: When the service gave no answer.
        """
        row = self.service.read([history_key(number)])[0]
        if row is None:
            raise errors.NotFoundError(f"no version {number}", "list them with `config history`")
        return decode(row.value)

    def apply(self, change: Change) -> Head:
        """Accept a change: it is checked whole and written in one transaction.

        Args:
          change: The change.

        Returns:
          The new head; also when an earlier try of the same change was accepted.

        Raises:
          errors.ConfigError: When the document has mistakes.
          errors.ConfigConflictError: When another change came first.
          errors.PlatformError: When the service is out of reach.
        """
        head = self._head(change)
        head.document()
        last: errors.PlatformError | None = None
        for attempt in range(WRITE_ATTEMPTS):
            try:
                self.service.transact(head_writes(head))
                return head
            except errors.WriteConflictError:
                return self._settle(change)
            except errors.PlatformError as error:
                last = error
                self.clock.sleep(BACKOFF_SECONDS * 2**attempt)
        raise last

    def _head(self, change: Change) -> Head:
        return Head(
            version=change.expected + 1,
            text=change.text,
            change_id=change.change_id,
            operator=change.operator,
            at=self.clock.now().astimezone(datetime.UTC).isoformat(timespec="seconds"),
            summary=change.summary,
        )

    def _settle(self, change: Change) -> Head:
        """Return the head that an earlier try of this change wrote, or raise the conflict."""
        row = self.service.read([history_key(change.expected + 1)])[0]
        winner = decode(row.value) if row else None
        if winner is not None and winner.change_id == change.change_id:
            return winner
        current = self.read()
        version = current.version if current else 0
        other = f"{winner.operator}: {winner.summary}" if winner else "no such version yet"
        raise errors.ConfigConflictError(
            f"expected version {change.expected}, found {version} ({other})",
            "look at it with `bronzemux-ctl config diff` and apply again",
        )


def history_key(version: int) -> str:
    """Return the row key of an accepted version; newer versions sort first."""
    return f"{HISTORY_PREFIX}{10**12 - version:012d}"


def head_writes(head: Head) -> list[table.Write]:
    """Return the writes that make a head the accepted one."""
    content = encode(head)
    return [
        table.Write(HEAD_KEY, head.version - 1, cbor2.dumps(head.version)),
        table.Write(history_key(head.version), table.ABSENT, content),
    ]
