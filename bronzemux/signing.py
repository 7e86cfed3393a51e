"""Message authentication codes (HMAC-SHA256) with a ring of shared keys."""

import hashlib
import hmac

from bronzemux import errors

CODE_BYTES = 16


class SignatureError(errors.BronzemuxError):
    """No key of the key ring matches the authentication code."""


def sign(payload: bytes, key: bytes) -> bytes:
    """Return the authentication code of a payload, followed by the payload.

    Args:
      payload: Content to sign.
      key: Shared key.
    """
    return _code(payload, key) + payload


def verify(signed: bytes, key_ring: tuple[bytes, ...]) -> bytes:
    """Return the payload of signed bytes after checking its authentication code.

    Args:
      signed: Result of `sign`.
      key_ring: Accepted keys; more than one allows key rotation without downtime.

    Raises:
      SignatureError: When no key matches.
    """
    code, payload = signed[:CODE_BYTES], signed[CODE_BYTES:]
    matches = [hmac.compare_digest(code, _code(payload, key)) for key in key_ring]
    if not any(matches):
        raise SignatureError("the authentication code is invalid", "compare the shared keys")
    return payload


def _code(payload: bytes, key: bytes) -> bytes:
    return hmac.new(key, payload, hashlib.sha256).digest()[:CODE_BYTES]
