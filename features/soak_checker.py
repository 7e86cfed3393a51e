"""Checks the promises of a gateway from what callers and endpoints saw."""

import collections
import dataclasses
import re

EVENT_ID = re.compile(rb"id: (\d+)\n")
EVENTS = 6
# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# What the gateway's settings allow of retries.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS = 0.2, 20.0, 10.0
DRAIN_SECONDS = 2.0
# Orders that arrive this soon after their sender was resumed do not count.
THAW_SECONDS = 0.3
# A request that is not passed on and whose connection ends this soon crossed the close.
CROSSING_SECONDS = 0.2
# A fault reaches this far into what comes after it.
STABLE_SECONDS = 3.0


@dataclasses.dataclass
class Sent:
    """One attempt of a caller.

    Attributes:
      id: Its identity.
      kind: First part of its path.
      target: Its path.
      team: Team of its key.
      router: Router that it was sent to.
      at: Monotonic seconds at which it was sent.
      ended_at: Monotonic seconds of the end of its answer.
      status: Status, 0 without an answer.
      body: What came of the body.
      is_whole: Whether the answer was complete.
      closes: Whether the connection ends with it.
    """

    id: str
    kind: str
    target: str
    team: str
    router: str
    at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    closes: bool = False


@dataclasses.dataclass(frozen=True)
class Ran:
    """One start of a request at an endpoint."""

    id: str
    target: str
    team: str
    has_key: bool
    is_continued: bool
    endpoint: str
    at: float


@dataclasses.dataclass(frozen=True)
class Ordered:
    """One order that an endpoint received."""

    endpoint: str
    holder: str
    token: int
    at: float


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something that was done to the system.

    Attributes:
      name: What.
      router: Router that it was done to, empty for all.
      began_at: Monotonic seconds.
      ended_at: Monotonic seconds.
      is_planned: Whether it was announced, as a stop by a signal is.
    """

    name: str
    router: str
    began_at: float
    ended_at: float
    is_planned: bool = False


@dataclasses.dataclass
class History:
    """All that was seen in one run."""

    sent: list[Sent] = dataclasses.field(default_factory=list)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    orders: list[Ordered] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    draining: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_calm(self, router: str, began_at: float, ended_at: float, planned=False) -> bool:
        """Return whether no fault of a router, or of all, reached into a span of time.

        Args:
          router: Name of the router.
          began_at: Monotonic seconds.
          ended_at: Monotonic seconds.
          planned: Whether planned work counts as a fault.
        """
        for fault in self.faults:
            if fault.is_planned and not planned:
                continue
            is_near = fault.began_at <= ended_at and fault.ended_at + STABLE_SECONDS >= began_at
            if fault.router in ("", router) and is_near:
                return False
        return True


def check(history: History) -> list[str]:
    """Return the promises that were broken, one line each."""
    found: list[str] = []
    runs: dict[str, list[Ran]] = collections.defaultdict(list)
    for ran in history.ran:
        runs[ran.id].append(ran)
    sent = {attempt.id: attempt for attempt in history.sent}
    for attempt in history.sent:
        found += _check_attempt(attempt, runs.get(attempt.id, []))
        found += _check_denied(attempt, history)
        found += _check_lost(attempt, runs.get(attempt.id, []), history)
    for ran in history.ran:
        found += _check_run(ran, sent.get(ran.id), history)
    return found + _check_budget(history) + _check_orders(history)


def _check_attempt(attempt: Sent, runs: list[Ran]) -> list[str]:
    begun = [ran for ran in runs if not ran.is_continued]
    found = []
    if attempt.kind in ("filing", "draft") and len(begun) > 1:
        found.append(f"TWICE {attempt.id} {attempt.kind} ran {len(begun)} times")
    if attempt.status in PROMISES and runs and attempt.kind in ("filing", "draft"):
        found.append(f"REFUSED {attempt.id} {attempt.kind} got {attempt.status} and ran")
    if attempt.status != 200:
        return found
    if attempt.kind in ("classify", "draft"):
        numbers = [int(n) for n in EVENT_ID.findall(attempt.body)]
        if numbers != list(range(1, len(numbers) + 1)):
            found.append(f"ORDER {attempt.id} got the events {numbers}")
        if attempt.is_whole and len(numbers) != EVENTS:
            found.append(f"ORDER {attempt.id} looks whole with the events {numbers}")
    elif attempt.is_whole and not attempt.body.endswith(f" ran {attempt.target}".encode()):
        found.append(f"MIXED {attempt.id} asked for {attempt.target}, got {attempt.body[:60]!r}")
    return found


def _check_denied(attempt: Sent, history: History) -> list[str]:
    if attempt.status in (401, 403, 404, 400) and attempt.kind != "late":
        return [f"DENIED {attempt.id} {attempt.target} got {attempt.status}"]
    is_calm = history.is_calm(attempt.router, attempt.at - STABLE_SECONDS, attempt.ended_at)
    if attempt.kind == "late" and attempt.status == 404 and is_calm:
        return [f"CONFIG {attempt.id} {attempt.target} got 404 at {attempt.router}"]
    return []


def _check_lost(attempt: Sent, runs: list[Ran], history: History) -> list[str]:
    is_cut = attempt.status == 0 or not attempt.is_whole
    if not runs and attempt.ended_at - attempt.at < CROSSING_SECONDS:
        # It crossed the close of a connection that had nothing to do.
        return []
    if not is_cut or not history.is_calm(attempt.router, attempt.at, attempt.ended_at):
        return []
    if history.is_calm("", attempt.at, attempt.ended_at):
        return [f"LOST {attempt.id} {attempt.kind} at {attempt.router}, status {attempt.status}"]
    return []


def _check_run(ran: Ran, attempt: Sent | None, history: History) -> list[str]:
    if attempt is None:
        return [f"UNASKED {ran.id} ran at {ran.endpoint}"]
    found = []
    if (ran.target, ran.team, ran.has_key) != (attempt.target, attempt.team, False):
        found.append(f"UNASKED {ran.id} ran as {ran}")
    left_at = history.draining.get(ran.endpoint)
    is_late = left_at is not None and ran.at > left_at + DRAIN_SECONDS and attempt.at > left_at
    # Only requests that were passed on by a router in touch.
    if is_late and history.is_calm(attempt.router, attempt.at, ran.at, True):
        found.append(f"DRAIN {ran.id} reached {ran.endpoint} {ran.at - left_at:.1f} s late")
    return found


def _check_budget(history: History) -> list[str]:
    first = {attempt.id: attempt.at for attempt in history.sent}
    repeats, known = [], set()
    for ran in sorted(history.ran, key=lambda ran: ran.at):
        if ran.id in known:
            repeats.append(ran.at)
        known.add(ran.id)
    for end in repeats:
        span = [at for at in repeats if end - RETRY_WINDOW_SECONDS < at <= end]
        asked = [at for at in first.values() if end - 2 * RETRY_WINDOW_SECONDS < at <= end]
        if len(span) > RETRY_RATIO * len(asked) + RETRY_SLACK:
            return [f"BUDGET {len(span)} repeats for {len(asked)} requests"]
    return []


def _check_orders(history: History) -> list[str]:
    resumed = [f.ended_at for f in history.faults if f.name in ("pause", "cut")]
    found: list[str] = []
    newest: dict[str, Ordered] = {}
    for order in sorted(history.orders, key=lambda order: order.at):
        known = newest.get(order.endpoint)
        is_thawed = any(0 <= order.at - at < THAW_SECONDS for at in resumed)
        if known is not None and not is_thawed:
            if order.token < known.token:
                found.append(f"ONE {order.endpoint} got token {order.token} after {known.token}")
            if order.token == known.token and order.holder != known.holder:
                found.append(f"ONE {order.endpoint} got token {order.token} from two routers")
        if known is None or order.token >= known.token:
            newest[order.endpoint] = order
    return found
