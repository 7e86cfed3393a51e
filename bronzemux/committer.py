"""Group commit: writes of many requests in one transaction."""

import dataclasses

from gevent import event

from bronzemux import clock as clocks
from bronzemux import errors, metrics, supervisor, table

MAX_BATCH = 128
WRITE_ATTEMPTS = 4
BACKOFF_SECONDS = 0.05
PURPOSE = "claim"


@dataclasses.dataclass(frozen=True)
class Commit:
    """Ask for one write; the reply is a `Verdict` or an error."""

    write: table.Write
    reply: event.AsyncResult


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Result of one conditional write.

    Attributes:
      is_written: Whether it took effect.
      row: The row that is there instead, None when there is none.
    """

    is_written: bool
    row: table.Row | None = None


class Committer(supervisor.Task):
    """Writes rows of many requests in one transaction.

    While a transaction is under way, further writes gather for the next one.

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

    def start_state(self) -> None:
        """Refuse what was under way when the task failed."""
        for commit in self.batch:
            if not commit.reply.ready():
                commit.reply.set_exception(
                    errors.AmbiguousWriteError("the committer restarted", "read the row back")
                )
        self.batch = []

    def commit(self, write: table.Write) -> Verdict:
        """Write one row.

        Args:
          write: The write; its content is unique, so that a lost answer can be read back.

        Raises:
          errors.PlatformUnavailableError: When nothing was written.
          errors.AmbiguousWriteError: When it is not known whether it was written.
        """
        reply = event.AsyncResult()
        self.send(Commit(write, reply))
        return reply.get()

    def handle(self, message: Commit) -> None:
        """Write a batch that starts with one write."""
        self.batch = [message]
        later = self._gather()
        try:
            self._write(list(self.batch))
        except errors.PlatformError as error:
            for commit in self.batch:
                if not commit.reply.ready():
                    commit.reply.set_exception(error)
        self.batch = []
        for commit in later:
            self.send(commit)

    def _gather(self) -> list[Commit]:
        """Fill the batch; return writes of rows that the batch already writes."""
        later = []
        keys = {self.batch[0].write.key}
        while len(self.batch) < MAX_BATCH and not self.mailbox.empty():
            commit = self.mailbox.get()
            if not isinstance(commit, Commit):
                self.mailbox.put(commit)
                break
            if commit.write.key in keys:
                later.append(commit)
            else:
                keys.add(commit.write.key)
                self.batch.append(commit)
        return later

    def _write(self, pending: list[Commit]) -> None:
        is_ambiguous = False
        last: errors.PlatformError | None = None
        for attempt in range(WRITE_ATTEMPTS):
            if not pending:
                return
            try:
                self._transact(pending)
                _resolve(pending, Verdict(True))
                return
            except errors.WriteConflictError as conflict:
                pending = self._settle_conflicts(pending, conflict, is_ambiguous)
            except errors.AmbiguousWriteError as error:
                is_ambiguous = True
                last = error
                self._back_off(attempt)
            except errors.PlatformUnavailableError as error:
                last = error
                self._back_off(attempt)
        if pending:
            raise _gave_up(is_ambiguous, last)

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
            self.meters.platform_calls.labels(PURPOSE, result).inc()

    def _settle_conflicts(self, pending: list[Commit], conflict, is_ambiguous) -> list[Commit]:
        """Reply to the writes that conflict; return the others."""
        keys = set(conflict.keys)
        losers = [commit for commit in pending if commit.write.key in keys]
        try:
            rows = self.service.read([commit.write.key for commit in losers])
        except errors.PlatformUnavailableError as error:
            raise _gave_up(is_ambiguous, error) from error
        for commit, row in zip(losers, rows, strict=True):
            is_written = row is not None and is_own(commit.write, row)
            commit.reply.set(Verdict(is_written, row))
        return [commit for commit in pending if commit.write.key not in keys]

    def _back_off(self, attempt: int) -> None:
        self.clock.sleep(BACKOFF_SECONDS * 2**attempt)


def _resolve(commits: list[Commit], value) -> None:
    for commit in commits:
        commit.reply.set(value)


def is_own(write: table.Write, row: table.Row) -> bool:
    """Return whether a row shows that a write took effect although its answer was lost."""
    return row.value == write.value and row.version == write.expected + 1


def _gave_up(is_ambiguous: bool, last: errors.PlatformError) -> errors.PlatformError:
    if is_ambiguous:
        return errors.AmbiguousWriteError(last.message, last.remedy)
    return last
