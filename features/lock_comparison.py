"""Comparison of claims with the lock with a TTL of the Ocean paper, when holders are paused."""

import dataclasses
import random

from bronzemux import claim_rows, clock, errors
from features import claims_model

TTL_SECONDS = 10.0
RETRY_INTERVAL_SECONDS = 2.0
MAX_RETRIES = 20
PAUSE_PROBABILITY = 0.2
MEAN_PAUSE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Numbers of requests that ran twice with the lock and with the claim.

    Attributes:
      trials: Number of requests with each of them.
      lock_doubled: Requests that ran twice with the lock.
      claim_doubled: Requests that ran twice with the claim.
      claim_unknown: Requests with the claim whose caller gets the outcome `unknown`.
    """

    trials: int
    lock_doubled: int
    claim_doubled: int
    claim_unknown: int


def compare(trials: int, seed: int) -> Comparison:
    """Return the results of seeded trials.

    In each trial one router accepts the request, is possibly paused, and then runs it. The caller
    retries the request every 2 s through another router until it gets a response.

    Args:
      trials: Number of requests.
      seed: Seed of the pauses.
    """
    generator = random.Random(seed)
    lock_doubled = claim_doubled = unknown = 0
    for _ in range(trials):
        is_paused = generator.random() < PAUSE_PROBABILITY
        pause_seconds = generator.expovariate(1 / MEAN_PAUSE_SECONDS) if is_paused else 0.0
        lock_doubled += _lock_executions(pause_seconds) > 1
        executions, is_unknown = _claim_executions(pause_seconds)
        claim_doubled += executions > 1
        unknown += is_unknown
    return Comparison(trials, lock_doubled, claim_doubled, unknown)


def _lock_executions(pause_seconds: float) -> int:
    """Return how often a request runs under a lock with ``lock_expires_at``, as in the paper."""
    expires_at, executions = TTL_SECONDS, 0
    for retry in range(1, MAX_RETRIES):
        now = retry * RETRY_INTERVAL_SECONDS
        if now >= pause_seconds:
            break
        if expires_at < now:
            executions += 1
            break
    return executions + 1


def _claim_executions(pause_seconds: float) -> tuple[int, bool]:
    """Return how often a request runs under a claim, and whether a retry got `unknown`."""
    machine = claims_model.ClaimMachine()
    first, second = (machine.routers[name] for name in claims_model.ROUTERS)
    claim = first.begin("team", "k1", "content")
    executions, is_unknown = 0, False
    for retry in range(1, MAX_RETRIES):
        if retry * RETRY_INTERVAL_SECONDS >= pause_seconds:
            break
        machine.clock.advance(RETRY_INTERVAL_SECONDS)
        try:
            found = second.begin("team", "k1", "content")
            executions += isinstance(found, claim_rows.Claim)
        except errors.InProgressError:
            continue
        except errors.OutcomeUnknownError:
            is_unknown = True
    assert isinstance(machine.clock, clock.FakeClock)
    first.finish(claim, claim_rows.StoredResponse(200, "text/plain", (b"answer",)))
    return executions + 1, is_unknown


if __name__ == "__main__":
    print(compare(10_000, 1))
