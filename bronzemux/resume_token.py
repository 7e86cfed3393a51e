"""Signed tokens with which any router can resume a stream that another router served."""

import base64
import binascii
import dataclasses

import cbor2

from bronzemux import errors, signing

MAX_TOKEN_LENGTH = 1000
LIFETIME_SECONDS = 600


@dataclasses.dataclass(frozen=True)
class Token:
    """Content of a resume token.

    Attributes:
      team: Name of the team that may resume the stream.
      endpoint: Name of the endpoint that runs the request.
      incarnation: Incarnation of the engine.
      request_id: Id of the job at the engine.
      part_offset: Number that part 0 of the job has in the response to the caller.
      wants_usage: Whether the caller requested the usage part of the stream.
      issued_at: Time of issue, in seconds since the epoch.
    """

    team: str
    endpoint: str
    incarnation: str
    request_id: str
    part_offset: int
    wants_usage: bool
    issued_at: int


def sign(token: Token, key: bytes) -> str:
    """Sign a token and return it as text.

    Args:
      token: Content of the token.
      key: Key that all routers share.
    """
    payload = cbor2.dumps(dataclasses.astuple(token))
    return base64.urlsafe_b64encode(signing.sign(payload, key)).decode()


def verify(text: str, key_ring: tuple[bytes, ...], now: float) -> Token:
    """Verify a token and return its content.

    Args:
      text: Token as the caller sent it.
      key_ring: Accepted keys.
      now: Present time, in seconds since the epoch.

    Raises:
      errors.InvalidRequestError: When the token is malformed or expired, or its signature is
        invalid.
    """
    try:
        payload = signing.verify(_decode(text), key_ring)
    except signing.SignatureError as error:
        raise _invalid_token("its signature is invalid") from error
    token = Token(*cbor2.loads(payload))
    if now - token.issued_at > LIFETIME_SECONDS:
        raise _invalid_token("it has expired")
    return token


def _decode(text: str) -> bytes:
    if len(text) > MAX_TOKEN_LENGTH:
        raise _invalid_token("it is too long")
    try:
        return base64.urlsafe_b64decode(text.encode("ascii"))
    except (binascii.Error, ValueError) as error:
        raise _invalid_token("it is not base64") from error


def _invalid_token(reason: str) -> errors.InvalidRequestError:
    return errors.InvalidRequestError(
        f"the resume token is invalid: {reason}", "send the request again if it is idempotent"
    )
