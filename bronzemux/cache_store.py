"""Exports to and imports from the KV cache store, as decided by one router."""

import collections
import dataclasses

from bronzemux import buckets, config, limits

MAX_EXPORTED_PIECES = 100_000
MAX_PREFIXES = 5_000  # also limits `dead_incarnations`
EXPORT_RETRY_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class ImportOffer:
    """Leading pieces of a prompt that an engine may import.

    Attributes:
      pieces: Number of pieces, 0 for none.
      incarnation: Incarnation of the engine that exported them; not one known to be dead.
      tokens_per_second: Speed of an import, in tokens per second.
    """

    pieces: int = 0
    incarnation: str = ""
    tokens_per_second: float = 0.0


NO_OFFER = ImportOffer()


@dataclasses.dataclass
class SharedPrefix:
    """Longest common prefix of the prompts that are counted under one piece key.

    Attributes:
      chain: Piece keys of the common prefix.
      requests: Number of prompts counted.
      export_requested_at: Monotonic seconds when its export was last requested.
    """

    chain: tuple[int, ...]
    requests: int = 0
    export_requested_at: float = -1e9


class CacheStoreTracker:
    """Tracks which pieces engines exported, and decides on exports and imports.

    Exported pieces are recorded with the incarnation of the engine that exported them, and dropped
    when that incarnation is dead, so that no request imports its pieces. Owned by one task.

    Attributes:
      exporters: Incarnation of the engine that exported a piece, by piece key.
      shared_prefixes: Shared prefixes by the piece key under which their prompts are counted.
      bucket: This router's share of the store's rate; None until an import is first considered.
    """

    def __init__(self):
        self.settings: config.CacheStore | None = None
        self.exporters: collections.OrderedDict[int, str] = collections.OrderedDict()
        self.shared_prefixes: collections.OrderedDict[int, SharedPrefix] = collections.OrderedDict()
        self.dead_incarnations: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.bucket: buckets.Bucket | None = None

    def apply(self, settings: config.CacheStore | None) -> None:
        """Apply the settings of a configuration; None if it has no cache store."""
        self.settings = settings
        if settings is None:
            self.exporters.clear()

    def record_prompt(self, chain: tuple[int, ...]) -> None:
        """Count a prompt towards the prefixes that it shares with others.

        A prompt is counted under its first piece and, if it is longer than the prefix that all
        prompts with this first piece share, also under the first piece after that prefix.

        Args:
          chain: Piece keys of the prompt.
        """
        if self.settings is None or not chain:
            return
        common_length = self._count_prompt(chain[0], chain)
        if common_length < len(chain):
            self._count_prompt(chain[common_length], chain)

    def _count_prompt(self, key: int, chain: tuple[int, ...]) -> int:
        """Count a prompt under a key and return the length of its common prefix, in pieces."""
        entry = self.shared_prefixes.get(key)
        if entry is None:
            entry = self.shared_prefixes[key] = SharedPrefix(chain)
        entry.requests += 1
        entry.chain = _common_prefix(entry.chain, chain)
        self.shared_prefixes.move_to_end(key)
        if len(self.shared_prefixes) > MAX_PREFIXES:
            self.shared_prefixes.popitem(last=False)
        return len(entry.chain)

    def find_import(
        self, chain: tuple[int, ...], piece_tokens: int, router_count: int, now: float
    ) -> ImportOffer:
        """Return the leading pieces of a prompt that may be imported.

        Each router may import at an equal share of the store's rate, so that the imports of all
        routers together stay within that rate.

        Args:
          chain: Piece keys of the prompt.
          piece_tokens: Tokens of one piece.
          router_count: Number of routers that share the store.
          now: Monotonic seconds.
        """
        pieces = self._exported_depth(chain) if self.settings else 0
        if not pieces:
            return NO_OFFER
        incarnation = self.exporters[chain[pieces - 1]]
        rate = self.settings.tokens_per_second
        if self._refilled_bucket(rate / router_count, now).wait_seconds(pieces * piece_tokens) > 0:
            return NO_OFFER
        return ImportOffer(pieces, incarnation, rate)

    def _exported_depth(self, chain: tuple[int, ...]) -> int:
        """Return the number of leading pieces up to the last one that was exported.

        An engine exports a piece together with all pieces before it.
        """
        for position in range(len(chain) - 1, -1, -1):
            if chain[position] in self.exporters:
                return position + 1
        return 0

    def charge_import(self, tokens: int) -> None:
        """Charge the tokens of an import to this router's share of the rate."""
        self.bucket.level -= tokens

    def pieces_to_export(self, chain: tuple[int, ...], now: float) -> int:
        """Return how many leading pieces an engine should export with this prompt, 0 for none.

        Args:
          chain: Piece keys of the prompt.
          now: Monotonic seconds.
        """
        outer = self.shared_prefixes.get(chain[0]) if chain and self.settings else None
        if outer is None:
            return 0
        inner = (
            self.shared_prefixes.get(chain[len(outer.chain)])
            if len(outer.chain) < len(chain)
            else None
        )
        for entry in (inner, outer):
            if entry is not None and self._should_export(entry, now):
                entry.export_requested_at = now
                return len(entry.chain)
        return 0

    def _should_export(self, entry: SharedPrefix, now: float) -> bool:
        is_recent = now - entry.export_requested_at < EXPORT_RETRY_SECONDS
        is_stored = bool(entry.chain) and entry.chain[-1] in self.exporters
        is_shared = entry.requests >= self.settings.export_after_requests
        return is_shared and not is_recent and not is_stored

    def record_export(self, keys: tuple[int, ...], incarnation: str) -> None:
        """Record that an engine exported pieces, unless its incarnation is known to be dead.

        Args:
          keys: Keys of the pieces.
          incarnation: Incarnation of the engine.
        """
        if incarnation in self.dead_incarnations:
            return
        for key in keys:
            self.exporters[key] = incarnation
            self.exporters.move_to_end(key)
        while len(self.exporters) > MAX_EXPORTED_PIECES:
            self.exporters.popitem(last=False)

    def record_death(self, incarnation: str) -> None:
        """Mark an incarnation of an engine as dead and drop its exports.

        Repeated calls for the same incarnation, as at each poll, have no effect.
        """
        if incarnation in self.dead_incarnations:
            return
        self.dead_incarnations[incarnation] = None
        if len(self.dead_incarnations) > MAX_PREFIXES:
            self.dead_incarnations.popitem(last=False)
        lost_keys = [key for key, exporter in self.exporters.items() if exporter == incarnation]
        for key in lost_keys:
            del self.exporters[key]

    def record_alive(self, incarnation: str) -> None:
        """Accept exports again of an incarnation that was only unreachable."""
        self.dead_incarnations.pop(incarnation, None)

    def _refilled_bucket(self, rate: float, now: float) -> buckets.Bucket:
        if self.bucket is None:
            self.bucket = limits.full_bucket(rate, now)
        self.bucket.refill(rate, rate * limits.BURST_SECONDS, now)
        return self.bucket


def _common_prefix(first: tuple[int, ...], second: tuple[int, ...]) -> tuple[int, ...]:
    """Return the longest common prefix of two chains."""
    for position, (left, right) in enumerate(zip(first, second, strict=False)):
        if left != right:
            return first[:position]
    return first[: len(second)]
