"""Endpoints for which queued requests wait."""

import collections

LIFETIME_SECONDS = 0.5


class Preferences:
    """Preferred endpoint of each queued request, with counts by endpoint.

    A preference is decided again after `LIFETIME_SECONDS`.

    Attributes:
      counts: Number of requests that wait for each endpoint.
    """

    def __init__(self):
        self.entries: dict[str, tuple[str, float]] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def set(self, request: str, endpoint: str, now: float) -> None:
        """Remember for which endpoint a request waits.

        Args:
          request: Request id.
          endpoint: Name of the endpoint.
          now: Monotonic seconds.
        """
        self.forget(request)
        self.entries[request] = (endpoint, now)
        self.counts[endpoint] += 1

    def get(self, request: str, now: float) -> str | None:
        """Return the endpoint that a request waits for, None when it must be decided."""
        endpoint, since = self.entries.get(request, (None, 0.0))
        if endpoint is None or now - since > LIFETIME_SECONDS:
            return None
        return endpoint

    def forget(self, request: str) -> None:
        """Drop the preference of a request that no longer waits."""
        endpoint, _ = self.entries.pop(request, (None, 0.0))
        if endpoint is not None:
            self.counts[endpoint] -= 1
