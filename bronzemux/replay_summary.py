"""Counts and latency sketches of a replay, and their summaries."""

import collections
import dataclasses

import ddsketch

SKETCH_RELATIVE_ACCURACY = 0.01
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True)
class Summary:
    """Results of a run or of one phase of it.

    Attributes:
      policy: Name of the policy.
      requests: Requests that arrived.
      answered: Requests with a complete response.
      shed: Requests that were rejected before they ran.
      failed: Requests that ended in any other way.
      attempts: Attempts at endpoints.
      prompt_tokens: Tokens of the prompts of all attempts.
      computed_tokens: Tokens that engines computed.
      compulsory_tokens: Tokens that must be computed at least once.
      imported_tokens: Tokens that engines imported from the KV cache store.
      lost_tokens: Tokens computed again because a crash destroyed the only cached copy.
      first_token: Time to first token in seconds, by percentile.
      team_first_token: 99th percentile of the time to first token in seconds, by team.
      goodput: Responses per second that met their objective.
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
        """Return the fraction of prompt tokens found in caches."""
        return 1.0 - self.computed_tokens / max(1, self.prompt_tokens)

    @property
    def bound_hit_rate(self) -> float:
        """Return the highest possible hit rate, at which all misses are compulsory."""
        return 1.0 - self.compulsory_tokens / max(1, self.prompt_tokens)

    @property
    def waste_ratio(self) -> float:
        """Return the ratio of computed to compulsory tokens."""
        return self.computed_tokens / max(1, self.compulsory_tokens)

    @property
    def waste_ratio_after_losses(self) -> float:
        """Return the ratio of computed tokens to compulsory tokens plus those lost in crashes."""
        return self.computed_tokens / max(1, self.compulsory_tokens + self.lost_tokens)

    @property
    def retry_ratio(self) -> float:
        """Return the ratio of retries to requests."""
        return max(0, self.attempts - self.answered - self.failed) / max(1, self.requests)


class Recorder:
    """Collects the counts and times of a run or of one phase of it.

    Args:
      policy: Name of the policy.
    """

    def __init__(self, policy: str):
        self.policy = policy
        self.counts: collections.Counter[str] = collections.Counter()
        self.first_token_sketch = ddsketch.DDSketch(SKETCH_RELATIVE_ACCURACY)
        self.team_sketches: dict[str, ddsketch.DDSketch] = {}

    def record_first_token(self, team: str, seconds: float) -> None:
        """Record the time to first token of a request.

        Args:
          team: Name of the team.
          seconds: Time to first token.
        """
        self.first_token_sketch.add(seconds)
        if team not in self.team_sketches:
            self.team_sketches[team] = ddsketch.DDSketch(SKETCH_RELATIVE_ACCURACY)
        self.team_sketches[team].add(seconds)

    def summarize(self, seconds: float) -> Summary:
        """Return the summary.

        Args:
          seconds: Duration of the run or phase.
        """
        counts = self.counts
        return Summary(
            policy=self.policy,
            requests=counts["requests"],
            answered=counts["answered"],
            shed=counts["shed"],
            failed=counts["failed"],
            attempts=counts["attempts"],
            prompt_tokens=counts["prompt_tokens"],
            computed_tokens=counts["computed_tokens"],
            compulsory_tokens=counts["compulsory_tokens"],
            imported_tokens=counts["imported_tokens"],
            lost_tokens=counts["lost_tokens"],
            first_token={p: _quantile(self.first_token_sketch, p) for p in PERCENTILES},
            team_first_token={
                team: _quantile(sketch, 99.0) for team, sketch in sorted(self.team_sketches.items())
            },
            goodput=counts["good"] / seconds,
        )


def _quantile(sketch: ddsketch.DDSketch, percentile: float) -> float:
    return float(sketch.get_quantile_value(percentile / 100.0) or 0.0)
