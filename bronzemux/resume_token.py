"""Signed tokens that let any router read on a stream that another router served."""

import base64
import binascii
import dataclasses

import cbor2

from bronzemux import errors, signing

MAX_TOKEN_LENGTH = 1000
LIFETIME_SECONDS = 600


@dataclasses.dataclass(frozen=True)
class Token:
    """Content of a token.

    Attributes:
      team: Name of the team that may read the stream.
      endpoint: Name of the endpoint that runs the request.
      incarnation: Process of the engine.
      request_id: Identity of the job at the engine.
      base: Number that the engine's first part has for the caller.
      wants_usage: Whether the caller gets the usage part.
      issued: UTC seconds.
    """

    team: str
    endpoint: str
    incarnation: str
    request_id: str
    base: int
    wants_usage: bool
    issued: int


def sign(token: Token, key: bytes) -> str:
    """Return the token as text with its authentication code.

    Args:
      token: Content.
      key: Key that all routers share.
    """
    payload = cbor2.dumps(dataclasses.astuple(token))
    return base64.urlsafe_b64encode(signing.sign(payload, key)).decode()


def verify(text: str, key_ring: tuple[bytes, ...], now: float) -> Token:
    """Return the content of a token.

    Args:
      text: Token as the caller sent it.
      key_ring: Keys that are accepted.
      now: UTC seconds.

    Raises:
      errors.InvalidRequestError: When it is not genuine or too old.
    """
    try:
        payload = signing.verify(_decode(text), key_ring)
    except signing.SignatureError as error:
        raise _invalid("it is not genuine") from error
    token = Token(*cbor2.loads(payload))
    if now - token.issued > LIFETIME_SECONDS:
        raise _invalid("it is too old")
    return token


def _decode(text: str) -> bytes:
    if len(text) > MAX_TOKEN_LENGTH:
        raise _invalid("it is too long")
    try:
        return base64.urlsafe_b64decode(text.encode("ascii"))
    except (binascii.Error, ValueError) as error:
        raise _invalid("it is not base64") from error


def _invalid(reason: str) -> errors.InvalidRequestError:
    return errors.InvalidRequestError(
        f"the resume token is refused: {reason}", "send the request again if it is idempotent"
    )
