"""Structured logs: one line of key=value pairs for each event, logged with eliot."""

import datetime
import json
import os
import re
import sys
import traceback
from typing import TextIO

import eliot

LEVELS = ("debug", "info", "warning", "error")
HEADER_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type", "level"})
REPEAT_INTERVAL_SECONDS = 10.0
MAX_BUFFERED_BYTES = 1_000_000
# A value with one of these characters is written as a JSON string, as are those with characters
# that cannot be printed.
QUOTED_PATTERN = re.compile(r'[ "=\\]')


class KeyValueDestination:
    """Destination of eliot that writes events as lines of key=value pairs.

    Args:
      stream: Stream to write to.
      level: Lowest level that is written, one of `LEVELS`.
    """

    def __init__(self, stream: TextIO, level: str = "info"):
        self.stream = stream
        self.threshold = LEVELS.index(level)

    def __call__(self, message: dict) -> None:
        """Write one event if its level is high enough."""
        if LEVELS.index(message.get("level", "info")) >= self.threshold:
            self.stream.write(format_line(message) + "\n")
            self.stream.flush()


class BoundedStream:
    """Text stream that never blocks: it drops and counts lines when its buffer is full.

    Args:
      stream: Stream with a file descriptor.
      limit: Size of the buffer in bytes.
    """

    def __init__(self, stream: TextIO, limit: int = MAX_BUFFERED_BYTES):
        self.descriptor = stream.fileno()
        self.limit = limit
        self.buffered = b""
        self.dropped = 0
        self.reported_drops = 0
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> None:
        """Buffer a line, or drop it when the buffer is full.

        The number of dropped lines is logged once the buffer is less than half full.
        """
        line = text.encode()
        if len(self.buffered) + len(line) > self.limit:
            self.dropped += 1
        else:
            if self.dropped > self.reported_drops and len(self.buffered) < self.limit // 2:
                self.buffered += b"event=log_lines_dropped count=%d\n" % self.dropped
                self.reported_drops = self.dropped
            self.buffered += line

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking.

        An error of the descriptor discards the whole buffer and counts as one dropped line.
        """
        while self.buffered:
            try:
                count = os.write(self.descriptor, self.buffered)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += 1
                self.buffered = b""
                return
            self.buffered = self.buffered[count:]

    def drain(self) -> None:
        """Write the rest of the buffer before the process ends, as far as it does not block."""
        self.flush()


def format_line(message: dict) -> str:
    """Return an event as one line of key=value pairs.

    Args:
      message: Event as eliot passes it to destinations.
    """
    timestamp = datetime.datetime.fromtimestamp(message["timestamp"], datetime.UTC)
    pairs = {
        "time": timestamp.isoformat(timespec="milliseconds"),
        "level": message.get("level", "info"),
        "event": message.get("message_type") or "message",
    }
    pairs.update((k, v) for k, v in message.items() if k not in HEADER_FIELDS)
    return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


def _format_value(value) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and text.isprintable() and not QUOTED_PATTERN.search(text):
        return text
    return json.dumps(text)


def start(level: str, stream: TextIO | None = None) -> KeyValueDestination:
    """Start to write events to a stream, standard error by default.

    Args:
      level: Lowest level that is written, one of `LEVELS`.
      stream: Stream to write to.

    Returns:
      The destination, to pass to `stop`.
    """
    destination = KeyValueDestination(stream or sys.stderr, level)
    eliot.add_destinations(destination)
    return destination


def stop(destination: KeyValueDestination) -> None:
    """Stop writing events to a destination.

    Args:
      destination: Result of `start`.
    """
    eliot.remove_destination(destination)


def event(name: str, level: str = "info", **fields) -> None:
    """Log an event.

    Args:
      name: Type of the event, in snake case.
      level: One of `LEVELS`.
      fields: Further pairs; they must never hold prompts or keys.
    """
    eliot.log_message(message_type=name, level=level, **fields)


def failure(name: str, error: BaseException, **fields) -> None:
    """Log an error with its type and the file and line that raised it.

    Args:
      name: Type of the event, in snake case.
      error: The error.
      fields: Further pairs.
    """
    event(name, "error", **describe(error), **fields)


def describe(error: BaseException) -> dict[str, str]:
    """Return the type of an error, its message and the place that raised it, as pairs of an event.

    Args:
      error: The error.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else "none"
    return {"kind": type(error).__name__, "message": str(error), "place": place}


class RepeatFilter:
    """Rate limiter that logs events of one key at most once in `REPEAT_INTERVAL_SECONDS`.

    The next logged event of the key has the number of suppressed ones as its field `repeats`.

    Args:
      clock: Source of time.
    """

    def __init__(self, clock):
        self.clock = clock
        self.last_logged_at: dict[tuple, float] = {}
        self.suppressed: dict[tuple, int] = {}

    def event(self, name: str, key: str, level: str = "warning", **fields) -> None:
        """Log an event unless one of the same name and key was logged in the last interval.

        Args:
          name: Type of the event, in snake case.
          key: Key that repeated events share; it is not logged.
          level: One of `LEVELS`.
          fields: Further pairs.
        """
        event_key = (name, key)
        now = self.clock.monotonic()
        if (
            now - self.last_logged_at.get(event_key, -REPEAT_INTERVAL_SECONDS)
            < REPEAT_INTERVAL_SECONDS
        ):
            self.suppressed[event_key] = self.suppressed.get(event_key, 0) + 1
            return
        self.last_logged_at[event_key] = now
        event(name, level, repeats=self.suppressed.pop(event_key, 0), **fields)
