"""Quarantine of requests that crash the endpoints that run them."""

import collections
import hashlib

CRASHES_TO_QUARANTINE = 2
QUARANTINE_SECONDS = 3600.0
SUSPECT_SECONDS = 600.0
MAX_FINGERPRINTS = 10_000


def fingerprint(team: str, content: bytes) -> str:
    """Return a hash that identifies the content of a request of one team.

    Args:
      team: Name of the team.
      content: Body without the request id and the idempotency key.

    Returns:
      32 hexadecimal digits.
    """
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(len(team).to_bytes(4, "big"))
    hasher.update(team.encode())
    hasher.update(content)
    return hasher.hexdigest()


class Quarantine:
    """Fingerprints of requests that were in flight at an endpoint when it crashed.

    A crash makes every request in flight there a suspect, including those that did not cause it.
    A suspect is quarantined after crashes of `min_crashes` different endpoint incarnations within
    `SUSPECT_SECONDS`, and cleared by a success.

    Args:
      min_crashes: Number of crashes after which a fingerprint is quarantined.

    Attributes:
      crashes: Monotonic seconds of each crash by endpoint and incarnation, by fingerprint.
      quarantined: Monotonic seconds at which the quarantine ends, by fingerprint.
    """

    def __init__(self, min_crashes: int = CRASHES_TO_QUARANTINE):
        self.min_crashes = min_crashes
        self.crashes: collections.OrderedDict[str, dict[str, float]] = collections.OrderedDict()
        self.quarantined: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record_crash(self, endpoint: str, incarnation: str, fingerprints, now: float) -> list[str]:
        """Record the requests in flight at an endpoint that crashed.

        Args:
          endpoint: Name of the endpoint.
          incarnation: Identity of the process that crashed.
          fingerprints: Fingerprints of the requests in flight there.
          now: Monotonic seconds.

        Returns:
          Fingerprints that are newly quarantined.
        """
        newly_quarantined = []
        for request_fingerprint in fingerprints:
            endpoint_crashes = self.crashes.setdefault(request_fingerprint, {})
            for key in [key for key, at in endpoint_crashes.items() if at <= now - SUSPECT_SECONDS]:
                del endpoint_crashes[key]
            endpoint_crashes[f"{endpoint}/{incarnation}"] = now
            if len(endpoint_crashes) >= self.min_crashes and self.add(request_fingerprint, now):
                newly_quarantined.append(request_fingerprint)
        while len(self.crashes) > MAX_FINGERPRINTS:
            self.crashes.popitem(last=False)
        return newly_quarantined

    def clear(self, request_fingerprint: str) -> None:
        """Record that a request with this fingerprint succeeded."""
        self.crashes.pop(request_fingerprint, None)

    def add(self, request_fingerprint: str, now: float) -> bool:
        """Quarantine a fingerprint that this router or another one reported.

        Returns:
          Whether it was not quarantined before.
        """
        is_new = not self.is_quarantined(request_fingerprint, now)
        self.quarantined[request_fingerprint] = now + QUARANTINE_SECONDS
        while len(self.quarantined) > MAX_FINGERPRINTS:
            self.quarantined.popitem(last=False)
        return is_new

    def is_quarantined(self, request_fingerprint: str, now: float) -> bool:
        """Return whether requests with this fingerprint are rejected."""
        until = self.quarantined.get(request_fingerprint)
        if until is not None and until <= now:
            del self.quarantined[request_fingerprint]
            return False
        return until is not None

    def is_suspect(self, request_fingerprint: str) -> bool:
        """Return whether an endpoint crashed while it ran a request with this fingerprint."""
        return request_fingerprint in self.crashes
