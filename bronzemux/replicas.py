"""Replica counts of hot prefixes, raised under load and lowered with hysteresis."""

import collections
import dataclasses

MAX_PREFIXES = 20_000
WAIT_TIME_CONSTANT_SECONDS = 2.0
GROW_WAIT_SECONDS = 0.2
GROW_HOLD_SECONDS = 1.0
MAX_NEXT_WAIT_RATIO = 0.5
SHRINK_WAIT_SECONDS = 0.03
SHRINK_HOLD_SECONDS = 20.0


@dataclasses.dataclass
class PrefixState:
    """Replica count of one prefix and the expected waits that determine it.

    Attributes:
      count: Number of endpoints that serve the prefix without a rank cost.
      wait: Exponentially weighted moving average of the expected waits, in seconds.
      updated_at: Monotonic seconds of the last request.
      changed_at: Monotonic seconds of the last change of the count.
    """

    count: int = 1
    wait: float = 0.0
    updated_at: float = 0.0
    changed_at: float = 0.0


class ReplicaCounts:
    """Replica counts of the `MAX_PREFIXES` prefixes that one router used most recently."""

    def __init__(self):
        self.states: collections.OrderedDict[int, PrefixState] = collections.OrderedDict()

    def count(self, key: int) -> int:
        """Return the replica count of a prefix; 1 if it is unknown.

        Args:
          key: First piece key of the prompt.
        """
        state = self.states.get(key)
        return state.count if state else 1

    def observe(self, key: int, wait: float, next_wait: float, limit: int, now: float) -> None:
        """Update the average wait of a prefix and adjust its replica count.

        The count grows only when the next endpoint is clearly less loaded. When all endpoints
        are busy, as after a cold start, further replicas would only add recomputation.

        Args:
          key: First piece key of the prompt.
          wait: Expected wait at the chosen endpoint, in seconds.
          next_wait: Expected wait at the endpoint that would be added, in seconds.
          limit: Number of endpoints that may serve the prefix.
          now: Monotonic seconds.
        """
        state = self._state(key, now)
        elapsed = now - state.updated_at
        ewma_weight = min(1.0, max(elapsed, 0.05) / WAIT_TIME_CONSTANT_SECONDS)
        state.wait += ewma_weight * (wait - state.wait)
        state.updated_at = now
        held_seconds = now - state.changed_at
        should_grow = (
            state.wait > GROW_WAIT_SECONDS and next_wait < MAX_NEXT_WAIT_RATIO * state.wait
        )
        if should_grow and held_seconds >= GROW_HOLD_SECONDS and state.count < limit:
            self._change_count(state, 1, now)
        elif state.wait < SHRINK_WAIT_SECONDS and held_seconds >= SHRINK_HOLD_SECONDS:
            self._change_count(state, -1, now)

    def _state(self, key: int, now: float) -> PrefixState:
        if key not in self.states:
            self.states[key] = PrefixState(updated_at=now, changed_at=now)
            if len(self.states) > MAX_PREFIXES:
                self.states.popitem(last=False)
        self.states.move_to_end(key)
        return self.states[key]

    def _change_count(self, state: PrefixState, step: int, now: float) -> None:
        state.count = max(1, state.count + step)
        state.changed_at = now
