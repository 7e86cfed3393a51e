"""Clock interface, with clocks of the operating system and a fake clock."""

import datetime
import time

import gevent


class Clock:
    """Source of time, injected into all code that depends on time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        raise NotImplementedError

    def now(self) -> datetime.datetime:
        """Return the current UTC time."""
        raise NotImplementedError

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet.

        Args:
          seconds: Duration.
        """
        raise NotImplementedError


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the current UTC time."""
        return datetime.datetime.now(datetime.UTC)

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet."""
        gevent.sleep(seconds)


class BootClock(SystemClock):
    """Clock whose monotonic time continues while the VM is suspended.

    For durations that must include a suspension, such as the age of a lease.
    """

    def monotonic(self) -> float:
        """Return seconds since the VM was booted, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeClock(Clock):
    """Clock that moves only by `advance` and `sleep`.

    Args:
      start: UTC time at 0 monotonic seconds, 2026-01-01 by default.
    """

    def __init__(self, start: datetime.datetime | None = None):
        self.start = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        self.elapsed = 0.0

    def monotonic(self) -> float:
        """Return the seconds by which the clock was advanced."""
        return self.elapsed

    def now(self) -> datetime.datetime:
        """Return the start time plus the elapsed time."""
        return self.start + datetime.timedelta(seconds=self.elapsed)

    def sleep(self, seconds: float) -> None:
        """Advance the clock without waiting, and let other greenlets run."""
        self.advance(seconds)
        gevent.sleep(0)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        Args:
          seconds: Duration, at least 0.
        """
        self.elapsed += seconds
