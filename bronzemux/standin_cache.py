"""Parts of the stand-in engine: prefix cache, prefill queue, counter of weight loads."""

import collections
import heapq
import itertools

from gevent import event

KEPT_EVENTS = 50_000
STORE_PIECES = 20_000


class Cache:
    """Prefix cache with least-recently-used eviction and an event log.

    Args:
      capacity: Pieces that it holds.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.keys: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.events: collections.deque[tuple[int, int, bool]] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self.sequence = itertools.count(1)
        self.last = 0

    def lookup(self, chain: tuple[int, ...]) -> int:
        """Return the number of leading pieces that are held, and mark them as used."""
        held = 0
        for key in chain:
            if key not in self.keys:
                break
            self.keys.move_to_end(key)
            held += 1
        return held

    def store(self, chain: tuple[int, ...]) -> None:
        """Put pieces in; the least recently used go."""
        for key in chain:
            if key not in self.keys:
                self._note(key, True)
            self.keys[key] = None
            self.keys.move_to_end(key)
        while len(self.keys) > self.capacity:
            key, _ = self.keys.popitem(last=False)
            self._note(key, False)

    def _note(self, key: int, is_stored: bool) -> None:
        self.last = next(self.sequence)
        self.events.append((self.last, key, is_stored))


class CacheStore:
    """Stand-in KV cache store that the engines of a deployment share.

    Args:
      tokens_per_second: Speed of an import.
      capacity: Pieces that it holds.
    """

    def __init__(self, tokens_per_second: float, capacity: int = STORE_PIECES):
        self.tokens_per_second = tokens_per_second
        self.capacity = capacity
        self.pieces: collections.OrderedDict[tuple[str, int], None] = collections.OrderedDict()

    def put(self, incarnation: str, keys: tuple[int, ...]) -> None:
        """Take pieces that an engine exports; the least recently used go."""
        for key in keys:
            self.pieces[incarnation, key] = None
            self.pieces.move_to_end((incarnation, key))
        while len(self.pieces) > self.capacity:
            self.pieces.popitem(last=False)

    def held(self, incarnation: str, chain: tuple[int, ...]) -> int:
        """Return the number of leading pieces that an engine exported."""
        held = 0
        for key in chain:
            if (incarnation, key) not in self.pieces:
                break
            held += 1
        return held


class PrefillQueue:
    """Order in which prompts are computed: by priority, then arrival."""

    def __init__(self):
        self.waiting: list[tuple[int, int, event.Event]] = []
        self.counter = itertools.count()
        self.is_busy = False

    def acquire(self, priority: int) -> None:
        """Wait for the turn."""
        if not self.is_busy:
            self.is_busy = True
            return
        turn = event.Event()
        heapq.heappush(self.waiting, (priority, next(self.counter), turn))
        turn.wait()

    def release(self) -> None:
        """Pass the turn on."""
        if self.waiting:
            heapq.heappop(self.waiting)[2].set()
        else:
            self.is_busy = False


class LoadCounter:
    """Counts engines that load weights at the same time, over all engines."""

    def __init__(self):
        self.loading = 0

    def change(self, step: int) -> int:
        """Change the number and return it."""
        self.loading += step
        return self.loading
