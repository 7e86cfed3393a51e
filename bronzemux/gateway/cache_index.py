"""Belief about which endpoint holds which prefix of a prompt.

A prefix is identified by the cache salt and the parts up to its end. The salt holds the weights
version and, for an isolated team, the team, so an entry never stands for other weights or teams.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Callable

from bronzemux import logs
from bronzemux.gateway import model

# Part of an endpoint's memory that is believed to hold cached prefixes; running requests take
# the rest. A prompt at the mean of the largest kind leaves about this much to the cache.
CACHE_SHARE = 0.7
# News that wait for the next status message; older ones are dropped, and found out again.
NEWS_LIMIT = 256
# Bytes of a key: two of a million prefixes are the same once in 10^7 deployments.
KEY_BYTES = 8
# Epoch of a cache store that does not answer.
STORE_DOWN = -1

PrefixKey = bytes


def prefix_keys(salt: str, parts: tuple[model.PromptPart, ...]) -> list[tuple[PrefixKey, int]]:
    """Return key and tokens of each prefix that ends with a part.

    Args:
      salt: Cache salt.
      parts: Parts in order.
    """
    keys, tokens = [], 0
    hasher = hashlib.blake2b(salt.encode(), digest_size=KEY_BYTES)
    for part in parts:
        hasher.update(b"\0" + part.id.encode())
        tokens += part.tokens
        keys.append((hasher.copy().digest(), tokens))
    return keys


@dataclasses.dataclass
class Held:
    """A prefix at a holder.

    Attributes:
      tokens: Tokens of its last part.
      ready_at: Monotonic seconds from which it can be fetched; until then it is being read.
    """

    tokens: int
    ready_at: float


@dataclasses.dataclass(frozen=True)
class PrefixRecord:
    """A prefix that this gateway found out."""

    key: PrefixKey
    tokens: int
    holder: str
    ready_at: float


class CacheIndex:
    """Prefixes by holder, the least recently used first to go.

    A holder is the lifetime of an endpoint or the address of a cache store.
    """

    def __init__(self):
        self.held: dict[str, collections.OrderedDict[PrefixKey, Held]] = {}
        self.tokens: dict[str, int] = {}
        self.epochs: dict[str, int] = {}
        self.on_update: list[Callable[[], None]] = []
        self.news: collections.deque[PrefixRecord] = collections.deque(maxlen=NEWS_LIMIT)

    def add(self, item: PrefixRecord, capacity: int, is_own: bool) -> None:
        """Note that a holder has a prefix, or will have it.

        Args:
          item: The prefix.
          capacity: Tokens that the holder can keep.
          is_own: Whether this gateway found it out, so that peers are told.
        """
        held = self.held.setdefault(item.holder, collections.OrderedDict())
        known = held.get(item.key)
        if known is not None:
            held.move_to_end(item.key)
            known.ready_at = min(known.ready_at, item.ready_at)
            return
        held[item.key] = Held(item.tokens, item.ready_at)
        self.tokens[item.holder] = self.tokens.get(item.holder, 0) + item.tokens
        while self.tokens[item.holder] > capacity and len(held) > 1:
            self.tokens[item.holder] -= held.popitem(last=False)[1].tokens
        if is_own:
            self.news.append(item)
            for listener in self.on_update:
                listener()

    def holds(self, holder: str, key: PrefixKey) -> bool:
        """Return whether a holder is believed to have a prefix, or to be reading it."""
        return key in self.held.get(holder, ())

    def depth(self, holder: str, keys: list[tuple[PrefixKey, int]], now: float | None) -> int:
        """Return the tokens of the longest prefix that a holder is believed to have.

        Args:
          holder: The holder.
          keys: Key and tokens of each prefix.
          now: Monotonic seconds, to leave out what is still being read; None to count it.
        """
        held = self.held.get(holder)
        if not held:
            return 0
        found = 0
        for key, tokens in keys:
            item = held.get(key)
            if item is not None and (now is None or item.ready_at <= now):
                found = tokens
        return found

    def drop(self, holder: str, key: PrefixKey) -> None:
        """Note that a holder does not have a prefix after all."""
        item = self.held.get(holder, {}).pop(key, None)
        if item is not None:
            self.tokens[holder] -= item.tokens

    def record_store_epoch(self, address: str, epoch: int) -> bool:
        """Note the epoch of a cache store, `STORE_DOWN` when it does not answer.

        Returns:
          Whether it changed; what the store had is then forgotten.
        """
        known = self.epochs.get(address)
        self.epochs[address] = epoch
        if known is None or known == epoch:
            return False
        self.forget(address)
        logs.event("cache_store_changed", "warning", address=address, known=known, epoch=epoch)
        return True

    def is_store_up(self, address: str) -> bool:
        """Return whether a cache store is not known to be down."""
        return self.epochs.get(address) != STORE_DOWN

    def forget(self, holder: str) -> None:
        """Drop all that a holder had."""
        self.held.pop(holder, None)
        self.tokens.pop(holder, None)

    def take_updates(self) -> list[PrefixRecord]:
        """Return what was found out since the last call."""
        news = list(self.news)
        self.news.clear()
        return news
