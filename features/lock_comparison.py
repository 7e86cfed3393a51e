"""The Ocean paper's lock with TTL beside the claim, under holders that pause."""

import dataclasses
import random

from bronzemux import claim_rows, clock, errors
from features import claims_model

TTL_SECONDS = 10.0
REPEAT_SECONDS = 2.0
MAX_REPEATS = 20
PAUSE_PROBABILITY = 0.2
MEAN_PAUSE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Requests that ran twice under each scheme.

    Attributes:
      trials: Requests of each scheme.
      lock_doubled: Requests that ran twice under the lock.
      claim_doubled: Requests that ran twice under the claim.
      claim_unknown: Requests whose caller is told that the outcome is unknown.
    """

    trials: int
    lock_doubled: int
    claim_doubled: int
    claim_unknown: int


def compare(trials: int, seed: int) -> Comparison:
    """Return the figures of seeded trials.

    In each trial one router takes the request, may pause before it runs it, and then runs it;
    the caller repeats every 2 s through another router until it has an answer.

    Args:
      trials: Number of requests.
      seed: Seed of the pauses.
    """
    source = random.Random(seed)
    lock_doubled = claim_doubled = unknown = 0
    for _ in range(trials):
        is_paused = source.random() < PAUSE_PROBABILITY
        pause = source.expovariate(1 / MEAN_PAUSE_SECONDS) if is_paused else 0.0
        lock_doubled += _lock_executions(pause) > 1
        executions, is_unknown = _claim_executions(pause)
        claim_doubled += executions > 1
        unknown += is_unknown
    return Comparison(trials, lock_doubled, claim_doubled, unknown)


def _lock_executions(pause: float) -> int:
    """Return how often a request runs with ``lock_expires_at``, as the paper acquires it."""
    expires_at, executions = TTL_SECONDS, 0
    for repeat in range(1, MAX_REPEATS):
        now = repeat * REPEAT_SECONDS
        if now >= pause:
            break
        if expires_at < now:
            executions += 1
            break
    return executions + 1


def _claim_executions(pause: float) -> tuple[int, bool]:
    """Return how often a request runs under the claim, and whether a repeat was told unknown."""
    machine = claims_model.ClaimMachine()
    first, second = (machine.routers[name] for name in claims_model.ROUTERS)
    held = first.begin("team", "k1", "content")
    executions, is_unknown = 0, False
    for repeat in range(1, MAX_REPEATS):
        if repeat * REPEAT_SECONDS >= pause:
            break
        machine.clock.advance(REPEAT_SECONDS)
        try:
            found = second.begin("team", "k1", "content")
            executions += isinstance(found, claim_rows.Claim)
        except errors.InProgressError:
            continue
        except errors.OutcomeUnknownError:
            is_unknown = True
    assert isinstance(machine.clock, clock.FakeClock)
    first.finish(held, claim_rows.StoredResponse(200, "text/plain", (b"answer",)))
    return executions + 1, is_unknown


if __name__ == "__main__":
    print(compare(10_000, 1))
