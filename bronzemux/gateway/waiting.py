"""Requests that wait until an endpoint can take them, the most urgent first.

Urgency alone would starve the rest, so waiting counts as well: each `AGING_SECONDS` lift a request
by one rank.
"""

import dataclasses
import itertools

from gevent import event

# A request of one rank less waits at most this much longer: the shortest objective of a stream.
AGING_SECONDS = 0.3
# Waiting requests a service: a few seconds of the highest load of one router.
MAX_WAITING = 512


@dataclasses.dataclass
class Waiter:
    """One waiting request."""

    rank: int
    since: float
    number: int
    woken: event.Event

    def order(self) -> tuple[float, int]:
        """Return the sort key; the difference of two keys does not change with time."""
        return (self.since + self.rank * AGING_SECONDS, self.number)


class WaitQueue:
    """Waiting requests of one gateway, by service."""

    def __init__(self):
        self.waiters: dict[str, list[Waiter]] = {}
        self.numbers = itertools.count()

    def count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return len(self.waiters.get(service, ()))

    def wait(self, service: str, rank: int, now: float, seconds: float) -> None:
        """Wait until `wake` or for a time; the caller then looks again.

        Args:
          service: Name of the service.
          rank: 0 is the most urgent.
          now: Monotonic seconds at which the request arrived.
          seconds: Longest wait.
        """
        waiter = Waiter(rank, now, next(self.numbers), event.Event())
        queue = self.waiters.setdefault(service, [])
        queue.append(waiter)
        try:
            waiter.woken.wait(timeout=seconds)
        finally:
            queue.remove(waiter)

    def wake(self) -> None:
        """Let all waiting requests look again, the most urgent first."""
        for queue in self.waiters.values():
            for waiter in sorted(queue, key=Waiter.order):
                waiter.woken.set()
