"""Authentication codes over bytes, with a ring of shared keys."""

import hashlib
import hmac

from bronzemux import errors

CODE_BYTES = 16


class SignatureError(errors.BronzemuxError):
    """No key of the ring made this authentication code."""


def sign(payload: bytes, key: bytes) -> bytes:
    """Return a payload with its authentication code before it.

    Args:
      payload: Content.
      key: Shared key that signs.
    """
    return _code(payload, key) + payload


def verify(sealed: bytes, key_ring: tuple[bytes, ...]) -> bytes:
    """Return the payload of sealed bytes.

    Args:
      sealed: Result of `sign`.
      key_ring: Keys that are accepted; a second one makes rotation possible without a stop.

    Raises:
      SignatureError: When no key fits.
    """
    code, payload = sealed[:CODE_BYTES], sealed[CODE_BYTES:]
    matches = [hmac.compare_digest(code, _code(payload, key)) for key in key_ring]
    if not any(matches):
        raise SignatureError("the authentication code does not fit", "compare the shared keys")
    return payload


def _code(payload: bytes, key: bytes) -> bytes:
    return hmac.new(key, payload, hashlib.sha256).digest()[:CODE_BYTES]
