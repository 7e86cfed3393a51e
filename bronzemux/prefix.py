"""Cache keys: hash chains over the fixed-size pieces of a prompt."""

import hashlib
from collections.abc import Iterator

DIGEST_BYTES = 8
SALT_BYTES = 16


def salt(team: str, model: str, adapter: str, weights_version: str) -> bytes:
    """Return the seed of all cache keys of one team, model, adapter and weights version.

    Each part is prefixed with its length, so that no two combinations encode to the same bytes.

    Args:
      team: Name of the team.
      model: Name of the model.
      adapter: Name and version of the adapter, or the empty string.
      weights_version: Version of the weights.

    Returns:
      `SALT_BYTES` bytes.
    """
    hasher = hashlib.blake2b(digest_size=SALT_BYTES)
    for part in (team, model, adapter, weights_version):
        encoded = part.encode()
        hasher.update(len(encoded).to_bytes(4, "big"))
        hasher.update(encoded)
    return hasher.digest()


def pieces(text: bytes, piece_bytes: int) -> Iterator[bytes]:
    """Iterate over the pieces of a prompt, without a shorter remainder at the end.

    Args:
      text: The prompt.
      piece_bytes: Size of a piece in bytes.
    """
    for start in range(0, len(text) - piece_bytes + 1, piece_bytes):
        yield text[start : start + piece_bytes]


def chain(seed: bytes, text: bytes, piece_bytes: int) -> tuple[int, ...]:
    """Return the cache key of each full piece of a prompt.

    A key depends on the seed, its piece and all pieces before it.

    Args:
      seed: Result of `salt`.
      text: The prompt.
      piece_bytes: Size of a piece in bytes.

    Returns:
      Unsigned integers of `DIGEST_BYTES` bytes, one per piece.
    """
    keys = []
    state = seed
    for piece in pieces(text, piece_bytes):
        state = hashlib.blake2b(piece, key=state, digest_size=SALT_BYTES).digest()
        keys.append(int.from_bytes(state[:DIGEST_BYTES], "big"))
    return tuple(keys)
