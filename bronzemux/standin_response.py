"""Responses of the stand-in engine: deterministic words, and the state of each job."""

import dataclasses
import hashlib
from collections.abc import Iterator

from gevent import event

from bronzemux import engine, engine_http

SOFTWARE_SEPARATOR = "@"


@dataclasses.dataclass
class JobState:
    """A job and the parts of its response that have been generated.

    Attributes:
      request_id: Identity of the job.
      path: Path of the request.
      body: Decoded JSON body.
      chain: Cache keys of the pieces of the prompt.
      tokens: Tokens of the prompt.
      priority: 0 (first) to 9.
      continue_text: Beginning of the response that another engine generated; its words count as
        generated.
      transfer: What the engine imports from and exports to the KV cache store.
      imported_tokens: Prompt tokens imported from the store.
      exported_pieces: Pieces exported to the store.
      parts: Payloads of the events in order.
      changed: Event that wakes the readers; it is cleared at once so that they can wait again.
      is_done: Whether the last part has been generated.
      is_cancelled: Whether the job was cancelled.
    """

    request_id: str
    path: str
    body: dict
    chain: tuple[int, ...]
    tokens: int
    priority: int
    continue_text: str
    transfer: engine.Transfer = engine.NO_TRANSFER
    imported_tokens: int = 0
    exported_pieces: int = 0
    parts: list[bytes] = dataclasses.field(default_factory=list)
    changed: event.Event = dataclasses.field(default_factory=event.Event)
    is_done: bool = False
    is_cancelled: bool = False

    def append(self, data: bytes) -> None:
        """Append a part and wake the readers."""
        self.parts.append(data)
        self.is_done = data == engine.DONE
        self.changed.set()
        self.changed.clear()

    def read(self, offset: int) -> Iterator[bytes]:
        """Iterate over encoded events, waiting for new parts until the job ends.

        Args:
          offset: Number of the first part.
        """
        number = offset
        while True:
            while number < len(self.parts):
                yield engine_http.encode_event(number, self.parts[number])
                number += 1
            if self.is_done or self.is_cancelled:
                return
            self.changed.wait()


def first_word(name: str, request_id: str, software: str = "") -> str:
    """Return the first word of a response, which names the engine that began it.

    Args:
      name: Name of the endpoint.
      request_id: Identity of the job.
      software: Version of the engine's software, or empty.
    """
    suffix = f"{SOFTWARE_SEPARATOR}{software}" if software else ""
    return f"<{name}.{request_id}{suffix}>"


def response_word(first_word: str, position: int, software: str = "") -> str:
    """Return the word that an engine writes at a position of a response.

    Args:
      first_word: First word of the response.
      position: Position of the word, from 1.
      software: Version of the engine's software, or empty.
    """
    content = f"{first_word}/{position}/{software}" if software else f"{first_word}/{position}"
    digest = hashlib.blake2b(content.encode(), digest_size=3).hexdigest()
    return f"{position}:{digest}"


def is_complete_response(text: str, count: int) -> bool:
    """Return whether a text is one complete response of `count` words.

    Missing, repeated or reordered words, words of another response, and words of other software
    than that of the first word make it incomplete.
    """
    return len(text.split()) == count and is_beginning(text)


def is_beginning(text: str) -> bool:
    """Return whether a text is the beginning of one response, in the sense of the above."""
    words = text.split()
    if not words or not words[0].startswith("<"):
        return False
    software = software_of(text)
    return all(word == response_word(words[0], i, software) for i, word in enumerate(words) if i)


def software_of(text: str) -> str:
    """Return the software version that began a response, or empty."""
    return text.split()[0].rstrip(">").partition(SOFTWARE_SEPARATOR)[2]
