"""Encoding of claims as rows of the table service."""

import dataclasses
import enum
import hashlib

import cbor2

from bronzemux import errors, plain_values, store_version, table

KEY_PREFIX = "claim/"
# The final statuses of HTTP.
MIN_STATUS = 200
MAX_STATUS = 999


class State(enum.Enum):
    """State of a claim.

    Attributes:
      STARTED: The request may be running.
      DONE: The request ran and has a response.
      UNKNOWN: The request may or may not have run.
      RELEASED: The request did not run; another request may claim the key.
    """

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """Response of a request that ran, kept for retries of the request.

    Attributes:
      status: HTTP status.
      content_type: Media type of the body.
      parts: The body, or the data of each event when the response is a stream.
    """

    status: int
    content_type: str
    parts: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Claim:
    """A claim on an idempotency key.

    Attributes:
      key: Key of the row.
      version: Version of the row.
      state: State.
      nonce: Unique identifier of the request that holds the claim.
      content_digest: Digest of the request's content.
      router: Identity of the router process that holds the claim.
      since: UTC time at which the claim entered its state, in seconds since the epoch.
      response: Response of a request that is done, when it is short enough for the row; None
        once it was removed after its expiry.
      response_object: Name of the object that holds a longer response, empty for none.
    """

    key: str
    version: int
    state: State
    nonce: str
    content_digest: str
    router: str
    since: float
    response: StoredResponse | None = None
    response_object: str = ""


def row_key(team: str, key: str) -> str:
    """Return the row key of the claim on a team's idempotency key, a hash of both.

    Args:
      team: Name of the team.
      key: Idempotency key of the caller.
    """
    hasher = hashlib.blake2b(digest_size=16)
    for part in (team.encode(), key.encode()):
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return KEY_PREFIX + hasher.hexdigest()


def encode(claim: Claim) -> bytes:
    """Return the value of the row that holds a claim."""
    response = dataclasses.astuple(claim.response) if claim.response else None
    fields = [
        claim.state.value,
        claim.nonce,
        claim.content_digest,
        claim.router,
        claim.since,
        response,
        claim.response_object,
    ]
    return cbor2.dumps(fields)


def decode(row: table.Row) -> Claim:
    """Return the claim that a row holds.

    Raises:
      errors.ClaimRowError: When the value is malformed.
    """
    try:
        state, nonce, digest, router, since, response, name = plain_values.items(
            plain_values.load_cbor(row.value), 7
        )
        return Claim(
            row.key,
            row.version,
            State(plain_values.name(state)),
            plain_values.name(nonce),
            plain_values.name(digest),
            plain_values.name(router),
            plain_values.number(since),
            None if response is None else _decode_response(response),
            plain_values.name(name),
        )
    except plain_values.CHECK_ERRORS as error:
        raise errors.ClaimRowError(
            f"the claim {row.key} is malformed: {plain_values.cause(error)}",
            "check at the service whether its request ran, then correct the row",
        ) from error


def decode_response(content: bytes) -> StoredResponse:
    """Return the response that an object holds.

    Raises:
      errors.ClaimRowError: When the content is malformed.
    """
    try:
        return _decode_response(plain_values.load_cbor(content))
    except plain_values.CHECK_ERRORS as error:
        raise errors.ClaimRowError(
            f"a stored response is malformed: {plain_values.cause(error)}",
            "check the writer of the object",
        ) from error


def _decode_response(fields) -> StoredResponse:
    status, content_type, parts = plain_values.items(fields, 3)
    if any(character in plain_values.text(content_type) for character in "\r\n\0"):
        raise ValueError("the media type has a line break")
    return StoredResponse(
        plain_values.integer(status, MIN_STATUS, MAX_STATUS),
        content_type,
        tuple(plain_values.typed(part, bytes) for part in plain_values.items(parts)),
    )


def to_write(claim: Claim) -> table.Write:
    """Return the write that replaces the preceding version of the row of a claim."""
    is_first = store_version.number_of(claim.version) == 1
    return table.Write(claim.key, table.ABSENT if is_first else claim.version - 1, encode(claim))
