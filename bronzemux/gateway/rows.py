"""Replicas of the tables in the platform's store.

A replica's version never decreases: a batch with an older version is ignored, so that stale reads
and slow peers cannot restore outdated rows.
"""

from bronzemux import errors, records


class HistoryLostError(errors.PlatformError):
    """The store no longer has the changes after a version; the whole table must be read."""


@records.record
class Row:
    """A row of a table, or a tombstone for a removed row.

    Attributes:
      key: Key in its table.
      version: Version of the store at the row's last change.
      value: Content.
      is_deleted: Whether the row was removed.
    """

    key: str
    version: int
    value: bytes = b""
    is_deleted: bool = False


@records.record
class Batch:
    """Rows from one response, either a snapshot of a table or changes to it.

    Attributes:
      rows: The rows.
      version: Version of the store that the response reflects.
      is_snapshot: Whether the batch contains all rows of the table rather than changes only.
    """

    rows: tuple[Row, ...]
    version: int
    is_snapshot: bool


class RowSource:
    """Interface to a source from which tables can be read and followed."""

    def read(self, name: str) -> Batch:
        """Return all rows of a table.

        Raises:
          errors.PlatformUnavailableError: When the source does not respond.
        """
        raise NotImplementedError

    def changes(self, name: str, after: int) -> Batch:
        """Return the rows that changed after a version, once there are any or a wait has timed out.

        Raises:
          HistoryLostError: When the changes are no longer available.
          errors.PlatformUnavailableError: When the source does not respond.
        """
        raise NotImplementedError


class Replica:
    """Local replica of one table.

    Attributes:
      version: Version of the store that the replica reflects, -1 before the first batch.
      changed_version: Version of the newest change in the replica, -1 before the first batch.

    Args:
      name: Name of the table.
    """

    def __init__(self, name: str):
        self.name = name
        self.rows: dict[str, Row] = {}
        self.version = -1
        self.changed_version = -1

    def apply(self, batch: Batch) -> tuple[Row, ...]:
        """Apply a batch; one that is older than the replica is ignored.

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
        changed = [row for row in batch.rows if self._is_newer(row)]
        if batch.is_snapshot:
            present = {row.key for row in batch.rows}
            missing = [key for key in self.rows if key not in present]
            changed += [Row(key, batch.version, is_deleted=True) for key in missing]
        return tuple(changed)

    def _is_newer(self, row: Row) -> bool:
        known = self.rows.get(row.key)
        if row.is_deleted:
            return known is not None and row.version > known.version
        return known is None or row.version > known.version

    def snapshot(self) -> Batch:
        """Return all rows as a snapshot batch."""
        return Batch(tuple(self.rows.values()), self.version, is_snapshot=True)
