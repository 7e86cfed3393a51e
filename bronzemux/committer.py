"""Group commit: writes of several requests in one transaction."""

import dataclasses

from gevent import event

from bronzemux import clock as clocks
from bronzemux import errors, metrics, store_version, supervisor, table

WRITE_ATTEMPTS = 4
INITIAL_BACKOFF_SECONDS = 0.05
METRIC_PURPOSE = "claim"


@dataclasses.dataclass(frozen=True)
class Commit:
    """Request for one write; the reply is a `WriteResult` or an error."""

    write: table.Write
    reply: event.AsyncResult


@dataclasses.dataclass(frozen=True)
class WriteResult:
    """Result of one conditional write.

    Attributes:
      is_written: Whether the write took effect.
      row: After a conflict, the row as it was read back; None when it does not exist.
    """

    is_written: bool
    row: table.Row | None = None


class Committer(supervisor.Task):
    """Writes the rows of several requests in one transaction.

    Writes that arrive during a transaction wait in the mailbox and form the next batch.

    Args:
      service: Table service.
      clock: Source of time.
      meters: Metrics of the router.
    """

    def __init__(self, service: table.TableService, clock: clocks.Clock, meters: metrics.Metrics):
        super().__init__("committer", clock)
        self.service = service
        self.meters = meters
        self.transactions = 0
        self.writes = 0
        self.batch: list[Commit] = []

    def initialise_state(self) -> None:
        """Fail the writes that a crash of the task interrupted; they may have taken effect."""
        for commit in self.batch:
            if not commit.reply.ready():
                commit.reply.set_exception(
                    errors.AmbiguousWriteError(
                        "the committer restarted during the write", "read the row back"
                    )
                )
        self.batch = []

    def commit(self, write: table.Write) -> WriteResult:
        """Write one row and wait for the result.

        Args:
          write: The write. Its value must be unique, so that reading the row shows whether a write
            whose response was lost took effect.

        Raises:
          errors.PlatformUnavailableError: When the row was not written.
          errors.AmbiguousWriteError: When it is not known whether the row was written.
        """
        reply = event.AsyncResult()
        self.send(Commit(write, reply))
        return reply.get()

    def handle(self, message: Commit) -> None:
        """Write one batch of this write and those that wait in the mailbox."""
        self.batch = [message]
        deferred = self._fill_batch()
        try:
            self._write_with_retries(list(self.batch))
        except errors.PlatformError as error:
            for commit in self.batch:
                if not commit.reply.ready():
                    commit.reply.set_exception(error)
        finally:
            # Also after an unexpected error, which restarts the task.
            for commit in deferred:
                self.send(commit)
        self.batch = []

    def _fill_batch(self) -> list[Commit]:
        """Add waiting writes to the batch and return those deferred to a later batch.

        A write is deferred when the batch already writes its row.
        """
        deferred = []
        keys = {self.batch[0].write.key}
        while len(self.batch) < self.service.max_writes and not self.mailbox.empty():
            commit = self.mailbox.get()
            if not isinstance(commit, Commit):
                self.mailbox.put(commit)
                break
            if commit.write.key in keys:
                deferred.append(commit)
            else:
                keys.add(commit.write.key)
                self.batch.append(commit)
        return deferred

    def _write_with_retries(self, pending: list[Commit]) -> None:
        is_ambiguous = False
        last_error: errors.PlatformError | None = None
        for attempt in range(WRITE_ATTEMPTS):
            if not pending:
                return
            try:
                self._transact(pending)
                _reply_all(pending, WriteResult(True))
                return
            except errors.WriteConflictError as conflict:
                pending = self._resolve_conflicts(pending, conflict, is_ambiguous)
            except errors.AmbiguousWriteError as error:
                is_ambiguous = True
                last_error = error
                self._back_off(attempt)
            except errors.PlatformUnavailableError as error:
                last_error = error
                self._back_off(attempt)
        if pending:
            raise _final_error(is_ambiguous, last_error)

    def _transact(self, pending: list[Commit]) -> None:
        self.transactions += 1
        self.writes += len(pending)
        result = "error"
        try:
            self.service.transact([commit.write for commit in pending])
            result = "ok"
        except errors.WriteConflictError:
            result = "conflict"
            raise
        finally:
            self.meters.platform_calls.labels(METRIC_PURPOSE, result).inc()

    def _resolve_conflicts(self, pending: list[Commit], conflict, is_ambiguous) -> list[Commit]:
        """Reply to the conflicting writes, after reading their rows back; return the others."""
        keys = set(conflict.keys)
        conflicting = [commit for commit in pending if commit.write.key in keys]
        try:
            rows = self.service.read([commit.write.key for commit in conflicting])
        except errors.PlatformUnavailableError as error:
            raise _final_error(is_ambiguous, error) from error
        for commit, row in zip(conflicting, rows, strict=True):
            is_written = row is not None and is_result_of(commit.write, row)
            commit.reply.set(WriteResult(is_written, row))
        return [commit for commit in pending if commit.write.key not in keys]

    def _back_off(self, attempt: int) -> None:
        self.clock.sleep(INITIAL_BACKOFF_SECONDS * 2**attempt)


def _reply_all(commits: list[Commit], value) -> None:
    for commit in commits:
        commit.reply.set(value)


def is_result_of(write: table.Write, row: table.Row) -> bool:
    """Return whether a row holds the result of a write, whose response may have been lost."""
    number = store_version.number_of(row.version)
    return row.value == write.value and number == store_version.number_of(write.expected) + 1


def _final_error(is_ambiguous: bool, last_error: errors.PlatformError) -> errors.PlatformError:
    if is_ambiguous:
        return errors.AmbiguousWriteError(last_error.message, last_error.remedy)
    return last_error
