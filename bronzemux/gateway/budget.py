"""This router's part of the retry budget of a service.

The bound holds for all routers together. Each spends only what its own requests allow, and an
equal part of the constant; so the sum stays below the bound without a message between them.
"""

import collections

from bronzemux.gateway import settings

# Part of the bound that is left for arrivals that no router can see, such as late duplicates.
USED_SHARE = 0.8


class ServiceRetryBudget:
    """Retries of all services at one router.

    Args:
      bounds: Ratio, window and constant.
    """

    def __init__(self, bounds: settings.Bounds):
        self.bounds = bounds
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._recent(self.requests, service, now).append(now)

    def left(self, service: str, routers: int, now: float) -> float:
        """Return how many retries may be sent now.

        Args:
          service: Name of the service.
          routers: Routers that share the constant.
          now: Monotonic seconds.
        """
        requests = len(self._recent(self.requests, service, now))
        spent = len(self._recent(self.retries, service, now))
        constant = self.bounds.retry_slack / max(1, routers)
        return USED_SHARE * (self.bounds.retry_ratio * requests + constant) - spent

    def try_retry(self, service: str, routers: int, now: float) -> bool:
        """Take one retry out of the budget; return whether it may be sent."""
        if self.left(service, routers, now) < 1:
            return False
        self._recent(self.retries, service, now).append(now)
        return True

    def _recent(self, counts, service: str, now: float) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and times[0] <= now - self.bounds.retry_window_seconds:
            times.popleft()
        return times
