"""Task that watches a KV cache store: whether it answers, and whether it has lost its content."""

from bronzemux import clock as clocks
from bronzemux import logs, records, supervisor
from bronzemux.gateway import cache_index

# Longest wait that a cache store accepts in one call.
MAX_WAIT_SECONDS = 1.0
# Checks a store that does not answer about as often as it could be back.
RETRY_SECONDS = 0.5
# A store accepts a dozen concurrent calls; the relays whose names sort first watch the stores.
MAX_WATCHERS = 8


@records.record
class CacheStoreState:
    """State that a cache store reports.

    Attributes:
      epoch: Changes when the store restarts and loses its content.
      next_event: Sequence number of the event from which the next call continues.
    """

    epoch: int
    next_event: int


class CacheStoreClient:
    """Interface of the client of cache stores."""

    def await_changes(self, address: str, since: int, seconds: float) -> CacheStoreState | None:
        """Wait for a change of the store's content.

        Args:
          address: IP address and port.
          since: `next_event` of the previous call, 0 for the first call.
          seconds: Longest wait for a change.

        Returns:
          The state after a change or after the wait, None when the store does not answer.
        """
        raise NotImplementedError


class CacheStoreWatcher(supervisor.Task):
    """Watch a cache store of the active configuration.

    Args:
      client: Client of cache stores.
      index: Index of cached prefixes; receives the epoch of the store, or that it is down.
      get_address: Returns the address of the store, empty when this router watches none.
      clock: Source of time.
    """

    def __init__(self, client: CacheStoreClient, index: cache_index.CacheIndex, get_address, clock):
        super().__init__("cache-watch", clock)
        self.client = client
        self.index = index
        self.get_address = get_address
        self.clock: clocks.Clock = clock
        self.next_event = 0
        self.watched_address = ""

    def run(self) -> None:
        """Watch until the task is killed."""
        while True:
            address = self.get_address()
            if not address:
                self.clock.sleep(MAX_WAIT_SECONDS)
                continue
            self.watch_once(address)

    def watch_once(self, address: str) -> None:
        """Make one call to the store and pass its state to the index."""
        if address != self.watched_address:
            self.watched_address, self.next_event = address, 0
        started_at = self.clock.monotonic()
        state = self.client.await_changes(address, self.next_event, MAX_WAIT_SECONDS)
        if state is None:
            self.index.record_store_epoch(address, cache_index.STORE_DOWN)
            self.clock.sleep(RETRY_SECONDS)
            return
        if self.index.record_store_epoch(address, state.epoch):
            logs.event("cache_store", address=address, epoch=state.epoch, outcome="answers")
        self.next_event = state.next_event
        # Limits the rate of calls to a store whose content changes constantly and which therefore
        # answers at once. Only its epoch is needed, not the single events.
        elapsed = self.clock.monotonic() - started_at
        self.clock.sleep(max(0.0, MAX_WAIT_SECONDS - elapsed))
