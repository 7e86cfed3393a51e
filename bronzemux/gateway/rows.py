"""Replicas of the tables in the platform's store.

A replica's version never decreases: a batch with an older version is ignored, so that stale reads
and slow peers cannot restore outdated rows. Versions are those of `store_version`, so this holds
for a store that is restored from an older copy, too.

Such a store has lost rows that it had acknowledged. Rows of different eras are therefore compared by
their content where it has an order, as configurations and the entries of endpoints have. Where the
lost row is the newer one it is kept until its writer writes it again.
"""

from collections.abc import Callable

from bronzemux import errors, logs, records, store_version

# Removed rows that are remembered, in case a restored store has them again.
MAX_REMOVED_ROWS = 1000


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

    def changes_so_far(self, name: str, after: int) -> Batch:
        """Return the rows that have changed after a version, without waiting for any.

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
      first_version: Version of the first batch of the current era. Rows with a later version were
        written after the store was restored.
      removed: Last content of removed rows, by key.
      outdated: Rows of a restored store that are older than what it has lost, by key.
      is_restoring: Whether the batch that is being applied is the first of a later era.

    Args:
      name: Name of the table.
      rank: Returns what orders the contents that a key has had, None for a row without such an
        order.
      is_monotonic: Whether the rank of a key never decreases, and no row is removed, so that a row
        that a restored store has lost is kept until one of at least its rank is written.
    """

    def __init__(
        self,
        name: str,
        rank: Callable[[Row], tuple | None] = lambda row: None,
        is_monotonic: bool = False,
    ):
        self.name = name
        self.rank = rank
        self.is_monotonic = is_monotonic
        self.rows: dict[str, Row] = {}
        self.version = -1
        self.changed_version = -1
        self.first_version = -1
        self.removed: dict[str, Row] = {}
        self.outdated: dict[str, Row] = {}
        self.is_restoring = False

    @property
    def era(self) -> int:
        """Return the era of the store that the replica reflects, -1 before the first batch."""
        return store_version.era_of(self.version)

    def apply(self, batch: Batch) -> tuple[Row, ...]:
        """Apply a batch.

        Of a batch that is older than the replica, only rows that a restored store has lost are
        used. Changes of a later era are ignored, as they do not show what else the store has lost.

        Returns:
          The rows that are new, changed or removed.
        """
        era = store_version.era_of(batch.version)
        if batch.version < self.version:
            changed = self._lost_rows(batch)
            self._store(changed)
            return changed
        if era != self.era:
            if self.version >= 0 and not batch.is_snapshot:
                return ()
            self.first_version = batch.version
            self.outdated.clear()
        is_restored = self.is_restoring = self.version >= 0 and era > self.era
        changed = self._changes(batch)
        self.is_restoring = False
        self._store(changed)
        self.version = batch.version
        if is_restored or changed or self.changed_version < 0:
            # Routers that take over a restored table agree on this, whatever rows each has kept.
            restored = batch.rows if is_restored else ()
            latest = max((row.version for row in (*changed, *restored)), default=0)
            first = store_version.combine(max(era, 0), 0)
            self.changed_version = max(self.changed_version, latest, first)
        return changed

    def record_complete(self, version: int) -> None:
        """Record that another router's snapshot had all changes up to a version.

        Without this a router whose rows the snapshot did not change would request it again.

        Args:
          version: Version of the newest change that the other router announced.
        """
        self.changed_version = max(self.changed_version, min(version, self.version))

    def _store(self, changed: tuple[Row, ...]) -> None:
        for row in changed:
            self.outdated.pop(row.key, None)
            if not row.is_deleted:
                self.rows[row.key] = row
                self.removed.pop(row.key, None)
                continue
            known = self.rows.pop(row.key, None)
            if known is not None:
                self.removed[row.key] = known
        while len(self.removed) > MAX_REMOVED_ROWS:
            del self.removed[next(iter(self.removed))]

    def _lost_rows(self, batch: Batch) -> tuple[Row, ...]:
        """Return the rows of earlier eras that are newer than what the restored store has."""
        return tuple(
            row
            for row in batch.rows
            if store_version.era_of(row.version) < self.era
            and row.key in self.rows
            and not row.is_deleted
            and self._is_newer(row, batch.is_snapshot)
        )

    def _changes(self, batch: Batch) -> tuple[Row, ...]:
        changed = [row for row in batch.rows if self._is_newer(row, batch.is_snapshot)]
        if batch.is_snapshot:
            present = {row.key for row in batch.rows}
            self.outdated = {k: row for k, row in self.outdated.items() if k in present}
            missing = [key for key in self.rows if key not in present and not self._is_kept(key)]
            changed += [Row(key, batch.version, is_deleted=True) for key in missing]
        return tuple(changed)

    def _is_kept(self, key: str) -> bool:
        """Return whether a row is kept that is missing from a restored store."""
        is_lost = store_version.era_of(self.rows[key].version) < self.era
        return self.is_monotonic and (is_lost or self.is_restoring)

    def _is_newer(self, row: Row, is_snapshot: bool) -> bool:
        known = self.rows.get(row.key)
        if row.is_deleted:
            # Others may know the row only as an outdated one, too.
            return row.version > known.version if known is not None else row.key in self.outdated
        is_written_since = row.version > self.first_version
        if known is None:
            removed = self.removed.get(row.key)
            # Another router sends an outdated row as a change when it uses it again.
            if removed is None or is_written_since or not is_snapshot:
                return True
            if not self._has_lost(removed, row):
                return True
            self.outdated[row.key] = row
            return False
        if store_version.era_of(row.version) == store_version.era_of(known.version):
            return row.version > known.version
        if row.version < known.version:
            is_restored = known.version <= self.first_version or self.is_monotonic
            return is_restored and self._rank_key(row) > self._rank_key(known)
        is_authoritative = is_written_since and not self.is_monotonic
        return is_authoritative or self._rank_key(row) >= self._rank_key(known)

    def _has_lost(self, removed: Row, row: Row) -> bool:
        """Return whether a row of a restored store is no newer than one that had been removed."""
        if store_version.era_of(row.version) == store_version.era_of(removed.version):
            return False
        return self._rank_key(row) <= self._rank_key(removed)

    def _rank_key(self, row: Row) -> tuple:
        """Return the rank of a row; a row without one ranks below all others."""
        try:
            rank = self.rank(row)
        except Exception as error:  # noqa: BLE001 - an odd row must not stop the table
            logs.failure("row_failed", error, key=row.key, remedy="remove the row")
            rank = None
        return (0,) if rank is None else (1, *rank)

    def take_outdated(self) -> tuple[Row, ...]:
        """Use the rows of a restored store that had been removed before; return them.

        The store removes entries that nobody renews, so those that it still has are in use again.
        """
        found = tuple(self.outdated.values())
        self._store(found)
        self.outdated.clear()
        return found

    def snapshot(self) -> Batch:
        """Return all rows as a snapshot batch."""
        return Batch(tuple(self.rows.values()), self.version, is_snapshot=True)
