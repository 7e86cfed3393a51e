"""What one router knows of the KV cache store, and when engines export to it and import from it."""

import collections
import dataclasses

from bronzemux import config, limits

MAX_KEYS = 100_000
MAX_PREFIXES = 5_000
EXPORT_RETRY_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class Stored:
    """Leading pieces of a prompt that an engine may import.

    Attributes:
      pieces: Number of pieces, 0 for none.
      incarnation: Process of the living engine that exported them.
      tokens_per_second: Speed of an import.
    """

    pieces: int = 0
    incarnation: str = ""
    tokens_per_second: float = 0.0


NOTHING = Stored()


@dataclasses.dataclass
class SharedPrefix:
    """Pieces that the prompts under one first piece have in common.

    Attributes:
      chain: The common pieces.
      requests: Prompts seen.
      asked_at: Monotonic seconds when their export was asked for last.
    """

    chain: tuple[int, ...]
    requests: int = 0
    asked_at: float = -1e9


class CacheStoreTracker:
    """Exports and imports of one router; owned by one task.

    Pieces are known under the incarnation that exported them, and are forgotten with it, so that
    no request uses entries of an engine that died.
    """

    def __init__(self):
        self.settings: config.CacheStore | None = None
        self.exporters: collections.OrderedDict[int, str] = collections.OrderedDict()
        self.shared: collections.OrderedDict[int, SharedPrefix] = collections.OrderedDict()
        self.dead: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.bucket: limits.Bucket | None = None

    def apply(self, settings: config.CacheStore | None) -> None:
        """Take over the settings of a configuration; None for no store."""
        self.settings = settings
        if settings is None:
            self.exporters.clear()

    def record_prompt(self, chain: tuple[int, ...]) -> None:
        """Count a prompt towards the prefix that it shares with others.

        Args:
          chain: Piece keys of the prompt.
        """
        if self.settings is None or not chain:
            return
        upper = self._count(chain[0], chain)
        if upper < len(chain):
            self._count(chain[upper], chain)

    def _count(self, key: int, chain: tuple[int, ...]) -> int:
        """Count a prompt under a key; return the length of what its prompts have in common."""
        known = self.shared.get(key)
        if known is None:
            known = self.shared[key] = SharedPrefix(chain)
        known.requests += 1
        known.chain = _common(known.chain, chain)
        self.shared.move_to_end(key)
        if len(self.shared) > MAX_PREFIXES:
            self.shared.popitem(last=False)
        return len(known.chain)

    def find_import(
        self, chain: tuple[int, ...], piece_tokens: int, peers: int, now: float
    ) -> Stored:
        """Return what may be imported for a prompt.

        The imports of all routers together stay within the rate of the store, because each
        router grants its own part.

        Args:
          chain: Piece keys of the prompt.
          piece_tokens: Tokens of one piece.
          peers: Routers that share the store.
          now: Monotonic seconds.
        """
        pieces = self._depth(chain) if self.settings else 0
        if not pieces:
            return NOTHING
        incarnation = self.exporters[chain[pieces - 1]]
        rate = self.settings.tokens_per_second
        if self._refilled(rate / peers, now).wait(pieces * piece_tokens) > 0:
            return NOTHING
        return Stored(pieces, incarnation, rate)

    def _depth(self, chain: tuple[int, ...]) -> int:
        """Return the number of leading pieces up to the deepest one that was exported.

        An engine exports a piece together with all pieces before it.
        """
        for position in range(len(chain) - 1, -1, -1):
            if chain[position] in self.exporters:
                return position + 1
        return 0

    def charge_import(self, tokens: int) -> None:
        """Take the tokens of an import out of this router's part."""
        self.bucket.level -= tokens

    def export_pieces(self, chain: tuple[int, ...], now: float) -> int:
        """Return how many leading pieces an engine should export with this prompt, 0 for none.

        Args:
          chain: Piece keys of the prompt.
          now: Monotonic seconds.
        """
        upper = self.shared.get(chain[0]) if chain and self.settings else None
        if upper is None:
            return 0
        lower = self.shared.get(chain[len(upper.chain)]) if len(upper.chain) < len(chain) else None
        for known in (lower, upper):
            if known is not None and self._should_export(known, now):
                known.asked_at = now
                return len(known.chain)
        return 0

    def _should_export(self, known: SharedPrefix, now: float) -> bool:
        is_recent = now - known.asked_at < EXPORT_RETRY_SECONDS
        is_stored = bool(known.chain) and known.chain[-1] in self.exporters
        is_shared = known.requests >= self.settings.export_after_requests
        return is_shared and not is_recent and not is_stored

    def record_export(self, keys: tuple[int, ...], incarnation: str) -> None:
        """Record that an engine exported pieces, unless it is known to be dead.

        Args:
          keys: Keys of the pieces.
          incarnation: Process of the engine.
        """
        if incarnation in self.dead:
            return
        for key in keys:
            self.exporters[key] = incarnation
            self.exporters.move_to_end(key)
        while len(self.exporters) > MAX_KEYS:
            self.exporters.popitem(last=False)

    def forget(self, incarnation: str) -> None:
        """Drop what an engine that died had exported; repeats, as at each poll, cost nothing."""
        if incarnation in self.dead:
            return
        self.dead[incarnation] = None
        if len(self.dead) > MAX_PREFIXES:
            self.dead.popitem(last=False)
        gone = [key for key, owner in self.exporters.items() if owner == incarnation]
        for key in gone:
            del self.exporters[key]

    def revive(self, incarnation: str) -> None:
        """Accept exports of an engine again that was only out of reach."""
        self.dead.pop(incarnation, None)

    def _refilled(self, rate: float, now: float) -> limits.Bucket:
        if self.bucket is None:
            self.bucket = limits.Bucket(rate, rate * limits.BURST_SECONDS, now)
        self.bucket.refill(rate, now)
        return self.bucket


def _common(first: tuple[int, ...], second: tuple[int, ...]) -> tuple[int, ...]:
    """Return the leading pieces that two chains have in common."""
    for position, (left, right) in enumerate(zip(first, second, strict=False)):
        if left != right:
            return first[:position]
    return first[: len(second)]
