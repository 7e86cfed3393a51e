"""Rate and concurrency limits of teams; each router grants a share of every limit."""

import dataclasses

from bronzemux import buckets, config, errors

BURST_SECONDS = 2.0
MIN_RETRY_AFTER_SECONDS = 0.05


@dataclasses.dataclass
class TeamUsage:
    """Usage of one team at this router.

    Attributes:
      requests: Bucket of requests.
      tokens: Bucket of tokens.
      running: Number of requests in progress.
      total_requests: Number of requests admitted since the dispatcher started.
    """

    requests: buckets.Bucket
    tokens: buckets.Bucket
    running: int = 0
    total_requests: float = 0.0


class TeamLimits:
    """Rate and concurrency limits of all teams at one router; owned by one task."""

    def __init__(self):
        self.usage: dict[str, TeamUsage] = {}
        self.shares: dict[str, float] = {}
        self.default_share = 1.0

    def share(self, team: str) -> float:
        """Return the share of a team's limits that this router may grant, 0 to 1."""
        return self.shares.get(team, self.default_share)

    def admit(self, team: config.Team, tokens: float, now: float) -> None:
        """Charge a request to a team's limits.

        Args:
          team: The team.
          tokens: Tokens that the request asks for.
          now: Monotonic seconds.

        Raises:
          errors.LimitExceededError: When a limit is reached; its `retry_after` is the time to wait.
        """
        team_usage = self._refilled_usage(team, now)
        concurrency = max(1, int(team.limits.concurrency * self.share(team.name)))
        if team_usage.running >= concurrency:
            raise _limit_error("concurrency", concurrency, 1.0)
        for name, bucket, units in (
            ("requests", team_usage.requests, 1),
            ("tokens", team_usage.tokens, tokens),
        ):
            wait = bucket.wait_seconds(units)
            if wait > 0:
                raise _limit_error(f"{name} per second", bucket.rate, wait)
        team_usage.requests.level -= 1
        team_usage.tokens.level -= tokens
        team_usage.running += 1
        team_usage.total_requests += 1

    def release(self, team: str) -> None:
        """Record the end of a request, for the concurrency limit."""
        team_usage = self.usage.get(team)
        if team_usage is not None:
            team_usage.running = max(0, team_usage.running - 1)

    def _refilled_usage(self, team: config.Team, now: float) -> TeamUsage:
        share = self.share(team.name)
        request_rate = team.limits.requests_per_second * share
        token_rate = team.limits.tokens_per_second * share
        team_usage = self.usage.get(team.name)
        if team_usage is None:
            team_usage = self.usage[team.name] = TeamUsage(
                full_bucket(request_rate, now), full_bucket(token_rate, now)
            )
        team_usage.requests.refill(request_rate, request_rate * BURST_SECONDS, now)
        team_usage.tokens.refill(token_rate, token_rate * BURST_SECONDS, now)
        return team_usage


def full_bucket(rate: float, now: float) -> buckets.Bucket:
    """Return a full bucket that holds the units of `BURST_SECONDS`."""
    capacity = rate * BURST_SECONDS
    return buckets.Bucket(rate, capacity, capacity, now)


def _limit_error(name: str, limit: float, wait: float) -> errors.LimitExceededError:
    return errors.LimitExceededError(
        f"the team's limit of {limit:g} {name} at this router is reached",
        "send again after Retry-After, or ask the operators for a higher limit",
        retry_after=max(MIN_RETRY_AFTER_SECONDS, wait),
    )
