"""Figures of a replay: counts, sketches and their summaries."""

import collections
import dataclasses

import ddsketch

SKETCH_ACCURACY = 0.01
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True)
class Summary:
    """Figures of one run or one phase of it.

    Attributes:
      policy: Name of the policy.
      requests: Requests that arrived.
      answered: Requests with a whole answer.
      shed: Requests that were refused as not run.
      failed: Requests that ended otherwise.
      attempts: Attempts at endpoints.
      prompt_tokens: Tokens of the prompts of all attempts.
      computed_tokens: Tokens that engines computed.
      compulsory_tokens: Tokens that must be computed at least once.
      imported_tokens: Tokens that engines imported from the KV cache store.
      lost_tokens: Tokens computed again because a crash took the only copy.
      first_token: Seconds to the first token, by percentile.
      team_first_token: Seconds to the first token of 99 in 100, by team.
      goodput: Answers a second within their objective.
    """

    policy: str
    requests: int
    answered: int
    shed: int
    failed: int
    attempts: int
    prompt_tokens: int
    computed_tokens: int
    compulsory_tokens: int
    imported_tokens: int
    lost_tokens: int
    first_token: dict[float, float]
    team_first_token: dict[str, float]
    goodput: float

    @property
    def hit_rate(self) -> float:
        """Return the share of prompt tokens found in caches."""
        return 1.0 - self.computed_tokens / max(1, self.prompt_tokens)

    @property
    def bound_hit_rate(self) -> float:
        """Return the hit rate with compulsory misses only."""
        return 1.0 - self.compulsory_tokens / max(1, self.prompt_tokens)

    @property
    def waste_ratio(self) -> float:
        """Return computed tokens as a multiple of compulsory ones."""
        return self.computed_tokens / max(1, self.compulsory_tokens)

    @property
    def waste_ratio_after_losses(self) -> float:
        """Return computed tokens as a multiple of compulsory ones and those lost in crashes."""
        return self.computed_tokens / max(1, self.compulsory_tokens + self.lost_tokens)

    @property
    def retry_ratio(self) -> float:
        """Return attempts after the first as a share of requests."""
        return max(0, self.attempts - self.answered - self.failed) / max(1, self.requests)


class Recorder:
    """Collects the figures of one phase.

    Args:
      policy: Name of the policy.
    """

    def __init__(self, policy: str):
        self.policy = policy
        self.counts: collections.Counter[str] = collections.Counter()
        self.sketch = ddsketch.DDSketch(SKETCH_ACCURACY)
        self.teams: dict[str, ddsketch.DDSketch] = {}

    def record_first_token(self, team: str, seconds: float) -> None:
        """Record a time to first token."""
        self.sketch.add(seconds)
        if team not in self.teams:
            self.teams[team] = ddsketch.DDSketch(SKETCH_ACCURACY)
        self.teams[team].add(seconds)

    def summarize(self, seconds: float) -> Summary:
        """Return the figures.

        Args:
          seconds: Length of the phase.
        """
        count = self.counts
        return Summary(
            policy=self.policy,
            requests=count["requests"],
            answered=count["answered"],
            shed=count["shed"],
            failed=count["failed"],
            attempts=count["attempts"],
            prompt_tokens=count["prompt_tokens"],
            computed_tokens=count["computed_tokens"],
            compulsory_tokens=count["compulsory_tokens"],
            imported_tokens=count["imported_tokens"],
            lost_tokens=count["lost_tokens"],
            first_token={p: _quantile(self.sketch, p) for p in PERCENTILES},
            team_first_token={t: _quantile(s, 99.0) for t, s in sorted(self.teams.items())},
            goodput=count["good"] / seconds,
        )


def _quantile(sketch: ddsketch.DDSketch, percentile: float) -> float:
    return float(sketch.get_quantile_value(percentile / 100.0) or 0.0)
