"""Retry budget: retries may be at most a share of recent requests."""

import collections

WINDOW_SECONDS = 10.0
MIN_RETRIES_PER_WINDOW = 3


class RetryBudget:
    """Sliding-window budget shared by all requests of one router.

    Args:
      least: Retries granted in a window whatever the number of requests.
    """

    def __init__(self, least: int = MIN_RETRIES_PER_WINDOW):
        self.least = least
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request.

        Args:
          now: Monotonic seconds.
        """
        self.requests.append(now)

    def try_retry(self, ratio: float, now: float) -> bool:
        """Take a retry out of the budget.

        A small constant is always granted, so that a router with little traffic can retry.

        Args:
          ratio: Retries allowed for each request.
          now: Monotonic seconds.

        Returns:
          Whether the retry may be sent.
        """
        self._forget(now)
        allowed = max(self.least, ratio * len(self.requests))
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - WINDOW_SECONDS:
                times.popleft()
