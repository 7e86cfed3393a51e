"""Where streams began: the endpoint, and its software version, that sent the first event of each."""

import collections
import hashlib
from collections.abc import Callable, Iterator

from bronzemux import clock as clocks
from bronzemux import records

# At about 500 bytes each, 10 MB.
MAX_ORIGINS = 20_000


@records.record
class StreamOrigin:
    """Where a stream began.

    Attributes:
      service: Name of the service.
      software: Version of the software of the endpoint that sent the first event, empty when it is
        not known.
      endpoint: Identity of that endpoint, empty when it is not known.
      started_at_ms: Unix time of its start, by its entry, in milliseconds.
      begun_at_ms: Unix time of the first event in milliseconds.
    """

    service: str
    software: str
    endpoint: str = ""
    started_at_ms: int = 0
    begun_at_ms: int = 0


class StreamOrigins:
    """Origins of the streams that this router served, or took up, the oldest first.

    Args:
      clock: Source of time.

    Attributes:
      noted: Origin and monotonic seconds of its note, by key.
      on_note: Called with the key of each origin that the store may lack.
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.noted: collections.OrderedDict[str, tuple[StreamOrigin, float]] = (
            collections.OrderedDict()
        )
        self.on_note: list[Callable[[str], None]] = []

    def note(self, key: str, origin: StreamOrigin, is_stored: bool = False) -> None:
        """Keep the origin of a stream.

        Args:
          key: Result of `origin_key`.
          origin: The origin.
          is_stored: Whether the store has it.
        """
        self.noted[key] = (origin, self.clock.monotonic())
        self.noted.move_to_end(key)
        while len(self.noted) > MAX_ORIGINS:
            self.noted.popitem(last=False)
        for listener in () if is_stored else self.on_note:
            listener(key)

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream, None when it is not known here."""
        noted = self.noted.get(key)
        return noted[0] if noted is not None else None

    def since(self, at: float) -> Iterator[tuple[str, StreamOrigin]]:
        """Yield the key and origin of the streams that were noted after a monotonic time."""
        for key, (origin, noted_at) in self.noted.items():
            if noted_at > at:
                yield key, origin

    def expire(self, before: float) -> None:
        """Drop the origins that were noted before a monotonic time."""
        while self.noted:
            key, (_, noted_at) = next(iter(self.noted.items()))
            if noted_at >= before:
                return
            del self.noted[key]


def origin_key(team: str, request_id: str) -> str:
    """Return the key of a stream's origin, which no request of another team can name.

    Args:
      team: Name of the caller's team, empty for none.
      request_id: Identity of the caller's attempt that brought the first event.
    """
    return hashlib.blake2b(f"{team}\0{request_id}".encode(), digest_size=16).hexdigest()
