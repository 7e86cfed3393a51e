"""Structured logs: one line of key=value pairs for each event, through eliot."""

import datetime
import json
import os
import sys
import traceback
from typing import TextIO

import eliot

LEVELS = ("debug", "info", "warning", "error")
HIDDEN_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type", "level"})
REPEAT_SECONDS = 10.0
MAX_BUFFERED_BYTES = 1_000_000


class KeyValueDestination:
    """Destination of eliot that writes lines.

    Args:
      stream: Where lines go.
      level: Least level that is written, one of `LEVELS`.
    """

    def __init__(self, stream: TextIO, level: str = "info"):
        self.stream = stream
        self.threshold = LEVELS.index(level)

    def __call__(self, message: dict) -> None:
        """Write one event."""
        if LEVELS.index(message.get("level", "info")) >= self.threshold:
            self.stream.write(format_line(message) + "\n")
            self.stream.flush()


class BoundedStream:
    """Text stream that never blocks: what finds no room is dropped and counted.

    Args:
      stream: Stream with a file descriptor.
      limit: Characters that may wait.
    """

    def __init__(self, stream: TextIO, limit: int = MAX_BUFFERED_BYTES):
        self.descriptor = stream.fileno()
        self.limit = limit
        self.buffered = b""
        self.dropped = 0
        self.reported = 0
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or drop it when earlier ones still wait."""
        line = text.encode()
        if len(self.buffered) + len(line) > self.limit:
            self.dropped += 1
        else:
            if self.dropped > self.reported and len(self.buffered) < self.limit // 2:
                self.buffered += b"event=log_lines_dropped count=%d\n" % self.dropped
                self.reported = self.dropped
            self.buffered += line

    def flush(self) -> None:
        """Hand over as much as there is room for."""
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
        """Hand over the rest at an end, without waiting."""
        self.flush()


def format_line(message: dict) -> str:
    """Return an event as one line of key=value pairs.

    Args:
      message: Event of eliot.
    """
    moment = datetime.datetime.fromtimestamp(message["timestamp"], datetime.UTC)
    pairs = {
        "time": moment.isoformat(timespec="milliseconds"),
        "level": message.get("level", "info"),
        "event": message.get("message_type") or "message",
    }
    pairs.update((k, v) for k, v in message.items() if k not in HIDDEN_FIELDS)
    return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


def _quote(value) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in text for c in ' "=\n\r\t\\') and text.isprintable():
        return text
    return json.dumps(text)


def start(level: str, stream: TextIO | None = None) -> KeyValueDestination:
    """Send events to a stream, standard error by default.

    Args:
      level: Least level that is written.
      stream: Where lines go.

    Returns:
      The destination, for `stop`.
    """
    destination = KeyValueDestination(stream or sys.stderr, level)
    eliot.add_destinations(destination)
    return destination


def stop(destination: KeyValueDestination) -> None:
    """End what `start` began."""
    eliot.remove_destination(destination)


def event(name: str, level: str = "info", **fields) -> None:
    """Log an event.

    Args:
      name: Kind of the event, in snake case.
      level: One of `LEVELS`.
      fields: Further pairs; never prompts or keys.
    """
    eliot.log_message(message_type=name, level=level, **fields)


def failure(name: str, error: BaseException, **fields) -> None:
    """Log an error with the place where it was raised.

    Args:
      name: Kind of the event.
      error: The error.
      fields: Further pairs.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else "none"
    event(name, "error", kind=type(error).__name__, message=str(error), place=place, **fields)


class RepeatFilter:
    """Passes an event of one key at most once in `REPEAT_SECONDS` and counts the rest.

    Args:
      clock: Source of time.
    """

    def __init__(self, clock):
        self.clock = clock
        self.last: dict[tuple, float] = {}
        self.suppressed: dict[tuple, int] = {}

    def event(self, name: str, key: str, level: str = "warning", **fields) -> None:
        """Log an event unless the same name and key were logged a moment ago."""
        place = (name, key)
        now = self.clock.monotonic()
        if now - self.last.get(place, -REPEAT_SECONDS) < REPEAT_SECONDS:
            self.suppressed[place] = self.suppressed.get(place, 0) + 1
            return
        self.last[place] = now
        event(name, level, repeats=self.suppressed.pop(place, 0), **fields)
