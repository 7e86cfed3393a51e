"""Claim row: states, content and keys."""

import dataclasses
import enum
import hashlib

import cbor2

from bronzemux import table

KEY_PREFIX = "claim/"


class State(enum.Enum):
    """State of a claim."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """Answer of a request that ran.

    Attributes:
      status: HTTP status.
      content_type: Type of the parts.
      parts: Payloads of the parts; one for an answer that is not streamed.
    """

    status: int
    content_type: str
    parts: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Claim:
    """A row as it is stored.

    Attributes:
      key: Key of the row.
      version: Version of the row.
      state: State.
      nonce: Identity of the request that holds the claim.
      content: Digest of the request's content.
      router: Router that holds it.
      since: Seconds of UTC time at which the state was entered.
      answer: Answer, when done and short.
      answer_object: Name of the object with a long answer.
    """

    key: str
    version: int
    state: State
    nonce: str
    content: str
    router: str
    since: float
    answer: StoredResponse | None = None
    answer_object: str = ""


def row_key(team: str, key: str) -> str:
    """Return the row key of a team's idempotency key.

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
    """Return the content of a row."""
    answer = dataclasses.astuple(claim.answer) if claim.answer else None
    fields = [
        claim.state.value,
        claim.nonce,
        claim.content,
        claim.router,
        claim.since,
        answer,
        claim.answer_object,
    ]
    return cbor2.dumps(fields)


def decode(row: table.Row) -> Claim:
    """Return the claim that a row holds."""
    state, nonce, content, router, since, answer, name = cbor2.loads(row.value)
    return Claim(
        row.key,
        row.version,
        State(state),
        nonce,
        content,
        router,
        since,
        decode_answer(answer),
        name,
    )


def decode_answer(fields) -> StoredResponse | None:
    """Return the answer that decoded fields hold, None for none."""
    if fields is None:
        return None
    status, content_type, parts = fields
    return StoredResponse(status, content_type, tuple(parts))


def write_of(claim: Claim) -> table.Write:
    """Return the write that brings a row to the version of a claim."""
    return table.Write(claim.key, claim.version - 1, encode(claim))
