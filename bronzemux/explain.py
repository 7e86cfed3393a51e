"""Timeline of one request, reconstructed from the logs of several gateways."""

import dataclasses
import datetime
import json
import re
from collections.abc import Iterable

from bronzemux import errors

KEY_VALUE_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Endpoint events are included from this long before the request: a suspected endpoint is probed
# again within that time.
ENDPOINT_LOOKBACK_SECONDS = 5.0
GATEWAY_STATE_EVENTS = (
    "configuration",
    "weights_named",
    "store_contact",
    "routers",
    "lease",
    "ready",
)
# Events that tell why the endpoints of a service were not chosen.
NOTICE_EVENTS = ("endpoint_leaving", "endpoint_stays", "endpoint_paused")
# The longest pause, and the time in which further pauses of an endpoint are not logged.
NOTICE_LOOKBACK_SECONDS = 70.0
REQUEST_EVENTS = ("request", "request_refused")


class UnknownRequestError(errors.BronzemuxError):
    """No log event has the id of the request."""


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """One event of a log.

    Attributes:
      time: UTC time of the event.
      source: Name of the VM, or of the log when its lines name no VM.
      event: Type of the event.
      fields: All key-value pairs of the line.
    """

    time: datetime.datetime
    source: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the event as one line that starts with its time."""
        printed_fields = " ".join(
            f"{key}={value}" for key, value in self.fields.items() if key not in ("time", "level")
        )
        return f"{self.time.isoformat(timespec='milliseconds')} {self.source} {printed_fields}"


def parse_line(line: str, source: str) -> LogEvent | None:
    """Return the event of a log line, None when the line holds no event.

    Args:
      line: Log line. The last word before the `time` field, if any, names the VM, as in a file that
        combines the logs of several VMs.
      source: Name of the log, used for lines without such a prefix.
    """
    fields = {}
    for key, value in KEY_VALUE_PATTERN.findall(line):
        try:
            fields[key] = str(json.loads(value)) if value.startswith('"') else value
        except ValueError:
            return None
    if "time" not in fields or "event" not in fields:
        return None
    try:
        time = datetime.datetime.fromisoformat(fields["time"])
    except ValueError:
        return None
    prefix_words = line[: line.index("time=")].split()
    return LogEvent(time, prefix_words[-1] if prefix_words else source, fields["event"], fields)


def timeline(log_events: Iterable[LogEvent], request_id: str) -> list[LogEvent]:
    """Return the log events that explain a request, in order of time.

    They are the events of the request itself, the events of its endpoints from shortly before it,
    what the endpoints of its service asked of the gateways that served it, and the last state event
    of each type from these gateways.

    Args:
      log_events: Events of all logs.
      request_id: Request id.

    Raises:
      UnknownRequestError: When no event has the request id.
    """
    ordered = sorted(log_events, key=lambda log_event: log_event.time)
    own_events = [
        log_event
        for log_event in ordered
        if log_event.event in REQUEST_EVENTS and log_event.fields.get("id") == request_id
    ]
    if not own_events:
        raise UnknownRequestError(
            f"no log line has the request id {request_id}",
            "give the logs of all routers; each retry by a caller has its own id",
        )
    selected = {id(log_event): log_event for log_event in own_events}
    for request in own_events:
        related_events = [
            *_endpoint_events(ordered, request),
            *_notices(ordered, request),
            *_gateway_state(ordered, request),
        ]
        for log_event in related_events:
            selected[id(log_event)] = log_event
    return sorted(selected.values(), key=lambda log_event: log_event.time)


def _endpoint_events(log_events: list[LogEvent], request: LogEvent) -> list[LogEvent]:
    """Return the events of the request's endpoints, without those of other requests."""
    endpoints = {request.fields.get("endpoint", "none")}
    endpoints |= {
        attempt.partition(":")[0] for attempt in request.fields.get("trail", "").split(",")
    }
    window = datetime.timedelta(
        seconds=float(request.fields.get("total", 0.0)) + ENDPOINT_LOOKBACK_SECONDS
    )
    return [
        log_event
        for log_event in log_events
        if log_event.event not in REQUEST_EVENTS
        and request.time - window <= log_event.time <= request.time
        and endpoints & {_endpoint_id(log_event.fields.get(key, "")) for key in ("id", "endpoint")}
    ]


def _notices(log_events: list[LogEvent], request: LogEvent) -> list[LogEvent]:
    """Return what the endpoints of the request's service had asked of the gateway."""
    earliest = request.time - datetime.timedelta(seconds=NOTICE_LOOKBACK_SECONDS)
    return [
        log_event
        for log_event in log_events
        if log_event.event in NOTICE_EVENTS
        and log_event.source == request.source
        and log_event.fields.get("service") == request.fields.get("service")
        and earliest <= log_event.time <= request.time
    ]


def _endpoint_id(incarnation: str) -> str:
    """Return the id of an endpoint from its id or the identifier of one of its incarnations."""
    return incarnation.partition("/")[0]


def _gateway_state(log_events: list[LogEvent], request: LogEvent) -> list[LogEvent]:
    """Return the gateway's last event of each state type before the request ended."""
    last = {}
    for log_event in log_events:
        if (
            log_event.event in GATEWAY_STATE_EVENTS
            and log_event.source == request.source
            and log_event.time <= request.time
        ):
            last[(log_event.event, log_event.fields.get("table", ""))] = log_event
    return list(last.values())
