"""Task that watches a store of KV cache: whether it answers, and whether it lost what it had."""

import dataclasses

from bronzemux import clock as clocks
from bronzemux import logs, supervisor
from bronzemux.gateway import cache_index

# Longest wait that a cache store accepts.
WAIT_SECONDS = 1.0
# A store that does not answer is asked again about as often as it could be back.
RETRY_SECONDS = 0.5
# A store takes a dozen such calls at once; the routers with the first names make them.
MAX_WATCHERS = 8


@dataclasses.dataclass(frozen=True)
class CacheStoreState:
    """What a cache store says of itself.

    Attributes:
      epoch: Changes when it restarts and has lost all.
      next_event: Where the next call goes on.
    """

    epoch: int
    next_event: int


class CacheStoreClient:
    """Interface to the calls of cache stores."""

    def await_changes(self, address: str, since: int, seconds: float) -> CacheStoreState | None:
        """Return the state after a change or a wait, None without an answer.

        Args:
          address: IP number and port.
          since: `next_event` of the call before, 0 at first.
          seconds: Longest wait for a change.
        """
        raise NotImplementedError


class CacheStoreWatcher(supervisor.Task):
    """Watches the cache store of the configuration in force.

    Args:
      calls: Calls of cache stores.
      index: Belief about caches.
      address: Returns the address of the store, empty when this router watches none.
      clock: Source of time.
    """

    def __init__(self, calls: CacheStoreClient, index: cache_index.CacheIndex, address, clock):
        super().__init__("cache-watch", clock)
        self.calls = calls
        self.index = index
        self.address = address
        self.clock: clocks.Clock = clock
        self.next_event = 0
        self.watched = ""

    def run(self) -> None:
        """Watch until the task is killed."""
        while True:
            address = self.address()
            if not address:
                self.clock.sleep(WAIT_SECONDS)
                continue
            self.watch_once(address)

    def watch_once(self, address: str) -> None:
        """Make one call and take its answer in."""
        if address != self.watched:
            self.watched, self.next_event = address, 0
        began_at = self.clock.monotonic()
        found = self.calls.await_changes(address, self.next_event, WAIT_SECONDS)
        if found is None:
            self.index.note_store(address, cache_index.DOWN)
            self.clock.sleep(RETRY_SECONDS)
            return
        if self.index.note_store(address, found.epoch):
            logs.event("cache_store", address=address, epoch=found.epoch, outcome="answers")
        self.next_event = found.next_event
        # What changes all the time answers at once; its events are not needed one by one.
        elapsed = self.clock.monotonic() - began_at
        self.clock.sleep(max(0.0, WAIT_SECONDS - elapsed))
