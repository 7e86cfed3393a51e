"""Parser for server-sent events: splits a byte stream into events and reads their ids."""

import re

from bronzemux.gateway import http1

# Far more than any event of a token stream; a VM with 136 MB of memory relays dozens of streams.
MAX_EVENT_BYTES = 256 * 1024
# Longest byte sequence that ends an event, without its last byte.
MAX_PARTIAL_END_BYTES = 3
EVENT_END_PATTERN = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID_PATTERN = re.compile(rb"(?:\A|\n|\r)id:[ ]?([0-9]{1,15})[ ]*(?=\r|\n|\Z)")


class EventBuffer:
    """Split a byte stream into complete events.

    Attributes:
      rest: Bytes of the last event, which is not complete yet.
    """

    def __init__(self):
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the events they complete, each with its terminating blank line.

        Raises:
          http1.TooLargeError: When an event is longer than `MAX_EVENT_BYTES`.
        """
        searched_bytes = max(0, len(self.rest) - MAX_PARTIAL_END_BYTES)
        self.rest += data
        events, start = [], 0
        for match in EVENT_END_PATTERN.finditer(self.rest, searched_bytes):
            events.append(bytes(self.rest[start : match.end()]))
            start = match.end()
        del self.rest[:start]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise http1.TooLargeError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", "check the endpoint"
            )
        return events


def is_comment(event: bytes) -> bool:
    """Return whether an event has comment lines only, which carry no data."""
    lines = event.splitlines()
    return all(not line or line.startswith(b":") for line in lines)


def event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, None when it has none."""
    match = EVENT_ID_PATTERN.search(event)
    return int(match.group(1)) if match else None
