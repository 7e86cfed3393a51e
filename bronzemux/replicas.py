"""Number of endpoints that serve a hot prefix: grown by load, shrunk with hysteresis."""

import collections
import dataclasses

MAX_PREFIXES = 20_000
WAIT_TIME_CONSTANT_SECONDS = 2.0
GROW_WAIT_SECONDS = 0.2
GROW_HOLD_SECONDS = 1.0
GROW_ADVANTAGE = 0.5
SHRINK_WAIT_SECONDS = 0.03
SHRINK_HOLD_SECONDS = 20.0


@dataclasses.dataclass
class PrefixState:
    """State of one prefix.

    Attributes:
      count: Endpoints that serve it without a penalty.
      wait: Smoothed wait of its requests, in seconds.
      updated_at: Monotonic seconds of the last request.
      changed_at: Monotonic seconds of the last change of the count.
    """

    count: int = 1
    wait: float = 0.0
    updated_at: float = 0.0
    changed_at: float = 0.0


class ReplicaCounts:
    """Replica counts of the prefixes that one router sees, bounded in number."""

    def __init__(self):
        self.states: collections.OrderedDict[int, PrefixState] = collections.OrderedDict()

    def count(self, key: int) -> int:
        """Return the number of endpoints for a prefix.

        Args:
          key: First piece key of the prompt.
        """
        state = self.states.get(key)
        return state.count if state else 1

    def observe(self, key: int, wait: float, next_wait: float, limit: int, now: float) -> None:
        """Take the expected wait of a request in and adjust the count.

        The count grows only when the next endpoint is clearly less loaded, so that a load that
        is high everywhere, as after a cold start, does not add recomputation to it.

        Args:
          key: First piece key of the prompt.
          wait: Expected seconds of waiting at the chosen endpoint.
          next_wait: Expected seconds at the endpoint that would be added.
          limit: Number of endpoints there are.
          now: Monotonic seconds.
        """
        state = self._state(key, now)
        elapsed = now - state.updated_at
        share = min(1.0, max(elapsed, 0.05) / WAIT_TIME_CONSTANT_SECONDS)
        state.wait += share * (wait - state.wait)
        state.updated_at = now
        since = now - state.changed_at
        is_late = state.wait > GROW_WAIT_SECONDS and next_wait < GROW_ADVANTAGE * state.wait
        if is_late and since >= GROW_HOLD_SECONDS and state.count < limit:
            self._change(state, 1, now)
        elif state.wait < SHRINK_WAIT_SECONDS and since >= SHRINK_HOLD_SECONDS:
            self._change(state, -1, now)

    def _state(self, key: int, now: float) -> PrefixState:
        if key not in self.states:
            self.states[key] = PrefixState(updated_at=now, changed_at=now)
            if len(self.states) > MAX_PREFIXES:
                self.states.popitem(last=False)
        self.states.move_to_end(key)
        return self.states[key]

    def _change(self, state: PrefixState, step: int, now: float) -> None:
        state.count = max(1, state.count + step)
        state.changed_at = now
