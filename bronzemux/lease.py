"""Leases in the table service with fencing tokens, without comparing clocks.

A contender takes a lease over only after it has seen the same version of the row for the whole
length of the lease on its own monotonic clock. The version of the row is the fencing token.
"""

import dataclasses

import cbor2

from bronzemux import clock as clocks
from bronzemux import errors, table

LEASE_PREFIX = "lease/"


@dataclasses.dataclass(frozen=True)
class LeaseSettings:
    """Settings of a lease.

    Attributes:
      seconds: Length; the holder renews after a third of it.
      margin_seconds: Time before its end in which the holder starts nothing.
    """

    seconds: float = 9.0
    margin_seconds: float = 2.0


class Lease:
    """One lease as one contender sees it; owned by one task.

    Args:
      name: Name of what it protects.
      holder: Identity of this process.
      settings: Length and margin.
      service: Table service.
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
        """Return whether the lease holds for a while, its margin included.

        Args:
          needed_seconds: Time that the work to be started takes.
        """
        end = self.valid_until - self.settings.margin_seconds
        return self.clock.monotonic() + needed_seconds < end

    def is_quiet(self) -> bool:
        """Return whether orders of an earlier holder can no longer be under way."""
        return self.clock.monotonic() >= self.taken_over_at + self.settings.seconds

    def acquire_or_renew(self) -> bool:
        """Take or renew the lease when it is time to.

        Returns:
          Whether this process holds it.

        Raises:
          errors.PlatformUnavailableError: When the table service cannot be read.
        """
        now = self.clock.monotonic()
        is_fresh = now < self.valid_until - self.settings.seconds * 2 / 3
        if not is_fresh:
            self._contend(now)
        return self.is_held()

    def observe(self, version: int, seen_at: float) -> None:
        """Note what a holder told of its row, which starts the wait of a contender earlier.

        Args:
          version: Version of the row.
          seen_at: Monotonic seconds at which the holder was heard.
        """
        if version > self.seen_version:
            self.seen_version, self.seen_at = version, seen_at

    def read_row(self) -> table.Row | None:
        """Read the row and note since when it has not changed.

        Returns:
          The row, None when there is none.

        Raises:
          errors.PlatformUnavailableError: When the table service cannot be read.
        """
        now = self.clock.monotonic()
        row = self.service.read([self.key])[0]
        version = row.version if row else table.ABSENT
        if version != self.seen_version:
            self.seen_version, self.seen_at = version, now
        return row

    def _contend(self, now: float) -> None:
        row = self.read_row()
        version = row.version if row else table.ABSENT
        is_own = row is not None and cbor2.loads(row.value) == self.holder
        if is_own and version == self.token:
            self._write(version, now)
            return
        is_free = row is None or cbor2.loads(row.value) == ""
        if is_free or is_own or now - self.seen_at >= self.settings.seconds:
            self._take_over(version, is_free, now)

    def _take_over(self, version: int, is_free: bool, now: float) -> None:
        self._write(version, now)
        if self.valid_until > now and not is_free:
            self.taken_over_at = now

    def _write(self, version: int, now: float) -> None:
        """Write the row; its end counts from before the write, so that it errs early."""
        write = table.Write(self.key, version, cbor2.dumps(self.holder))
        try:
            self.token = self.service.transact([write])
        except errors.AmbiguousWriteError:
            self.token = version + 1
            self.valid_until = -1e9
            return
        except errors.WriteConflictError:
            self.valid_until = -1e9
            return
        self.valid_until = now + self.settings.seconds

    def release(self) -> None:
        """Give the lease back; a failure leaves it to its end.

        Raises:
          errors.PlatformError: When the table service is out of reach.
        """
        if self.clock.monotonic() < self.valid_until:
            self.valid_until = -1e9
            write = table.Write(self.key, self.token, cbor2.dumps(""))
            self.service.transact([write])
