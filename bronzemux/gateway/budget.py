"""This router's share of the retry budget of a service.

The budget bounds the retries of all routers together to a ratio of the requests plus a constant
slack. Each router spends only the ratio of its own requests and an equal part of the slack, so the
sum stays within the bound without coordination.
"""

import collections

from bronzemux.gateway import settings

# Fraction of the budget that routers spend; the rest is reserved for arrivals that no router can
# count, such as late duplicates.
USED_FRACTION = 0.8


class ServiceRetryBudget:
    """Retry budgets of all services at one router, counted in a sliding window.

    Args:
      bounds: Retry ratio, window and slack.
    """

    def __init__(self, bounds: settings.Bounds):
        self.bounds = bounds
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._in_window(self.requests, service, now).append(now)

    def available(self, service: str, router_count: int, now: float) -> float:
        """Return how many retries may be sent now.

        Args:
          service: Name of the service.
          router_count: Routers that share the constant slack.
          now: Monotonic seconds.
        """
        request_count = len(self._in_window(self.requests, service, now))
        retry_count = len(self._in_window(self.retries, service, now))
        slack = self.bounds.retry_slack / max(1, router_count)
        return USED_FRACTION * (self.bounds.retry_ratio * request_count + slack) - retry_count

    def try_retry(self, service: str, router_count: int, now: float) -> bool:
        """Take one retry out of the budget.

        Returns:
          Whether the retry may be sent.
        """
        if self.available(service, router_count, now) < 1:
            return False
        self._in_window(self.retries, service, now).append(now)
        return True

    def _in_window(self, events, service: str, now: float) -> collections.deque[float]:
        """Return the times of a service's events within the window, the oldest first.

        Drops the times before the window.
        """
        times = events.setdefault(service, collections.deque())
        while times and times[0] <= now - self.bounds.retry_window_seconds:
            times.popleft()
        return times
