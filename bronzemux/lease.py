"""Leases with fencing tokens in the table service, which need no synchronised clocks.

Each lease is a row whose value is the holder's identity, empty once released. A contender takes
over a lease only after the version of the row has stayed the same for the whole duration of the
lease, measured on the contender's own monotonic clock. The version of the row is the fencing token.

A table service that was restored from an older copy may show an older row than the holder's, or
none. What a row says about the holder therefore counts only in the era in which it was written;
otherwise a contender waits the whole duration from its first sight of the row in the current era.
Only a holder whose own lease is still valid need not wait.
"""

import cbor2

from bronzemux import clock as clocks
from bronzemux import errors, logs, records, store_version, table

LEASE_PREFIX = "lease/"
RELEASED = ""


@records.record
class LeaseSettings:
    """Settings of a lease.

    Attributes:
      duration_seconds: Duration of the lease; the holder renews it after a third of that.
      margin_seconds: Time before the end of the lease in which the holder starts no work.
    """

    duration_seconds: float = 9.0
    margin_seconds: float = 2.0


@records.record
class LeaseRow:
    """Value of a lease's row.

    Attributes:
      holder: Identity of the holder, `RELEASED` for none.
      era: Era of the table service in which the row was written, as its writer knew it.
    """

    holder: str
    era: int


class Lease:
    """One contender's view of a lease; owned by one task.

    Args:
      name: Name of the protected resource.
      holder: Identity of this process.
      settings: Duration and margin.
      service: Table service that stores the row.
      clock: Source of time.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        settings: LeaseSettings,
        service: table.TableService,
        clock: clocks.Clock,
    ):
        self.key = LEASE_PREFIX + name
        self.holder = holder
        self.settings = settings
        self.service = service
        self.clock = clock
        self.token = 0
        self.valid_until = -1e9
        self.taken_over_at = -1e9
        self.seen_version = -1
        self.seen_at = 0.0

    def is_held(self, needed_seconds: float = 0.0) -> bool:
        """Return whether this process holds the lease long enough to do some work.

        Args:
          needed_seconds: Duration of the work, which must end before the margin starts.
        """
        usable_until = self.valid_until - self.settings.margin_seconds
        return self.clock.monotonic() + needed_seconds < usable_until

    def is_takeover_wait_over(self) -> bool:
        """Return whether orders of the previous holder must have ended.

        That is the case at once after a release, and one lease duration after a takeover from a
        holder that did not release the lease.
        """
        return self.clock.monotonic() >= self.taken_over_at + self.settings.duration_seconds

    def acquire_or_renew(self) -> bool:
        """Acquire the lease when possible, or renew it when a third of its duration has passed.

        Returns:
          Whether this process holds the lease.

        Raises:
          errors.PlatformUnavailableError: When the table service cannot be read.
        """
        now = self.clock.monotonic()
        is_fresh = now < self.valid_until - self.settings.duration_seconds * 2 / 3
        if not is_fresh:
            self._try_acquire(now)
        return self.is_held()

    def observe(self, version: int, seen_at: float) -> None:
        """Record the row version that the holder announced, without a read of the row.

        A contender's wait for an unchanged row then starts at the announcement instead of at its
        next read, which is later.

        Args:
          version: Version of the row.
          seen_at: Monotonic seconds at which the announcement arrived.
        """
        if version > self.seen_version:
            self.seen_version, self.seen_at = version, seen_at

    def read_row(self) -> table.Row | None:
        """Read the row and record when its version was first seen.

        Returns:
          The row, None when it does not exist.

        Raises:
          errors.PlatformUnavailableError: When the table service cannot be read.
        """
        now = self.clock.monotonic()
        known_era = self.service.era
        row = self.service.read([self.key])[0]
        if self.service.era != known_era:
            # The service may have been restored, and the lease acquired before, during this read.
            now = self.clock.monotonic()
        version = self._version_of(row)
        if version != self.seen_version:
            self.seen_version, self.seen_at = version, now
        return row

    def _version_of(self, row: table.Row | None) -> int:
        """Return the version of the row; that of an absent row also shows the era."""
        return row.version if row else store_version.combine(self.service.era, table.ABSENT)

    def _try_acquire(self, now: float) -> None:
        row = self.read_row()
        era = self.service.era
        version = row.version if row else table.ABSENT
        found = self._decode(row) if row else LeaseRow(RELEASED, 0)
        is_current = found.era == era
        is_own_row = is_current and found.holder == self.holder
        is_renewal = is_own_row and version == self.token
        # No contender can have acquired the lease since the restore: that takes a whole duration.
        is_lost_row = not is_current and now < self.valid_until
        if is_renewal or is_lost_row:
            self._write(version, now)
            return
        is_free = is_current and found.holder == RELEASED
        if is_free or is_own_row or now - self.seen_at >= self.settings.duration_seconds:
            self._take_over(version, is_free, now)

    def _decode(self, row: table.Row) -> LeaseRow:
        try:
            return decode(row.value)
        except errors.LeaseRowError as error:
            logs.event("lease_row_rejected", "warning", key=self.key, cause=error.message)
            raise

    def _take_over(self, version: int, is_free: bool, now: float) -> None:
        self._write(version, now)
        if self.valid_until > now and not is_free:
            self.taken_over_at = now

    def _write(self, version: int, now: float) -> None:
        """Write the row as its holder.

        After a lost response the lease counts as not held, and the token is the version that the
        row has if the write took effect.

        Args:
          version: Version that the row must have.
          now: Monotonic seconds before the write. The lease starts then, so that it ends for the
            holder no later than for the other contenders.
        """
        era = self.service.era
        write = table.Write(self.key, version, encode(LeaseRow(self.holder, era)))
        try:
            self.token = self.service.transact([write])
        except errors.AmbiguousWriteError:
            self.token = max(self.token, table.next_version(era, version))
            self.valid_until = -1e9
            return
        except errors.WriteConflictError:
            self.valid_until = -1e9
            return
        self.valid_until = now + self.settings.duration_seconds

    def release(self) -> None:
        """Release the lease; when that fails, other contenders wait until it expires.

        Raises:
          errors.PlatformError: When the table service is unreachable or refuses the write.
        """
        if self.clock.monotonic() < self.valid_until:
            self.valid_until = -1e9
            value = encode(LeaseRow(RELEASED, self.service.era))
            self.service.transact([table.Write(self.key, self.token, value)])


def encode(row: LeaseRow) -> bytes:
    """Return the value of a lease's row: without an era until the first restore."""
    return cbor2.dumps([row.holder, row.era] if row.era else row.holder)


def decode(value: bytes) -> LeaseRow:
    """Return the decoded value of a lease's row.

    Raises:
      errors.LeaseRowError: When the value is malformed.
    """
    try:
        content = cbor2.loads(value)
        holder, era = content if type(content) is list else (content, 0)
        if type(holder) is not str or type(era) is not int:
            raise TypeError("a field has the wrong type")
        return LeaseRow(holder, era)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        EOFError,
        OverflowError,
        RecursionError,
    ) as error:
        raise errors.LeaseRowError(
            f"the row of the lease is malformed: {error!r:.80}",
            "delete the row once no process can hold the lease",
        ) from error
