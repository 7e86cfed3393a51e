"""Task that follows one table of the platform's store."""

import dataclasses
import functools
import random
from collections.abc import Callable

from bronzemux import clock as clocks
from bronzemux import errors, logs, supervisor
from bronzemux.gateway import rows

# How often a feed that is not needed looks whether it is.
IDLE_SECONDS = 0.1
# Half of the time in which a configuration must be in force, shared by read and feed.
RETRY_SECONDS = 0.4


@dataclasses.dataclass(frozen=True)
class Contact:
    """The store answered, or did not.

    Attributes:
      table: Table that was asked for.
      is_up: Whether it answered, None when it is not asked any more.
    """

    table: str
    is_up: bool | None


class Feed(supervisor.Task):
    """Reads a table, then follows its changes for good.

    Args:
      name: Name of the table.
      source: Where the rows come from.
      clock: Source of time.
      version: Returns the version up to which the table is known here, -1 for not at all.
      on_batch: Called with the name of the table and each batch.
      on_contact: Called with `Contact` when the store is lost or regained.
      is_needed: Returns whether the rows have to come from the store and not from other routers.
    """

    def __init__(
        self,
        name: str,
        source: rows.RowSource,
        clock,
        version,
        on_batch,
        on_contact,
        is_needed: Callable[[], bool] = lambda: True,
    ):
        super().__init__(f"feed-{name}", clock)
        self.table = name
        self.source = source
        self.clock: clocks.Clock = clock
        self.version = version
        self.on_batch = on_batch
        self.on_contact = on_contact
        self.is_needed = is_needed
        self.is_up: bool | None = None
        self.must_read = True
        self.random = random.Random(name)

    def run(self) -> None:
        """Follow the table until the task is killed."""
        self.must_read = self.version() < 0
        while True:
            if not self.is_needed():
                self._report(None, "other routers bring the rows")
                self.clock.sleep(IDLE_SECONDS)
                continue
            started_at = self.clock.monotonic()
            try:
                batch = self._next_batch()
            except errors.PlatformError as error:
                self._fail(error)
                if self.is_up is False:
                    # A call that was waited for needs no further pause.
                    pause = RETRY_SECONDS * self.random.uniform(0.75, 1.25)
                    self.clock.sleep(max(0.0, pause - (self.clock.monotonic() - started_at)))
                continue
            self._report(True)
            self.on_batch(self.table, batch)
            elapsed = self.clock.monotonic() - started_at
            if elapsed < RETRY_SECONDS and not batch.rows and not batch.is_snapshot:
                # A feed that neither waits nor has news would be called without a pause.
                self.clock.sleep(RETRY_SECONDS)

    def _next_batch(self) -> rows.Batch:
        if self.must_read or self.version() < 0:
            batch = self.source.read(self.table)
            self.must_read = False
            return batch
        return self.source.changes(self.table, self.version())

    @functools.singledispatchmethod
    def _fail(self, error) -> None:
        self._report(False, str(error))

    @_fail.register
    def _history_lost(self, error: rows.HistoryLostError) -> None:
        logs.event("feed_history_lost", "warning", table=self.table, version=self.version())
        self.must_read = True

    def _report(self, is_up: bool | None, cause: str = "") -> None:
        if is_up is self.is_up:
            return
        self.is_up = is_up
        level = "warning" if is_up is False else "info"
        logs.event("store_contact", level, table=self.table, is_up=is_up, cause=cause)
        self.on_contact(Contact(self.table, is_up))
