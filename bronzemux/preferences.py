"""Endpoints that queued requests wait for."""

import collections

PREFERENCE_SECONDS = 0.5


class PreferredEndpoints:
    """Endpoint that each queued request waits for, with counts by endpoint.

    A preference expires after `PREFERENCE_SECONDS`; the endpoint is then chosen again.

    Attributes:
      counts: Number of requests that wait for each endpoint.
    """

    def __init__(self):
        self.entries: dict[str, tuple[str, float]] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def set(self, request_id: str, endpoint: str, now: float) -> None:
        """Record the endpoint that a request waits for.

        Args:
          request_id: Id of the request.
          endpoint: Name of the endpoint.
          now: Monotonic seconds.
        """
        self.forget(request_id)
        self.entries[request_id] = (endpoint, now)
        self.counts[endpoint] += 1

    def get(self, request_id: str, now: float) -> str | None:
        """Return the endpoint that a request waits for, None when there is none or it expired."""
        endpoint, since = self.entries.get(request_id, (None, 0.0))
        if endpoint is None or now - since > PREFERENCE_SECONDS:
            return None
        return endpoint

    def forget(self, request_id: str) -> None:
        """Drop the preference of a request."""
        endpoint, _ = self.entries.pop(request_id, (None, 0.0))
        if endpoint is not None:
            self.counts[endpoint] -= 1
