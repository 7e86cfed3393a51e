"""Parser for server-sent events: splits a byte stream into events and reads their ids."""

import re

EVENT_END_PATTERN = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID_PATTERN = re.compile(rb"(?:\A|\n|\r)id:[ ]?([0-9]{1,15})[ ]*(?=\r|\n|\Z)")


class EventBuffer:
    """Split a byte stream into complete events.

    Attributes:
      rest: Bytes of the last event, which is not complete yet.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return the events they complete, each with its terminating blank line."""
        self.rest += data
        events, start = [], 0
        for match in EVENT_END_PATTERN.finditer(self.rest):
            events.append(self.rest[start : match.end()])
            start = match.end()
        self.rest = self.rest[start:]
        return events


def event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, None when it has none."""
    match = EVENT_ID_PATTERN.search(event)
    return int(match.group(1)) if match else None
