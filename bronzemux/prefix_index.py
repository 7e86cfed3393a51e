"""Prefix index: maps pieces of prompts to the endpoints that cache them."""

import collections

DEFAULT_CAPACITY_KEYS = 200_000
MAX_RETIRED_BITS = 64


class PrefixIndex:
    """Bounded map from piece keys to the endpoints that hold them.

    Every endpoint incarnation owns one bit; an entry is the set of endpoints as an integer bit
    mask. Dropping an endpoint only retires its bit, in constant time. Once more than
    `MAX_RETIRED_BITS` are retired, they are cleared in all entries and can be reused.

    Args:
      capacity: Maximum number of keys; the least recently used are evicted first.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY_KEYS):
        self.capacity = capacity
        self.entries: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.bits: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.live_mask = 0
        self.retired_mask = 0
        self.free_bits: list[int] = []
        self.next_bit = 0

    def __len__(self) -> int:
        return len(self.entries)

    def insert(self, endpoint: str, keys: tuple[int, ...]) -> None:
        """Record that an endpoint holds pieces.

        Args:
          endpoint: Name of the endpoint.
          keys: Keys of the pieces.
        """
        mask = 1 << self._endpoint_bit(endpoint)
        entries = self.entries
        for key in keys:
            entries[key] = entries.get(key, 0) | mask
            entries.move_to_end(key)
        while len(entries) > self.capacity:
            entries.popitem(last=False)

    def remove(self, endpoint: str, keys: tuple[int, ...]) -> None:
        """Record that an endpoint evicted pieces.

        Args:
          endpoint: Name of the endpoint.
          keys: Keys of the pieces.
        """
        if endpoint not in self.bits:
            return
        keep_mask = ~(1 << self.bits[endpoint])
        for key in keys:
            if key in self.entries:
                self._set_entry(key, self.entries[key] & keep_mask & self.live_mask)

    def forget(self, endpoint: str) -> None:
        """Drop all entries of an endpoint by retiring its bit.

        Args:
          endpoint: Name of the endpoint.
        """
        bit = self.bits.pop(endpoint, None)
        if bit is None:
            return
        del self.names[bit]
        self.live_mask &= ~(1 << bit)
        self.retired_mask |= 1 << bit
        if self.retired_mask.bit_count() > MAX_RETIRED_BITS:
            self._clear_retired_bits()

    def overlaps(self, keys: tuple[int, ...]) -> dict[str, int]:
        """Return how many leading pieces each endpoint holds.

        Args:
          keys: Piece keys of the prompt.

        Returns:
          Number of leading pieces by endpoint name, without endpoints that hold none.
        """
        result: dict[str, int] = {}
        holders = self.live_mask
        for level, key in enumerate(keys):
            remaining = holders & self.entries.get(key, 0)
            if remaining != holders:
                self._set_level(result, holders & ~remaining, level)
            if not remaining:
                return result
            holders = remaining
        self._set_level(result, holders, len(keys))
        return result

    def _set_level(self, result: dict[str, int], mask: int, level: int) -> None:
        """Set the number of leading pieces of the endpoints in a bit mask."""
        while mask and level:
            lowest = mask & -mask
            result[self.names[lowest.bit_length() - 1]] = level
            mask ^= lowest

    def _endpoint_bit(self, endpoint: str) -> int:
        if endpoint not in self.bits:
            bit = self.free_bits.pop() if self.free_bits else self.next_bit
            self.next_bit = max(self.next_bit, bit + 1)
            self.bits[endpoint] = bit
            self.names[bit] = endpoint
            self.live_mask |= 1 << bit
        return self.bits[endpoint]

    def _set_entry(self, key: int, mask: int) -> None:
        if mask:
            self.entries[key] = mask
        else:
            del self.entries[key]

    def _clear_retired_bits(self) -> None:
        for key, mask in list(self.entries.items()):
            self._set_entry(key, mask & self.live_mask)
        self.free_bits.extend(b for b in range(self.next_bit) if self.retired_mask >> b & 1)
        self.retired_mask = 0
