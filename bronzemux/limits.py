"""Limits of teams: token buckets and concurrency, as a share of the total."""

import dataclasses

from bronzemux import config, errors

BURST_SECONDS = 2.0
MIN_RETRY_AFTER_SECONDS = 0.05


@dataclasses.dataclass
class Bucket:
    """Token bucket.

    Attributes:
      rate: Units a second.
      level: Units left.
      updated_at: Monotonic seconds of the last refill.
    """

    rate: float
    level: float
    updated_at: float

    def refill(self, rate: float, now: float) -> None:
        """Add what has accrued at a rate that may have changed."""
        self.level = min(rate * BURST_SECONDS, self.level + (now - self.updated_at) * rate)
        self.rate = rate
        self.updated_at = now

    def wait(self, units: float) -> float:
        """Return the seconds until units are there; 0 when they are.

        More units than the bucket can hold are granted from a full bucket, which goes into debt.
        """
        needed = min(units, self.rate * BURST_SECONDS)
        return max(0.0, (needed - self.level) / self.rate)


@dataclasses.dataclass
class TeamUse:
    """Use of one team at this router."""

    requests: Bucket
    tokens: Bucket
    running: int = 0
    used_requests: float = 0.0


class TeamLimits:
    """Limits of all teams at one router; owned by one task."""

    def __init__(self):
        self.uses: dict[str, TeamUse] = {}
        self.shares: dict[str, float] = {}
        self.default_share = 1.0

    def share(self, team: str) -> float:
        """Return the part of a team's limits that this router may grant."""
        return self.shares.get(team, self.default_share)

    def admit(self, team: config.Team, tokens: float, now: float) -> None:
        """Take a request out of a team's limits.

        Args:
          team: The team.
          tokens: Tokens that the request asks for.
          now: Monotonic seconds.

        Raises:
          errors.LimitExceededError: When a limit is reached; it names the wait.
        """
        use = self._use(team, now)
        concurrency = max(1, int(team.limits.concurrency * self.share(team.name)))
        if use.running >= concurrency:
            raise _exceeded("concurrency", concurrency, 1.0)
        for name, bucket, units in (("requests", use.requests, 1), ("tokens", use.tokens, tokens)):
            wait = bucket.wait(units)
            if wait > 0:
                raise _exceeded(f"{name} a second", bucket.rate, wait)
        use.requests.level -= 1
        use.tokens.level -= tokens
        use.running += 1
        use.used_requests += 1

    def release(self, team: str) -> None:
        """Count a request as ended."""
        use = self.uses.get(team)
        if use is not None:
            use.running = max(0, use.running - 1)

    def _use(self, team: config.Team, now: float) -> TeamUse:
        share = self.share(team.name)
        request_rate = team.limits.requests_per_second * share
        token_rate = team.limits.tokens_per_second * share
        use = self.uses.get(team.name)
        if use is None:
            requests = Bucket(request_rate, request_rate * BURST_SECONDS, now)
            tokens = Bucket(token_rate, token_rate * BURST_SECONDS, now)
            use = self.uses[team.name] = TeamUse(requests, tokens)
        use.requests.refill(request_rate, now)
        use.tokens.refill(token_rate, now)
        return use


def _exceeded(name: str, limit: float, wait: float) -> errors.LimitExceededError:
    return errors.LimitExceededError(
        f"the team's limit of {limit:g} {name} at this router is reached",
        "send again after Retry-After, or ask the operators for a higher limit",
        retry_after=max(MIN_RETRY_AFTER_SECONDS, wait),
    )
