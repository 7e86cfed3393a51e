"""Answers of the stand-in engine: reproducible words, and the parts of a running answer."""

import dataclasses
import hashlib
from collections.abc import Iterator

from gevent import event

from bronzemux import engine, engine_http


@dataclasses.dataclass
class JobState:
    """A job and the parts of its answer so far."""

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
        """Add a part and wake the readers."""
        self.parts.append(data)
        self.is_done = data == engine.DONE
        self.changed.set()
        self.changed.clear()

    def read(self, offset: int) -> Iterator[bytes]:
        """Iterate over events from a part on, waiting for new ones."""
        number = offset
        while True:
            while number < len(self.parts):
                yield engine_http.encode_event(number, self.parts[number])
                number += 1
            if self.is_done or self.is_cancelled:
                return
            self.changed.wait()


def response_word(style: str, position: int) -> str:
    """Return the word of an answer at a position.

    Args:
      style: First word of the answer.
      position: Position of the word, from 1.
    """
    digest = hashlib.blake2b(f"{style}/{position}".encode(), digest_size=3).hexdigest()
    return f"{position}:{digest}"


def is_complete_response(text: str, count: int) -> bool:
    """Return whether a text is one answer of `count` words, complete, in order and unmixed."""
    words = text.split()
    if len(words) != count or not words[0].startswith("<"):
        return False
    return all(word == response_word(words[0], i) for i, word in enumerate(words) if i)
