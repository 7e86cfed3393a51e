"""Cache identity: hash chains over the fixed pieces of a prompt."""

import hashlib
from collections.abc import Iterator

DIGEST_BYTES = 8
SALT_BYTES = 16


def salt(team: str, model: str, adapter: str, weights_version: str) -> bytes:
    """Return the seed of all cache keys of one team and weights version.

    Each part is preceded by its length, so that no two identities encode alike.

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
    """Iterate over the whole pieces of a prompt; a shorter rest is left out.

    Args:
      text: The prompt.
      piece_bytes: Size of a piece in bytes.
    """
    for start in range(0, len(text) - piece_bytes + 1, piece_bytes):
        yield text[start : start + piece_bytes]


def chain(seed: bytes, text: bytes, piece_bytes: int) -> tuple[int, ...]:
    """Return one key for each whole piece of a prompt.

    A key depends on the seed and on all pieces up to its own.

    Args:
      seed: Result of `salt`.
      text: The prompt.
      piece_bytes: Size of a piece in bytes.

    Returns:
      Unsigned integers of `DIGEST_BYTES` bytes, one a piece.
    """
    keys = []
    state = seed
    for piece in pieces(text, piece_bytes):
        state = hashlib.blake2b(piece, key=state, digest_size=SALT_BYTES).digest()
        keys.append(int.from_bytes(state[:DIGEST_BYTES], "big"))
    return tuple(keys)
