"""Differences of encoded configuration heads, for spreading changes between routers."""

import hashlib

from bronzemux import errors, wire

DIGEST_BYTES = 16


class DeltaError(errors.BronzemuxError):
    """A difference does not fit the head that it should apply to."""


def diff(base: int, old: bytes, new: bytes) -> wire.ConfigDelta:
    """Return the difference that leads from one encoded head to another.

    Args:
      base: Version of the old head.
      old: Old head.
      new: New head.
    """
    start = _common_prefix(old, new)
    limit = min(len(old), len(new)) - start
    end = min(limit, _common_prefix(old[start:][::-1], new[start:][::-1]))
    middle = new[start : len(new) - end]
    return wire.ConfigDelta(base, start, end, middle, digest(new))


def apply(delta: wire.ConfigDelta, old: bytes) -> bytes:
    """Return the new encoded head.

    Args:
      delta: The difference.
      old: Encoded head of the version that it applies to.

    Raises:
      DeltaError: When the result is not the head that was meant.
    """
    new = old[: delta.start] + delta.middle + old[len(old) - delta.end :]
    if digest(new) != delta.digest:
        raise DeltaError("the difference does not fit", "ask for the whole configuration")
    return new


def digest(content: bytes) -> bytes:
    """Return the digest of an encoded head."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def _common_prefix(first: bytes, second: bytes) -> int:
    """Return the number of equal bytes at the beginning, by bisection."""
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
