"""Tables of the platform's store as a gateway follows them.

A replica only moves forward: a batch that shows an older state than the one known is ignored, so
that stale reads and slow peers never bring anything back.
"""

import dataclasses

from bronzemux import errors


class HistoryLostError(errors.PlatformError):
    """The store no longer has the changes after a version; read the whole table."""


@dataclasses.dataclass(frozen=True)
class Row:
    """A row, or the removal of one.

    Attributes:
      key: Key in its table.
      version: Version of the store at its last change.
      value: Content.
      is_deleted: Whether it was removed.
    """

    key: str
    version: int
    value: bytes = b""
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Batch:
    """Rows of one answer.

    Attributes:
      rows: The rows.
      version: Version of the store that the answer shows.
      is_whole: Whether these are all rows of the table, and not changes.
    """

    rows: tuple[Row, ...]
    version: int
    is_snapshot: bool


class RowSource:
    """Interface to tables that can be read and followed."""

    def read(self, name: str) -> Batch:
        """Return all rows of a table.

        Raises:
          errors.PlatformUnavailableError: When there is no answer.
        """
        raise NotImplementedError

    def changes(self, name: str, after: int) -> Batch:
        """Return the rows that changed after a version, once there are some or a wait has passed.

        Raises:
          HistoryLostError: When the changes are no longer known.
          errors.PlatformUnavailableError: When there is no answer.
        """
        raise NotImplementedError


class Replica:
    """One table as it is known here.

    Args:
      name: Name of the table.
    """

    def __init__(self, name: str):
        self.name = name
        self.rows: dict[str, Row] = {}
        self.version = -1
        self.changed_version = -1

    def apply(self, batch: Batch) -> tuple[Row, ...]:
        """Take a batch in.

        Returns:
          The rows that are new, changed or removed.
        """
        if batch.version < self.version:
            return ()
        changed = self._changes(batch)
        for row in changed:
            if row.is_deleted:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self.version = batch.version
        if changed or self.changed_version < 0:
            latest = max((row.version for row in changed), default=0)
            self.changed_version = max(self.changed_version, latest)
        return changed

    def _changes(self, batch: Batch) -> tuple[Row, ...]:
        changed = [row for row in batch.rows if self._is_news(row)]
        if batch.is_snapshot:
            present = {row.key for row in batch.rows}
            gone = [key for key in self.rows if key not in present]
            changed += [Row(key, batch.version, is_deleted=True) for key in gone]
        return tuple(changed)

    def _is_news(self, row: Row) -> bool:
        known = self.rows.get(row.key)
        if row.is_deleted:
            return known is not None and row.version > known.version
        return known is None or row.version > known.version

    def snapshot(self) -> Batch:
        """Return all rows as a batch."""
        return Batch(tuple(self.rows.values()), self.version, is_snapshot=True)
