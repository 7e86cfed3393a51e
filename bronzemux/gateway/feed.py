"""Task that keeps a replica of one table of the platform's store up to date."""

import functools
import math
import random
from collections.abc import Callable

import gevent.lock

from bronzemux import clock as clocks
from bronzemux import errors, logs, records, store_version, supervisor
from bronzemux.gateway import rows

# Pause after a failed call. Reading the whole table and following its changes together may use half
# of the time within which a new configuration must take effect.
RETRY_SECONDS = 0.4


@records.record
class StoreContact:
    """Change in the reachability of the store.

    Attributes:
      table: Table that was requested.
      is_up: Whether the store answered, None when this router no longer calls the store.
    """

    table: str
    is_up: bool | None


class CatchUp:
    """Brings a replica up to date for a decision that must not wait for its feed.

    The feed may be late, or other routers that pass its rows on, without this router noticing it.

    Args:
      name: Name of the table.
      source: Source of the rows.
      clock: Source of time.
      get_version: Returns the version of the local replica.
      on_batch: Called with the name of the table and each batch.

    Attributes:
      read_at: Monotonic seconds at which the last successful read began.
    """

    def __init__(self, name: str, source: rows.RowSource, clock, get_version, on_batch):
        self.table = name
        self.source = source
        self.clock: clocks.Clock = clock
        self.get_version = get_version
        self.on_batch = on_batch
        self.read_at = -math.inf
        self.lock = gevent.lock.BoundedSemaphore()

    def apply_until(self, at: float) -> None:
        """Apply all changes that were made before a time; calls at once share a read.

        Args:
          at: Monotonic seconds, not in the future.

        Raises:
          errors.PlatformError: When the store does not respond, or has lost the changes.
        """
        with self.lock:
            if self.read_at >= at:
                return
            began_at = self.clock.monotonic()
            batch = self.source.changes_so_far(self.table, self.get_version())
            self.on_batch(self.table, batch)
            self.read_at = began_at


class Feed(supervisor.Task):
    """Read a table once, then follow its changes until the task is killed.

    Args:
      name: Name of the table.
      source: Source of the rows.
      clock: Source of time.
      get_version: Returns the version of the local replica, -1 when the table has not been read.
      on_batch: Called with the name of the table and each batch.
      on_contact: Called with a `StoreContact` when the store becomes unreachable or reachable.
      is_needed: Returns whether this router has to read from the store itself, rather than get the
        rows from other routers.
      wait_until_needed: Waits until that is so; it may return earlier.
      get_pause_factor: Returns the factor by which pauses after failed calls are extended.
    """

    def __init__(
        self,
        name: str,
        source: rows.RowSource,
        clock,
        get_version,
        on_batch,
        on_contact,
        is_needed: Callable[[], bool] = lambda: True,
        wait_until_needed: Callable[[], object] = lambda: None,
        get_pause_factor: Callable[[], float] = lambda: 1.0,
    ):
        super().__init__(f"feed-{name}", clock)
        self.table = name
        self.source = source
        self.clock: clocks.Clock = clock
        self.get_version = get_version
        self.on_batch = on_batch
        self.on_contact = on_contact
        self.is_needed = is_needed
        self.wait_until_needed = wait_until_needed
        self.get_pause_factor = get_pause_factor
        self.is_up: bool | None = None
        self.history_lost_at: int | None = None
        self.must_read_table = True
        self.random = random.Random(name)

    def run(self) -> None:
        """Follow the table until the task is killed."""
        self.must_read_table = self.get_version() < 0
        while True:
            if not self.is_needed():
                self._report_contact(None, "rows come from other routers")
                self.wait_until_needed()
                continue
            started_at = self.clock.monotonic()
            try:
                batch = self._next_batch()
            except errors.PlatformError as error:
                self._handle_error(error)
                if self._is_pause_due(error):
                    # The time that the failed call took counts towards the pause.
                    pause = RETRY_SECONDS * self.random.uniform(0.75, 1.25)
                    pause *= self.get_pause_factor()
                    self.clock.sleep(max(0.0, pause - (self.clock.monotonic() - started_at)))
                continue
            self._report_contact(True)
            self.on_batch(self.table, batch)
            elapsed = self.clock.monotonic() - started_at
            if elapsed < RETRY_SECONDS and not batch.rows and not batch.is_snapshot:
                # Avoids a busy loop when the store returns at once although nothing has changed.
                self.clock.sleep(RETRY_SECONDS)

    def _next_batch(self) -> rows.Batch:
        if self.must_read_table or self.get_version() < 0:
            batch = self.source.read(self.table)
            self.must_read_table = False
            return batch
        return self.source.changes(self.table, self.get_version())

    def _is_pause_due(self, error: errors.PlatformError) -> bool:
        """Return whether to wait before the next call.

        A store that has lost its history answers, so its table is read at once; but not when this
        has already been done and has not brought the replica forward.
        """
        if not isinstance(error, rows.HistoryLostError):
            return self.is_up is False
        previous, self.history_lost_at = self.history_lost_at, self.get_version()
        return previous == self.history_lost_at

    @functools.singledispatchmethod
    def _handle_error(self, error) -> None:
        self._report_contact(False, str(error))

    @_handle_error.register
    def _handle_history_lost(self, error: rows.HistoryLostError) -> None:
        version = store_version.text(self.get_version())
        logs.event("feed_history_lost", "warning", table=self.table, version=version)
        self.must_read_table = True

    def _report_contact(self, is_up: bool | None, cause: str = "") -> None:
        if is_up is self.is_up:
            return
        self.is_up = is_up
        level = "warning" if is_up is False else "info"
        logs.event("store_contact", level, table=self.table, is_up=is_up, cause=cause)
        self.on_contact(StoreContact(self.table, is_up))
