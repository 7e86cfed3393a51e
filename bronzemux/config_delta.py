"""Deltas between encoded configuration heads, for sending changes to other routers."""

import hashlib

from bronzemux import errors, wire

DIGEST_BYTES = 16


class DeltaError(errors.BronzemuxError):
    """A delta does not apply to the head that the receiver has."""


def diff(base: int, old: bytes, new: bytes) -> wire.ConfigDelta:
    """Return the delta that turns one encoded head into another.

    Args:
      base: Version of the old head.
      old: Old encoded head.
      new: New encoded head.
    """
    start = _common_prefix_length(old, new)
    limit = min(len(old), len(new)) - start
    end = min(limit, _common_prefix_length(old[start:][::-1], new[start:][::-1]))
    middle = new[start : len(new) - end]
    return wire.ConfigDelta(base, start, end, middle, digest(new))


def apply(delta: wire.ConfigDelta, old: bytes) -> bytes:
    """Return the new encoded head.

    Args:
      delta: The delta.
      old: Encoded head of the delta's base version.

    Raises:
      DeltaError: When the digest of the result differs from that of the new head.
    """
    new = old[: delta.start] + delta.middle + old[len(old) - delta.end :]
    if digest(new) != delta.digest:
        raise DeltaError("the digest of the result differs", "request the whole configuration")
    return new


def digest(content: bytes) -> bytes:
    """Return the digest of an encoded head."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def _common_prefix_length(first: bytes, second: bytes) -> int:
    """Return the length in bytes of the common prefix, found by bisection."""
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
