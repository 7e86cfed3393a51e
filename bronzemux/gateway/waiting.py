"""Queue of requests that wait until an endpoint can take them, the most urgent first.

To avoid starvation, requests age: waiting for `AGING_SECONDS` counts as much as one level of
urgency.
"""

import dataclasses
import itertools

from gevent import event

# The shortest objective of a stream. A request waits at most this much longer than one that is one
# level more urgent.
AGING_SECONDS = 0.3
# Limit for each service: the requests of a few seconds at the highest load of one router.
MAX_WAITING_REQUESTS = 512


@dataclasses.dataclass
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
        return (self.arrived_at + self.urgency * AGING_SECONDS, self.number)


class WaitQueue:
    """Waiting requests of one gateway, in a queue for each service."""

    def __init__(self):
        self.waiters: dict[str, list[Waiter]] = {}
        self.numbers = itertools.count()

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

    def wake(self) -> None:
        """Wake all waiting requests, the most urgent first."""
        for queue in self.waiters.values():
            for waiter in sorted(queue, key=Waiter.sort_key):
                waiter.woken.set()
