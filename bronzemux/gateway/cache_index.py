"""Index of the prompt prefixes that endpoints and cache stores are assumed to have cached.

A prefix is identified by the cache salt and the prompt parts up to its end. The salt contains the
weights version and the namespace of the team, so an entry never matches other weights or isolated
teams.
"""

import collections
import functools
import hashlib
from collections.abc import Callable, Set

from bronzemux import logs, records
from bronzemux.gateway import model

# Fraction of an endpoint's KV memory that is assumed to hold cached prefixes; running requests take
# the rest. Prompts of the largest kind, at their mean length, leave about this fraction to the
# cache.
CACHE_FRACTION = 0.7
# Most updates queued for the next status message. Older ones are dropped; peers find these prefixes
# through their own requests.
MAX_PENDING_UPDATES = 256
# Long enough that among a million prefixes two keys collide in one of 10^7 deployments.
KEY_BYTES = 8
# The names of namespaces have to differ for any names of teams.
NAMESPACE_BYTES = 16
# Epoch recorded for a cache store that does not answer.
STORE_DOWN = -1

PrefixKey = bytes


def namespace_of(team: model.Team | None, isolated_teams: frozenset[str]) -> str:
    """Return the namespace of the prompt parts of a team's requests.

    Each isolated team has a namespace of its own; the other teams share one. Endpoints do not
    record who computed a part, so the shared namespace depends on which teams are isolated: once a
    team is, the others no longer use the namespace to which it has contributed. Namespaces depend
    on nothing else, so routers with the same configuration agree on them without having seen
    earlier ones.

    Args:
      team: The team, None for a request without one.
      isolated_teams: Names of all isolated teams.

    Returns:
      The namespace, empty for that of all teams while none is isolated.
    """
    if team is not None and team.name in isolated_teams:
        return team_namespace(team)
    return _shared_namespace(isolated_teams)


def team_namespace(team: model.Team) -> str:
    """Return the namespace that only one team uses."""
    return f"team-{_digest(team.name)}"


@functools.lru_cache
def _shared_namespace(isolated_teams: frozenset[str]) -> str:
    if not isolated_teams:
        return ""
    # Digests have one length, so different sets of names never give the same text.
    return f"shared-{_digest(''.join(sorted(map(_digest, isolated_teams))))}"


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=NAMESPACE_BYTES).hexdigest()


def prefix_keys(salt: str, parts: tuple[model.PromptPart, ...]) -> list[tuple[PrefixKey, int]]:
    """Return the key and the length in tokens of each prefix that ends with a part.

    Args:
      salt: Cache salt.
      parts: Prompt parts in order.
    """
    keys, tokens = [], 0
    hasher = hashlib.blake2b(salt.encode(), digest_size=KEY_BYTES)
    for part in parts:
        hasher.update(b"\0" + part.id.encode())
        tokens += part.tokens
        keys.append((hasher.copy().digest(), tokens))
    return keys


@records.state
class CachedPrefix:
    """A prefix in the cache of a holder.

    Attributes:
      tokens: Tokens of its last part.
      ready_at: Monotonic seconds from which it can be fetched; it is being computed until then.
    """

    tokens: int
    ready_at: float


@records.record
class PrefixRecord:
    """A prefix that a holder has cached or is computing.

    Attributes:
      key: Key of the prefix.
      tokens: Tokens of its last part.
      holder: Incarnation of an endpoint, or address of a cache store.
      ready_at: Monotonic seconds from which it can be fetched.
    """

    key: PrefixKey
    tokens: int
    holder: str
    ready_at: float


class CacheIndex:
    """Cached prefixes by holder, with LRU eviction.

    A holder is the incarnation of an endpoint or the address of a cache store.

    Attributes:
      prefixes: Cached prefixes by holder and key, the least recently used first.
      holders: Holders of each prefix by key.
      tokens: Tokens of all cached prefixes by holder.
      epochs: Last epoch of each cache store, `STORE_DOWN` when it did not answer.
      on_update: Called when there is an update to announce to the peers.
      updates: Prefixes that have not been announced to the peers yet.
    """

    def __init__(self):
        self.prefixes: dict[str, collections.OrderedDict[PrefixKey, CachedPrefix]] = {}
        self.holders: dict[PrefixKey, set[str]] = {}
        self.tokens: dict[str, int] = {}
        self.epochs: dict[str, int] = {}
        self.on_update: list[Callable[[], None]] = []
        self.updates: collections.deque[PrefixRecord] = collections.deque(
            maxlen=MAX_PENDING_UPDATES
        )

    def add(self, item: PrefixRecord, capacity: int, is_own: bool) -> None:
        """Record that a holder has a prefix, or will have it.

        Args:
          item: The prefix.
          capacity: Tokens that the holder can cache.
          is_own: Whether this gateway observed it itself; it is then announced to the peers.
        """
        prefixes = self.prefixes.setdefault(item.holder, collections.OrderedDict())
        known = prefixes.get(item.key)
        if known is not None:
            prefixes.move_to_end(item.key)
            known.ready_at = min(known.ready_at, item.ready_at)
            return
        prefixes[item.key] = CachedPrefix(item.tokens, item.ready_at)
        self.holders.setdefault(item.key, set()).add(item.holder)
        self.tokens[item.holder] = self.tokens.get(item.holder, 0) + item.tokens
        while self.tokens[item.holder] > capacity and len(prefixes) > 1:
            key, evicted = prefixes.popitem(last=False)
            self.tokens[item.holder] -= evicted.tokens
            self._remove_holder(item.holder, key)
        if is_own:
            self.updates.append(item)
            for listener in self.on_update:
                listener()

    def _remove_holder(self, holder: str, key: PrefixKey) -> None:
        holders = self.holders[key]
        holders.discard(holder)
        if not holders:
            del self.holders[key]

    def holders_of(self, key: PrefixKey) -> Set[str]:
        """Return the holders that are assumed to have a prefix, or to be computing it."""
        return self.holders.get(key, frozenset())

    def holds(self, holder: str, key: PrefixKey) -> bool:
        """Return whether a holder is assumed to have a prefix, or to be computing it."""
        return key in self.prefixes.get(holder, ())

    def longest_match(
        self, holder: str, keys: list[tuple[PrefixKey, int]], now: float | None
    ) -> int:
        """Return the tokens of the longest prefix that a holder is assumed to have.

        Args:
          holder: The holder.
          keys: Key and tokens of each prefix, the shortest first.
          now: Monotonic seconds, to leave out what is still being computed; None to include it.
        """
        prefixes = self.prefixes.get(holder)
        if not prefixes:
            return 0
        matched = 0
        for key, tokens in keys:
            prefix = prefixes.get(key)
            if prefix is not None and (now is None or prefix.ready_at <= now):
                matched = tokens
        return matched

    def drop(self, holder: str, key: PrefixKey) -> None:
        """Remove a prefix that a holder does not have after all."""
        prefix = self.prefixes.get(holder, {}).pop(key, None)
        if prefix is not None:
            self.tokens[holder] -= prefix.tokens
            self._remove_holder(holder, key)

    def record_store_epoch(self, address: str, epoch: int) -> bool:
        """Record the epoch of a cache store, `STORE_DOWN` when it does not answer.

        Returns:
          Whether the epoch changed; the prefixes of the store are then dropped.
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
        """Drop all prefixes of a holder."""
        for key in self.prefixes.pop(holder, ()):
            self._remove_holder(holder, key)
        self.tokens.pop(holder, None)

    def take_updates(self) -> list[PrefixRecord]:
        """Remove and return the prefixes to announce to the peers."""
        taken = list(self.updates)
        self.updates.clear()
        return taken
