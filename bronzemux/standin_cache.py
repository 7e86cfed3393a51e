"""Components of the stand-in engine: prefix cache, KV cache store, prefill queue, load counter."""

import collections
import heapq
import itertools

from gevent import event

MAX_RETAINED_EVENTS = 50_000
DEFAULT_STORE_CAPACITY_PIECES = 20_000


class Cache:
    """Prefix cache with least-recently-used eviction and an event log.

    Args:
      capacity: Maximum number of pieces.

    Attributes:
      keys: Keys of the pieces in the cache, the least recently used first.
      events: Last `MAX_RETAINED_EVENTS` events as sequence number, key, and whether the piece was
        stored (True) or evicted (False).
      last_sequence: Sequence number of the last event, 0 before the first.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.keys: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.events: collections.deque[tuple[int, int, bool]] = collections.deque(
            maxlen=MAX_RETAINED_EVENTS
        )
        self.sequence = itertools.count(1)
        self.last_sequence = 0

    def match_prefix(self, chain: tuple[int, ...]) -> int:
        """Return the number of leading pieces in the cache, and mark them as recently used."""
        matched = 0
        for key in chain:
            if key not in self.keys:
                break
            self.keys.move_to_end(key)
            matched += 1
        return matched

    def store(self, chain: tuple[int, ...]) -> None:
        """Insert pieces and evict the least recently used ones beyond the capacity."""
        for key in chain:
            if key not in self.keys:
                self._append_event(key, True)
            self.keys[key] = None
            self.keys.move_to_end(key)
        while len(self.keys) > self.capacity:
            key, _ = self.keys.popitem(last=False)
            self._append_event(key, False)

    def _append_event(self, key: int, is_stored: bool) -> None:
        self.last_sequence = next(self.sequence)
        self.events.append((self.last_sequence, key, is_stored))


class CacheStore:
    """Stand-in KV cache store that the engines of a deployment share.

    Args:
      tokens_per_second: Import throughput.
      capacity: Maximum number of pieces.
    """

    def __init__(self, tokens_per_second: float, capacity: int = DEFAULT_STORE_CAPACITY_PIECES):
        self.tokens_per_second = tokens_per_second
        self.capacity = capacity
        self.pieces: collections.OrderedDict[tuple[str, int], None] = collections.OrderedDict()

    def put(self, incarnation: str, keys: tuple[int, ...]) -> None:
        """Store exported pieces and evict the least recently used ones beyond the capacity.

        Args:
          incarnation: Incarnation of the exporting engine.
          keys: Cache keys of the pieces.
        """
        for key in keys:
            self.pieces[incarnation, key] = None
            self.pieces.move_to_end((incarnation, key))
        while len(self.pieces) > self.capacity:
            self.pieces.popitem(last=False)

    def match_prefix(self, incarnation: str, chain: tuple[int, ...]) -> int:
        """Return the number of leading pieces that are stored.

        Args:
          incarnation: Incarnation of the engine that exported them.
          chain: Cache keys of the pieces of a prompt.
        """
        matched = 0
        for key in chain:
            if (incarnation, key) not in self.pieces:
                break
            matched += 1
        return matched


class PrefillQueue:
    """Lock that serialises prefills, granted by priority, then in order of arrival."""

    def __init__(self):
        self.waiting: list[tuple[int, int, event.Event]] = []
        self.tie_breaker = itertools.count()
        self.is_busy = False

    def acquire(self, priority: int) -> None:
        """Acquire the lock; block while it is held.

        Args:
          priority: 0 (first) to 9.
        """
        if not self.is_busy:
            self.is_busy = True
            return
        granted = event.Event()
        heapq.heappush(self.waiting, (priority, next(self.tie_breaker), granted))
        granted.wait()

    def release(self) -> None:
        """Release the lock, or pass it to the first waiting prompt."""
        if self.waiting:
            heapq.heappop(self.waiting)[2].set()
        else:
            self.is_busy = False


class WeightLoadCounter:
    """Number of engines of a deployment that are loading weights or adapters at the moment."""

    def __init__(self):
        self.loading = 0

    def change(self, delta: int) -> int:
        """Add `delta` to the number and return the result."""
        self.loading += delta
        return self.loading
