"""Retry budget: limits retries to a ratio of recent requests."""

import collections

WINDOW_SECONDS = 10.0
MIN_RETRIES_PER_WINDOW = 3


class RetryBudget:
    """Sliding-window budget shared by all requests of one router.

    Args:
      min_retries: Retries granted per window regardless of the number of requests.
    """

    def __init__(self, min_retries: int = MIN_RETRIES_PER_WINDOW):
        self.min_retries = min_retries
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request towards the budget.

        Args:
          now: Monotonic seconds.
        """
        self.requests.append(now)

    def try_retry(self, ratio: float, now: float) -> bool:
        """Charge a retry to the budget if it allows one.

        `min_retries` are granted in any case, so that a router with little traffic can retry.

        Args:
          ratio: Retries allowed per request of the window.
          now: Monotonic seconds.

        Returns:
          Whether the retry may be sent.
        """
        self._drop_old(now)
        allowed = max(self.min_retries, ratio * len(self.requests))
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - WINDOW_SECONDS:
                times.popleft()
