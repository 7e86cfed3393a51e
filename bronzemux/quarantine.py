"""Detection of requests that crash the endpoints that run them."""

import collections
import hashlib

DEATHS_TO_QUARANTINE = 2
QUARANTINE_SECONDS = 3600.0
SUSPECT_SECONDS = 600.0
MAX_FINGERPRINTS = 10_000


def fingerprint(team: str, content: bytes) -> str:
    """Return the identity of a request's content for one team.

    Args:
      team: Name of the team.
      content: Body without the request id and without the idempotency key.
    """
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(len(team).to_bytes(4, "big"))
    hasher.update(team.encode())
    hasher.update(content)
    return hasher.hexdigest()


class Quarantine:
    """Fingerprints that were in flight at endpoints which died.

    One death makes every request in flight there a suspect, innocents included. A suspect is
    condemned by deaths of different endpoint incarnations, and cleared by a success.

    Args:
      least_deaths: Deaths that condemn a fingerprint.
    """

    def __init__(self, least_deaths: int = DEATHS_TO_QUARANTINE):
        self.least_deaths = least_deaths
        self.deaths: collections.OrderedDict[str, dict[str, float]] = collections.OrderedDict()
        self.quarantined: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record_death(self, endpoint: str, incarnation: str, prints, now: float) -> list[str]:
        """Record the requests in flight at an endpoint that died.

        Args:
          endpoint: Name of the endpoint.
          incarnation: Identity of the process that died.
          prints: Fingerprints of the requests in flight there.
          now: Monotonic seconds.

        Returns:
          Fingerprints that are newly condemned.
        """
        fresh = []
        for item in prints:
            deaths = self.deaths.setdefault(item, {})
            for key in [key for key, at in deaths.items() if at <= now - SUSPECT_SECONDS]:
                del deaths[key]
            deaths[f"{endpoint}/{incarnation}"] = now
            if len(deaths) >= self.least_deaths and self.add(item, now):
                fresh.append(item)
        while len(self.deaths) > MAX_FINGERPRINTS:
            self.deaths.popitem(last=False)
        return fresh

    def clear(self, item: str) -> None:
        """Record that a request with this fingerprint succeeded."""
        self.deaths.pop(item, None)

    def add(self, item: str, now: float) -> bool:
        """Quarantine a fingerprint, also one that another router reports.

        Returns:
          Whether it was not condemned before.
        """
        is_new = not self.is_quarantined(item, now)
        self.quarantined[item] = now + QUARANTINE_SECONDS
        while len(self.quarantined) > MAX_FINGERPRINTS:
            self.quarantined.popitem(last=False)
        return is_new

    def is_quarantined(self, item: str, now: float) -> bool:
        """Return whether requests with this fingerprint are refused."""
        until = self.quarantined.get(item)
        if until is not None and until <= now:
            del self.quarantined[item]
            return False
        return until is not None

    def is_suspect(self, item: str) -> bool:
        """Return whether an endpoint died while it ran this request."""
        return item in self.deaths
