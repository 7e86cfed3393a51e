"""Checks of the soak test on the recorded history of callers, endpoints and faults.

Each violation is one line that begins with the name of the invariant:
  TWICE: A filing or draft, which is non-idempotent, is executed at most once; continuations from a
    KV backup do not count.
  REFUSED: A filing or draft that was answered as not executed was never executed.
  ORDER: Streams have consecutive events, and a complete stream has all of them, over all attempts of
    a caller that takes its stream up. At most two streams hold events of two software versions.
  MIXED: A response belongs to its request.
  UNASKED: Endpoints execute only requests that a caller sent, under the caller's team and without
    its key.
  DENIED: Valid requests are not rejected as invalid, unauthorised or unknown.
  CONFIG: A new route is in force after its propagation time, and from then on for the lifetime of
    the router's process.
  LOST: No response is lost or truncated without a fault that explains it. A request without any
    byte of a response is excused only by the end or pause of its router, whatever else happens, or
    if it was sent after a response that announced the close of the connection and was not read.
    Streams that are taken up go on at least half as often as new ones begin, while two endpoints of
    their software version serve.
  DRAIN: Draining endpoints receive no new requests after the propagation time, nor does an
    endpoint of which the router has passed on a response that announces that it leaves.
  BUDGET: Retries stay within the retry budget, and at most two requests of a router reach an
    endpoint within a pause for which it has asked that router.
  ONE: Load orders to an endpoint come from one lease holder at a time.
"""

import collections
import dataclasses
import math
import re

EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token-\d+(?: (\S+))?\n\n")
ROUTE_VERSION_PATTERN = re.compile(r"/late(\d+)/")
EVENTS_PER_STREAM = 6
# Statuses which guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Retry budget of the gateway by default: fraction of the requests, additional retries, and the time
# over which both are counted.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS = 0.2, 20.0, 10.0
# Time within which routers must stop sending new requests to a draining endpoint.
DRAIN_PROPAGATION_SECONDS = 2.0
# Load orders received within this time after a router was resumed or its link was restored are not
# checked, as the router may not have detected yet that it lost the lease.
RESUME_GRACE_SECONDS = 0.3
# A request that no endpoint executed and that ended within this time may have been sent while the
# gateway was closing the idle connection: because it stops, or because the connection was idle for
# most of the idle timeout.
CLOSE_RACE_SECONDS = 0.2
CLOSE_RACE_IDLE_FRACTION = 0.8
# Faults that end or stop the process of a router, or the whole machine.
PROCESS_FAULTS = frozenset({"kill", "power", "pause", "stall"})
STREAM_KINDS = frozenset({"classify", "draft"})
# Streams that may hold events of two software versions.
TOLERATED_MIXED_STREAMS = 2
# Time before a mixed stream that its trace covers.
TRACE_SECONDS = 20.0
# Streams that have to be taken up before their share that goes on is judged, the least share in
# relation to that of new streams, and the endpoints of the version that have to serve.
MIN_TAKE_UPS = 12
MIN_TAKE_UP_RATIO = 0.5
MIN_TAKE_UP_ENDPOINTS = 2
# Time that an endpoint has to have served, as its entry may reach routers late.
ENTRY_PROPAGATION_SECONDS = 2.0
NON_IDEMPOTENT_KINDS = frozenset({"filing", "draft"})
# Time after the end of such a fault in which requests may still be cut off by it.
PROCESS_FAULT_MARGIN_SECONDS = 0.5
# Faults that affect nothing that the checker judges, so that they excuse nothing.
HARMLESS_FAULTS = frozenset({"odd", "leave", "shed", "silence", "release"})
# Time for which the effects of a fault may last after its end.
STABILISATION_SECONDS = 3.0
# Crashes by one prompt part before routers must keep it from endpoints, and late ones after that.
TOLERATED_CRASHES = 5
TOLERATED_LATE_CRASHES = 3
# Faults that end the process of a router.
LIFETIME_FAULTS = frozenset({"terminate", "kill", "power"})
# Faults after which a router need not know what endpoints announced before.
RESTART_FAULTS = LIFETIME_FAULTS | PROCESS_FAULTS
# Requests of a router that may reach an endpoint in a pause for which it has asked, and the time
# after it has asked in which any number may.
TOLERATED_REQUESTS_IN_PAUSE = 2
PAUSE_GRACE_SECONDS = 0.5
# Faults after which a router need not know that an endpoint has asked for a pause, or that harm
# connections to endpoints, so that the response may not have arrived.
PAUSE_EXCUSES = RESTART_FAULTS | {"cut", "delay", "reset", "stale"}
# Time after a response by a configuration in which requests may still be handled by an older one.
DOWNGRADE_SECONDS = 0.25
# Faults that affect endpoints or callers only, so that they excuse no router.
ENDPOINT_FAULTS = frozenset(
    {"spoil", "crash", "replace", "reinstall", "weights", "configure", "poison"}
)


@dataclasses.dataclass
class RequestAttempt:
    """A request that a caller sent, and the response.

    Attributes:
      id: Request id.
      kind: First segment of the path: the name of a route, or "late" for a route that was added
        during the run.
      target: Path.
      team: Team of the caller's key.
      router: Router that received the request.
      sent_at: Monotonic time in seconds at which the request was sent.
      ended_at: Monotonic time in seconds at which the response ended.
      status: HTTP status, 0 without a response.
      body: The part of the body that was received.
      is_whole: Whether the response was complete.
      is_closing: Whether the connection is closed after the response.
      idle_seconds: Time since the response before on the connection, 0 for its first request.
      is_after_close: Whether the response before announced that the connection would be closed.
      is_rejected: Whether the router's VM rejected bytes of the request, as the connection was
        closed before they were read.
      resumes: Id of the attempt that brought the first event of the stream that is taken up, empty
        for a new request.
      last_event_id: Event after which the stream is taken up, 0 for a new request.
      is_abandoned: Whether the caller's connection broke before the response ended.
    """

    id: str
    kind: str
    target: str
    team: str
    router: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    is_closing: bool = False
    idle_seconds: float = 0.0
    is_after_close: bool = False
    is_rejected: bool = False
    resumes: str = ""
    last_event_id: int = 0
    is_abandoned: bool = False

    def events(self) -> list[tuple[int, str]]:
        """Return the number and the software version of each complete event of a stream."""
        if self.status != 200 or self.kind not in STREAM_KINDS:
            return []
        return [(int(n), version.decode()) for n, version in EVENT_PATTERN.findall(self.body)]


@dataclasses.dataclass
class SoftwareInterval:
    """Time in which an endpoint serves with one version of its software.

    Attributes:
      endpoint: Identity of the endpoint.
      software: The version.
      started_at: Monotonic time in seconds at which it was registered.
      ended_at: Monotonic time in seconds at which it began to drain or ended.
    """

    endpoint: str
    software: str
    started_at: float
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True)
class Execution:
    """Execution of a request that an endpoint started.

    Attributes:
      id: Request id.
      target: Path.
      team: Team under which the router forwarded the request.
      has_authorization: Whether the caller's Authorization header, which contains its key, was
        forwarded.
      is_continuation: Whether the endpoint continues a run from a KV backup.
      endpoint: Identity of the endpoint.
      started_at: Monotonic time in seconds at which the execution started.
    """

    id: str
    target: str
    team: str
    has_authorization: bool
    is_continuation: bool
    endpoint: str
    started_at: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Arrival of a request at an endpoint, which may refuse it.

    Attributes:
      id: Request id.
      endpoint: Identity of the endpoint.
      incarnation: Number of its incarnation.
      at: Monotonic time in seconds.
    """

    id: str
    endpoint: str
    incarnation: int
    at: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """Response of an endpoint, or the head of a stream.

    Attributes:
      id: Request id.
      endpoint: Identity of the endpoint.
      incarnation: Number of its incarnation.
      status: HTTP status.
      is_leaving: Whether it announces that the endpoint leaves.
      at: Monotonic time in seconds.
      pause_seconds: Pause for which it asks.
    """

    id: str
    endpoint: str
    incarnation: int
    status: int
    is_leaving: bool
    at: float
    pause_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class LoadOrder:
    """Order to load weights that an endpoint received.

    Attributes:
      endpoint: Identity of the endpoint.
      holder: Router that sent the order as the holder of the lease.
      fencing_token: Fencing token of the lease.
      received_at: Monotonic time in seconds at which the endpoint received the order.
    """

    endpoint: str
    holder: str
    fencing_token: int
    received_at: float


@dataclasses.dataclass(frozen=True)
class Fault:
    """An injected fault or a planned operation.

    Attributes:
      name: Name of the fault, a key of `soak.FAULTS`.
      router: Router that it affects, empty when it may affect all of them.
      started_at: Monotonic time in seconds.
      ended_at: Monotonic time in seconds.
      is_planned: Whether it is a planned operation, such as a graceful shutdown by SIGTERM.
    """

    name: str
    router: str
    started_at: float
    ended_at: float
    is_planned: bool = False


@dataclasses.dataclass(frozen=True)
class EndpointEvent:
    """What became of the process of an endpoint, or of its entry.

    Attributes:
      endpoint: Identity of the endpoint.
      what: What happened, with the incarnation and software of the process.
      at: Monotonic time in seconds.
    """

    endpoint: str
    what: str
    at: float


@dataclasses.dataclass
class History:
    """Record of one run.

    Attributes:
      attempts: Requests that the callers sent.
      executions: Executions at the endpoints.
      arrivals: Arrivals of requests at the endpoints.
      answers: Responses of the endpoints.
      orders: Load orders that the endpoints received.
      faults: Faults and planned operations.
      draining_since: Monotonic time in seconds at which an endpoint began to drain, by identity.
      idle_timeouts: Idle timeouts of the configurations in seconds, in the order of the run.
      part_crashes: Request id and monotonic time of each crash on a prompt part, by part.
      software: Times in which model endpoints served with a version of their software.
      events: Ends and starts of the processes of endpoints, and their entries, by time.
    """

    attempts: list[RequestAttempt] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    answers: list[Answer] = dataclasses.field(default_factory=list)
    orders: list[LoadOrder] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    draining_since: dict[str, float] = dataclasses.field(default_factory=dict)
    idle_timeouts: list[float] = dataclasses.field(default_factory=lambda: [5.0])
    part_crashes: dict[str, list[tuple[str, float]]] = dataclasses.field(default_factory=dict)
    software: list[SoftwareInterval] = dataclasses.field(default_factory=list)
    events: list[EndpointEvent] = dataclasses.field(default_factory=list)

    def is_undisturbed(
        self,
        router: str,
        started_at: float,
        ended_at: float,
        includes_planned=False,
        ignored: frozenset[str] = frozenset(),
    ) -> bool:
        """Return whether no fault could affect a router during an interval.

        Args:
          router: Name of the router; empty to consider only faults that may affect all routers.
          started_at: Start of the interval, monotonic time in seconds.
          ended_at: End of the interval, monotonic time in seconds.
          includes_planned: Whether planned operations count as faults.
          ignored: Names of faults that do not count.
        """
        for fault in self.faults:
            if fault.name in ignored | HARMLESS_FAULTS or (
                fault.is_planned and not includes_planned
            ):
                continue
            # Nothing has to stabilise after a stall of the whole machine.
            is_stall = fault.name == "stall"
            margin = PROCESS_FAULT_MARGIN_SECONDS if is_stall else STABILISATION_SECONDS
            is_overlapping = fault.started_at <= ended_at and fault.ended_at + margin >= started_at
            if fault.router in ("", router) and is_overlapping:
                return False
        return True

    def has_fault(
        self,
        names: frozenset[str],
        router: str,
        started_at: float,
        ended_at: float,
        margin_seconds: float = 0.0,
    ) -> bool:
        """Return whether one of some faults affected a router during an interval.

        Args:
          names: Names of the faults.
          router: Name of the router.
          started_at: Start of the interval, monotonic time in seconds.
          ended_at: End of the interval, monotonic time in seconds.
          margin_seconds: Time for which the effects of a fault may last after its end.
        """
        return any(
            fault.name in names
            and fault.router in ("", router)
            and fault.started_at <= ended_at
            and fault.ended_at + margin_seconds >= started_at
            for fault in self.faults
        )


def check(history: History) -> list[str]:
    """Return the violated invariants, one line each."""
    violations: list[str] = []
    executions: dict[str, list[Execution]] = collections.defaultdict(list)
    for execution in history.executions:
        executions[execution.id].append(execution)
    attempts_by_id = {attempt.id: attempt for attempt in history.attempts}
    for attempt in history.attempts:
        violations += _check_response(attempt, executions.get(attempt.id, []))
        violations += _check_rejection(attempt, history)
        violations += _check_lost(attempt, executions.get(attempt.id, []), history)
    for execution in history.executions:
        violations += _check_execution(execution, attempts_by_id.get(execution.id), history)
    violations += _check_retry_budget(history) + _check_part_crashes(history)
    violations += _check_configuration_order(history) + _check_announcements(history)
    violations += _check_pauses(history) + _check_streams(history) + _check_take_ups(history)
    return violations + _check_fencing(history)


def _check_response(attempt: RequestAttempt, executions: list[Execution]) -> list[str]:
    first_executions = [execution for execution in executions if not execution.is_continuation]
    violations = []
    if attempt.kind in ("filing", "draft") and len(first_executions) > 1:
        violations.append(
            f"TWICE {attempt.id} {attempt.kind} was executed {len(first_executions)} times"
        )
    if (
        attempt.status in NOT_EXECUTED_STATUSES
        and executions
        and attempt.kind in ("filing", "draft")
    ):
        violations.append(
            f"REFUSED {attempt.id} {attempt.kind} was answered {attempt.status} and executed"
        )
    if attempt.status != 200:
        return violations
    is_foreign = not attempt.body.endswith(f" ran {attempt.target}".encode())
    if attempt.kind not in STREAM_KINDS and attempt.is_whole and is_foreign:
        violations.append(
            f"MIXED {attempt.id} requested {attempt.target} and received {attempt.body[:60]!r}"
        )
    return violations


def _streams(history: History) -> dict[str, list[RequestAttempt]]:
    """Return the attempts of each stream that has begun, by the id of the first one."""
    streams = collections.defaultdict(list)
    for attempt in history.attempts:
        if attempt.kind in STREAM_KINDS and attempt.status == 200:
            streams[attempt.resumes or attempt.id].append(attempt)
    return streams


def mixed_streams(history: History) -> list[str]:
    """Describe the streams that hold events of several software versions."""
    found = []
    for first_id, attempts in _streams(history).items():
        if len({software for attempt in attempts for _, software in attempt.events()}) > 1:
            parts = ", ".join(f"{a.id} at {a.router} {a.events()}" for a in attempts)
            found.append(f"{first_id} has events of several software versions: {parts}")
    return found


def trace_mixed_streams(history: History) -> list[str]:
    """Describe what the endpoints of mixed streams, and the routers, went through until they ended.

    Each line begins with the seconds since the first attempt of the stream.
    """
    lines = []
    for attempts in _streams(history).values():
        if len({software for attempt in attempts for _, software in attempt.events()}) < 2:
            continue
        ids = {attempt.id for attempt in attempts}
        runs = [run for run in history.executions if run.id in ids]
        names = {run.endpoint for run in runs}
        found = [(event.at, f"{event.endpoint} {event.what}") for event in history.events]
        found = [item for item in found if item[1].split()[0] in names]
        found += [(run.started_at, f"{run.endpoint} runs {run.id}") for run in runs]
        for attempt in attempts:
            found.append((attempt.sent_at, f"{attempt.id} is sent to {attempt.router}"))
            found.append((attempt.ended_at, f"{attempt.id} ends with {attempt.events()}"))
        for fault in history.faults:
            found.append((fault.started_at, f"fault {fault.name} {fault.router} begins"))
            found.append((fault.ended_at, f"fault {fault.name} {fault.router} ended"))
        began_at, ended_at = attempts[0].sent_at, max(attempt.ended_at for attempt in attempts)
        lines += [
            f"{at - began_at:+.3f} {what}"
            for at, what in sorted(found)
            if at <= ended_at and at >= began_at - TRACE_SECONDS
        ]
    return lines


def _check_streams(history: History) -> list[str]:
    """Check the joined events of each stream, as its caller sees them."""
    violations = []
    for first_id, attempts in _streams(history).items():
        numbers = [number for attempt in attempts for number, _ in attempt.events()]
        if numbers != list(range(1, len(numbers) + 1)):
            violations.append(f"ORDER {first_id} has the events {numbers}")
        if any(a.is_whole for a in attempts) and len(numbers) != EVENTS_PER_STREAM:
            violations.append(f"ORDER {first_id} is complete with the events {numbers}")
    mixed = mixed_streams(history)
    if len(mixed) > TOLERATED_MIXED_STREAMS:
        violations += [f"ORDER {line}" for line in mixed]
    return violations


def _check_take_ups(history: History) -> list[str]:
    """Check that streams go on when they are taken up, while endpoints of their version serve."""
    software = {
        first_id: attempts[0].events()[0][1]
        for first_id, attempts in _streams(history).items()
        if attempts[0].events()
    }
    begun: list[bool] = []
    went_on: list[bool] = []
    for attempt in history.attempts:
        if attempt.kind != "classify" or not history.is_undisturbed(
            attempt.router, attempt.sent_at, attempt.ended_at
        ):
            continue
        if not attempt.resumes:
            begun.append(bool(attempt.events()))
            continue
        serving = {
            interval.endpoint
            for interval in history.software
            if interval.software == software.get(attempt.resumes)
            and interval.started_at + ENTRY_PROPAGATION_SECONDS <= attempt.sent_at
            and interval.ended_at >= attempt.ended_at
        }
        if len(serving) >= MIN_TAKE_UP_ENDPOINTS:
            went_on.append(bool(attempt.events()))
    if len(went_on) < MIN_TAKE_UPS or not begun:
        return []
    if sum(went_on) / len(went_on) >= MIN_TAKE_UP_RATIO * sum(begun) / len(begun):
        return []
    return [
        f"LOST {sum(went_on)} of {len(went_on)} streams went on when they were taken up, and "
        f"{sum(begun)} of {len(begun)} new ones began"
    ]


def _check_rejection(attempt: RequestAttempt, history: History) -> list[str]:
    if attempt.status in (401, 403, 404, 400) and attempt.kind != "late":
        return [f"DENIED {attempt.id} {attempt.target} got {attempt.status}"]
    is_undisturbed = history.is_undisturbed(
        attempt.router, attempt.sent_at - STABILISATION_SECONDS, attempt.ended_at
    )
    if attempt.kind == "late" and attempt.status == 404 and is_undisturbed:
        return [f"CONFIG {attempt.id} {attempt.target} got 404 at {attempt.router}"]
    return []


def _check_lost(
    attempt: RequestAttempt, executions: list[Execution], history: History
) -> list[str]:
    is_incomplete = attempt.status == 0 or not attempt.is_whole
    if attempt.is_abandoned or _is_close_race(attempt, executions, history):
        return []
    if attempt.status == 0 and not _is_process_disturbed(attempt, history):
        return [
            f"LOST {attempt.id} {attempt.kind} at {attempt.router} got no response in "
            f"{attempt.ended_at - attempt.sent_at:.2f} s, "
            f"{attempt.sent_at - history.attempts[0].sent_at:.2f} s after the first request, "
            f"{attempt.idle_seconds:.2f} s after the one before, {len(executions)} executions"
        ]
    if not is_incomplete or not history.is_undisturbed(
        attempt.router, attempt.sent_at, attempt.ended_at
    ):
        return []
    if attempt.status and _has_endpoint_crashed(attempt, executions, history):
        return []
    if history.is_undisturbed("", attempt.sent_at, attempt.ended_at):
        return [f"LOST {attempt.id} {attempt.kind} at {attempt.router}, status {attempt.status}"]
    return []


def _is_close_race(attempt: RequestAttempt, executions: list[Execution], history: History) -> bool:
    """Return whether the router may have closed the connection before it received the request."""
    if executions:
        return False
    if attempt.is_after_close and attempt.is_rejected:
        return True
    if attempt.ended_at - attempt.sent_at >= CLOSE_RACE_SECONDS:
        return False
    if attempt.idle_seconds >= CLOSE_RACE_IDLE_FRACTION * min(history.idle_timeouts):
        return True
    return history.has_fault(
        frozenset({"terminate"}),
        attempt.router,
        attempt.sent_at,
        attempt.ended_at,
        PROCESS_FAULT_MARGIN_SECONDS,
    )


def _has_endpoint_crashed(
    attempt: RequestAttempt, executions: list[Execution], history: History
) -> bool:
    """Return whether the endpoint of a request crashed on a prompt part meanwhile.

    A request that may be repeated continues at another endpoint, so that this excuses only others.
    """
    if attempt.kind not in NON_IDEMPOTENT_KINDS:
        return False
    crashing_ids = {crash[0] for crashes in history.part_crashes.values() for crash in crashes}
    crashed = {
        execution.endpoint
        for execution in history.executions
        if execution.id in crashing_ids
        and attempt.sent_at <= execution.started_at <= attempt.ended_at
    }
    return any(execution.endpoint in crashed for execution in executions[-1:])


def _is_process_disturbed(attempt: RequestAttempt, history: History) -> bool:
    """Return whether the process of the router ended or was paused without order meanwhile."""
    return history.has_fault(
        PROCESS_FAULTS,
        attempt.router,
        attempt.sent_at,
        attempt.ended_at,
        PROCESS_FAULT_MARGIN_SECONDS,
    )


def _check_execution(
    execution: Execution, attempt: RequestAttempt | None, history: History
) -> list[str]:
    if attempt is None:
        return [f"UNASKED {execution.id} was executed at {execution.endpoint}"]
    violations = []
    if (execution.target, execution.team, execution.has_authorization) != (
        attempt.target,
        attempt.team,
        False,
    ):
        violations.append(f"UNASKED {execution.id} was executed as {execution}")
    draining_since = history.draining_since.get(execution.endpoint)
    is_late = (
        draining_since is not None
        and execution.started_at > draining_since + DRAIN_PROPAGATION_SECONDS
        and attempt.sent_at > draining_since
    )
    # A router that was paused or cut off may not have received the update that the endpoint is
    # draining.
    if is_late and history.is_undisturbed(
        attempt.router, attempt.sent_at, execution.started_at, True
    ):
        violations.append(
            f"DRAIN {execution.id} reached {execution.endpoint} "
            f"{execution.started_at - draining_since:.1f} s after it began to drain"
        )
    return violations


def _arrivals_by_sender(history: History) -> dict[tuple, list[tuple[RequestAttempt, Arrival]]]:
    """Return the requests that each incarnation of an endpoint got from each router.

    The keys are router, endpoint and incarnation. Requests that were misdirected are left out.
    """
    attempts = {attempt.id: attempt for attempt in history.attempts}
    misdirected = {(a.id, a.endpoint) for a in history.answers if a.status == 421}
    found = collections.defaultdict(list)
    for arrival in history.arrivals:
        attempt = attempts.get(arrival.id)
        if attempt is not None and (arrival.id, arrival.endpoint) not in misdirected:
            key = (attempt.router, arrival.endpoint, arrival.incarnation)
            found[key].append((attempt, arrival))
    return found


def _check_announcements(history: History) -> list[str]:
    """Check that routers heed announcements of endpoints that they leave.

    An announcement has been passed on when its request succeeded and reached no other endpoint.
    """
    endpoints_by_id = collections.defaultdict(set)
    for arrival in history.arrivals:
        endpoints_by_id[arrival.id].add(arrival.endpoint)
    announcing = {(a.id, a.endpoint, a.incarnation) for a in history.answers if a.is_leaving}
    violations = []
    for (router, endpoint, incarnation), requests in _arrivals_by_sender(history).items():
        passed_on = [
            attempt
            for attempt, _ in requests
            if attempt.status == 200
            and (attempt.id, endpoint, incarnation) in announcing
            and endpoints_by_id[attempt.id] == {endpoint}
        ]
        for attempt, arrival in requests:
            for earlier in passed_on:
                if attempt.sent_at > earlier.ended_at + DRAIN_PROPAGATION_SECONDS and (
                    not history.has_fault(RESTART_FAULTS, router, earlier.sent_at, arrival.at)
                ):
                    violations.append(
                        f"DRAIN {attempt.id} reached {endpoint} from {router} "
                        f"{attempt.sent_at - earlier.ended_at:.1f} s after {earlier.id} announced "
                        "that it leaves"
                    )
                    break
    return violations


def _check_pauses(history: History) -> list[str]:
    """Check that routers send almost nothing to an endpoint that has asked them for a pause."""
    pauses = {(a.id, a.endpoint, a.incarnation): a for a in history.answers if a.pause_seconds}
    violations = []
    for (router, endpoint, incarnation), requests in _arrivals_by_sender(history).items():
        for attempt, _ in requests:
            answer = pauses.get((attempt.id, endpoint, incarnation))
            if answer is None:
                continue
            end = answer.at + answer.pause_seconds
            count = sum(answer.at + PAUSE_GRACE_SECONDS < a.at <= end for _, a in requests)
            if count > TOLERATED_REQUESTS_IN_PAUSE and not history.has_fault(
                PAUSE_EXCUSES, router, answer.at, end
            ):
                violations.append(
                    f"BUDGET {count} requests reached {endpoint} from {router} in the "
                    f"{answer.pause_seconds} s for which it asked in the response to {attempt.id}"
                )
    return violations


def _check_configuration_order(history: History) -> list[str]:
    """Check that no process of a router drops an added route that it has served."""
    late = [attempt for attempt in history.attempts if attempt.kind == "late"]
    served = [attempt for attempt in late if attempt.status == 200]
    violations = []
    for attempt in late:
        if attempt.status != 404:
            continue
        for earlier in served:
            if (
                earlier.router == attempt.router
                and _route_version(earlier) >= _route_version(attempt)
                and attempt.sent_at > earlier.ended_at + DOWNGRADE_SECONDS
                and not history.has_fault(
                    LIFETIME_FAULTS, attempt.router, earlier.sent_at, attempt.ended_at
                )
            ):
                violations.append(
                    f"CONFIG {attempt.id} {attempt.target} got 404 at {attempt.router} "
                    f"{attempt.sent_at - earlier.ended_at:.1f} s after {earlier.id} was served"
                )
                break
    return violations


def _route_version(attempt: RequestAttempt) -> int:
    """Return the version of the configuration that added the route of a request."""
    return int(ROUTE_VERSION_PATTERN.match(attempt.target)[1])


def _check_retry_budget(history: History) -> list[str]:
    sent_times = {attempt.id: attempt.sent_at for attempt in history.attempts}
    repeat_times, seen_ids = [], set()
    for execution in sorted(history.executions, key=lambda execution: execution.started_at):
        if execution.id in seen_ids:
            repeat_times.append(execution.started_at)
        seen_ids.add(execution.id)
    for end in repeat_times:
        recent_repeats = [at for at in repeat_times if end - RETRY_WINDOW_SECONDS < at <= end]
        recent_requests = [
            at for at in sent_times.values() if end - 2 * RETRY_WINDOW_SECONDS < at <= end
        ]
        if len(recent_repeats) > RETRY_RATIO * len(recent_requests) + RETRY_SLACK:
            return [
                f"BUDGET {len(recent_repeats)} repeated executions "
                f"for {len(recent_requests)} requests"
            ]
    return []


def _check_part_crashes(history: History) -> list[str]:
    """Check that requests with a crashing part stop soon after it has crashed five endpoints."""
    routers = {attempt.id: attempt.router for attempt in history.attempts}
    violations = []
    for part, crashes in history.part_crashes.items():
        if len(crashes) <= TOLERATED_CRASHES:
            continue
        late_after = crashes[TOLERATED_CRASHES - 1][1] + STABILISATION_SECONDS
        late = [
            request_id
            for request_id, at in crashes
            if at > late_after
            and history.is_undisturbed(
                routers.get(request_id, ""), at - STABILISATION_SECONDS, at, True, ENDPOINT_FAULTS
            )
        ]
        if len(late) > TOLERATED_LATE_CRASHES:
            violations.append(
                f"BUDGET part {part} crashed {len(crashes)} endpoints, {len(late)} of them late"
            )
    return violations


def _check_fencing(history: History) -> list[str]:
    restored_times = [f.ended_at for f in history.faults if f.name in ("pause", "cut")]
    violations: list[str] = []
    latest_orders: dict[str, LoadOrder] = {}
    for order in sorted(history.orders, key=lambda order: order.received_at):
        latest = latest_orders.get(order.endpoint)
        is_after_restore = any(
            0 <= order.received_at - restored_at < RESUME_GRACE_SECONDS
            for restored_at in restored_times
        )
        if latest is not None and not is_after_restore:
            if order.fencing_token < latest.fencing_token:
                violations.append(
                    f"ONE {order.endpoint} got fencing token {order.fencing_token} "
                    f"after {latest.fencing_token}"
                )
            if order.fencing_token == latest.fencing_token and order.holder != latest.holder:
                violations.append(
                    f"ONE {order.endpoint} got fencing token {order.fencing_token} from two routers"
                )
        if latest is None or order.fencing_token >= latest.fencing_token:
            latest_orders[order.endpoint] = order
    return violations
