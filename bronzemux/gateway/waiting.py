"""Queue of requests that wait until an endpoint can take them, the most urgent first.

To avoid starvation, requests age: waiting for `AGING_SECONDS` counts as much as one level of
urgency.
"""

import itertools

from gevent import event

from bronzemux import records
from bronzemux.gateway import shortage

# The shortest objective of a stream. A request waits at most this much longer than one that is one
# level more urgent.
AGING_SECONDS = 0.3
# Limit for each service: the requests of a few seconds at the highest load of one router.
MAX_WAITING_REQUESTS = 512


@records.state
class Waiter:
    """One waiting request.

    Attributes:
      urgency: 0 is the most urgent.
      arrived_at: Monotonic seconds at which the request arrived.
      number: Serial number, which decides the order of otherwise equal requests.
      woken: Set when the request is to retry the choice of an endpoint.
    """

    urgency: int
    arrived_at: float
    number: int
    woken: event.Event

    def sort_key(self) -> tuple[float, int]:
        """Return the sort key; the difference of two keys does not change with time."""
        return (rank(self.urgency, self.arrived_at), self.number)


def rank(urgency: int, arrived_at: float) -> float:
    """Return the rank of a request in its queue, the lowest first."""
    return arrived_at + urgency * AGING_SECONDS


class WaitQueue:
    """Waiting requests of one gateway, in a queue for each service."""

    def __init__(self):
        self.waiters: dict[str, list[Waiter]] = {}
        self.numbers = itertools.count()
        self.grants: dict[str, shortage.GrantRate] = {}

    def count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return len(self.waiters.get(service, ()))

    def wait(self, service: str, urgency: int, arrived_at: float, seconds: float) -> None:
        """Wait until `wake` is called or the time has passed.

        Args:
          service: Name of the service.
          urgency: 0 is the most urgent.
          arrived_at: Monotonic seconds at which the request arrived.
          seconds: Longest wait.
        """
        waiter = Waiter(urgency, arrived_at, next(self.numbers), event.Event())
        queue = self.waiters.setdefault(service, [])
        queue.append(waiter)
        try:
            waiter.woken.wait(timeout=seconds)
        finally:
            queue.remove(waiter)

    def place(self, service: str, urgency: int, arrived_at: float) -> int:
        """Return how many waiting requests of a service come before a request.

        Args:
          service: Name of the service.
          urgency: Urgency of the request, 0 for the most urgent.
          arrived_at: Monotonic seconds at which it arrived.
        """
        own = rank(urgency, arrived_at)
        queue = self.waiters.get(service, ())
        return sum(rank(waiter.urgency, waiter.arrived_at) < own for waiter in queue)

    def record_grant(self, service: str, now: float) -> None:
        """Record that a request of a service which had waited was sent.

        Args:
          service: Name of the service.
          now: Monotonic seconds.
        """
        self.grants.setdefault(service, shortage.GrantRate()).record(now, not self.count(service))

    def grant_interval(self, service: str) -> float | None:
        """Return the mean seconds between two sends out of a queue, None when not known."""
        rate = self.grants.get(service)
        return rate.interval_seconds if rate is not None else None

    def wake(self) -> None:
        """Wake all waiting requests, the most urgent first."""
        for queue in self.waiters.values():
            for waiter in sorted(queue, key=Waiter.sort_key):
                waiter.woken.set()
