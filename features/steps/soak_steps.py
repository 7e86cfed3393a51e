"""Steps of soak.feature."""

import collections
import itertools
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile

import gevent
from behave import given, then, when

from bronzemux.gateway import channels
from bronzemux.platform import standin_store
from features import broken_gateway, soak, soak_checker

HISTORY_START = 100.0
# Longest time for which faults are injected into gateways that have a fault of their own.
MAX_DETECTION_SECONDS = 40.0


@when("the soak runs seed {seed:d} with {seconds:g} seconds of faults")
def step_run_seed(context, seed, seconds):
    context.violations = soak.run_seed(seed, seconds)


@when("the soak runs seed {seed:d} with only {faults} for {seconds:g} seconds")
def step_run_faults(context, seed, faults, seconds):
    fault_names = tuple(faults.split(" and "))
    context.violations = soak.run_seed(seed, seconds, fault_names=fault_names)


BROKEN_GATEWAYS = {
    "close connections unanswered beside a configuration": "configuration",
    "close connections unanswered after SIGHUP": "hangup",
    "cut off accepted requests when they stop": "stop",
    "take the configuration of a restored store": "older",
    "send requests to endpoints that leave": "leaving",
    "send requests to endpoints that ask for a pause": "pause",
    "give up streams of silent endpoints": "silence",
    "continue streams at any software version": "software",
    "refuse streams that callers take up": "refusal",
}


@when(
    'the soak runs seed {seed:d} with {fault} and gateways that {what}, until "{name}" is violated'
)
def step_run_broken(context, seed, fault, what, name):
    os.environ[broken_gateway.FAULT_VARIABLE] = BROKEN_GATEWAYS[what]
    context.cleanups.append(lambda: os.environ.pop(broken_gateway.FAULT_VARIABLE))
    context.violations = soak.run_seed(
        seed,
        MAX_DETECTION_SECONDS,
        sought=name,
        fault_names=tuple(fault.split(" and ")),
        gateway_module=broken_gateway.__name__,
    )


@then('violations of "{invariant}" only are reported')
def step_reported(context, invariant):
    names = {line.split()[0] for line in context.violations}
    assert names == {invariant}, context.violations


def is_hangup_in_mask(pid: int, name: str) -> bool:
    """Return whether SIGHUP is in a signal mask of a process.

    Args:
      pid: Process id.
      name: Name of the mask in /proc: SigIgn for ignored, SigCgt for caught signals.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith(name + ":"):
            return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)
    return False


@when("a gateway gets SIGHUP repeatedly, from when it ignores the signal until it has started")
def step_send_hangups(context):
    store = standin_store.StandInStore()
    store.start()
    folder = pathlib.Path(tempfile.mkdtemp())
    process = soak.GatewayProcess(
        "vm-0", store.address, folder, soak.FIRST_PORT - soak.PORTS_PER_SEED
    )
    process.write_settings([])
    context.process, context.log = process, folder / "vm-0.log"
    context.cleanups += [
        lambda: shutil.rmtree(folder),
        store.stop,
        lambda: process.stop(signal.SIGKILL, 5.0),
    ]
    process.start()
    with gevent.Timeout(20.0):
        while not is_hangup_in_mask(process.child.pid, "SigIgn"):
            assert not is_hangup_in_mask(
                process.child.pid, "SigCgt"
            ), "the process handled SIGHUP before it was seen to ignore it"
            gevent.sleep(0.002)
        while "gateway_started" not in context.log.read_text(encoding="utf-8"):
            process.signal(signal.SIGHUP)
            assert process.child.poll() is None, "SIGHUP terminated the gateway"
            gevent.sleep(0.01)


@then("the gateway is running")
def step_is_running(context):
    gevent.sleep(0.2)
    assert context.process.child.poll() is None


class FirstOrLast(random.Random):
    """Random numbers that are the least ones, and choices of the last item."""

    def choice(self, seq):
        """Return the last item: of `soak`, the endpoint's proxy, and a store that is away."""
        return seq[-1]

    def uniform(self, a, b):
        """Return the lower limit."""
        return a


@given("the endpoints of a soak without gateways")
def step_soak_without_gateways(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.cleanups.append(lambda: shutil.rmtree(folder))
    context.soak = soak.SoakRun(-1, folder)
    context.cleanups.append(context.soak._stop_all)
    context.soak.random = FirstOrLast()
    context.soak.copies.append(context.soak.store.copy())


@when('an endpoint is reinstalled {seconds:g} seconds after the start of a fault "{fault}" there')
def step_reinstall_during(context, seconds, fault):
    run = context.soak
    process = run.processes[0]
    worker = context.worker = run.workers["lm-3"]
    run._draw_release = lambda: (worker, "v2")
    running = [gevent.spawn(soak.FAULTS[fault], run, process, worker, 0.4)]
    gevent.sleep(seconds)
    running.append(gevent.spawn(run._reinstall, process, worker, 2.0))
    gevent.joinall(running, raise_error=True)


def events_of(context) -> list[str]:
    """Return what became of the endpoint."""
    events = context.soak.history.events
    return [event.what for event in events if event.endpoint == context.worker.identity]


@then("its process accepted nothing and wrote no entry between its end and its next start")
def step_ended(context):
    what = [event.partition(" ")[0] for event in events_of(context)]
    assert "ends" in what and not context.worker.proxy.is_down, events_of(context)
    for previous, following in itertools.pairwise(what):
        if previous == "ends":
            assert following == "accepts", events_of(context)
    assert what.count("ends") == what.count("accepts"), events_of(context)


@then("each of its processes wrote its entry")
def step_wrote(context):
    assert not context.worker.proxy.is_down
    processes = collections.defaultdict(set)
    for event in events_of(context):
        what, _, process = event.partition(" (")
        processes[process].add(what.partition(" ")[0])
    now = f"start {context.worker.started_at_ms}, {context.worker.software})"
    assert "writes" in processes[now], events_of(context)
    for process, found in processes.items():
        assert "writes" in found, (process, events_of(context))


@when("an endpoint ends, and a copy of its socket is closed {seconds:g} seconds later")
def step_end_with_copy(context, seconds):
    worker = context.worker = context.soak.workers["lm-3"]
    copy = os.dup(worker.proxy.server.socket.fileno())
    gevent.spawn_later(seconds, os.close, copy)
    worker.take_down()


@then("it refuses connections, and accepts them once it has started again")
def step_refuses(context):
    address = context.worker.proxy.address
    assert channels.refuses(address)
    context.worker.bring_up()
    assert channels.accepts(address)


@when("a server closes a connection {when}")
def step_close(context, when):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        context.sock = socket.create_connection(listener.getsockname())
        accepted = listener.accept()[0]
    context.cleanups.append(context.sock.close)
    if when.startswith("before"):
        accepted.close()
    context.sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    if when.startswith("after"):
        accepted.recv(100)
    accepted.close()


@then("the caller finds that the request was {outcome}")
def step_was_read(context, outcome):
    assert soak.is_rejected(context.sock) == (outcome == "not read")


@then("no invariant is violated")
def step_no_violation(context):
    assert context.violations == [], context.violations


@then("no seed of features/soak_seeds.txt violates an invariant")
def step_failed_seeds(context):
    folder = pathlib.Path(soak.__file__).resolve().parent
    lines = (folder / "soak_seeds.txt").read_text(encoding="utf-8").splitlines()
    for line in lines:
        if line.strip() and not line.startswith("#"):
            seed, seconds, _ = line.split(maxsplit=2)
            violations = soak.run_seed(int(seed), float(seconds))
            assert violations == [], (line, violations)


def stream_body(*numbers: int, software: str = "v1") -> bytes:
    """Return the body of a stream that has the events of these numbers.

    Args:
      *numbers: The numbers.
      software: Software version of the endpoint that made them.
    """
    return b"".join(f"id: {n}\ndata: token-{n} {software}\n\n".encode() for n in numbers)


def add_request(
    context, number: int, kind: str, body: bytes, **changes
) -> soak_checker.RequestAttempt:
    """Add an executed and answered request to the history and return it.

    Args:
      number: Number of the request, which determines its id, its target and the time it was sent.
      kind: Kind of the request, the first segment of its path.
      body: Body of the response.
      **changes: Fields of the attempt that differ from the default.
    """
    sent_at = HISTORY_START + number * 0.1
    values = {
        "id": f"q{number}",
        "kind": kind,
        "target": f"/{kind}/{number}",
        "team": "clerks",
        "router": "vm-0",
        "sent_at": sent_at,
        "ended_at": sent_at + 0.05,
        "status": 200,
        "body": body,
        "is_whole": True,
    }
    attempt = soak_checker.RequestAttempt(**(values | changes))
    context.history.attempts.append(attempt)
    context.history.executions.append(execution_of(attempt))
    context.history.arrivals.append(arrival_of(attempt))
    return attempt


def arrival_of(attempt: soak_checker.RequestAttempt, **changes) -> soak_checker.Arrival:
    """Return an arrival of a request at an endpoint.

    Args:
      attempt: The request.
      **changes: Fields that differ from the default.
    """
    values = {
        "id": attempt.id,
        "endpoint": "app-1",
        "incarnation": 1,
        "at": attempt.sent_at + 0.01,
    }
    return soak_checker.Arrival(**(values | changes))


def answer_of(attempt: soak_checker.RequestAttempt, **changes) -> soak_checker.Answer:
    """Return the response of an endpoint to a request.

    Args:
      attempt: The request.
      **changes: Fields that differ from the default.
    """
    values = {
        "id": attempt.id,
        "endpoint": "app-1",
        "incarnation": 1,
        "status": 200,
        "is_leaving": False,
        "at": attempt.sent_at + 0.02,
    }
    return soak_checker.Answer(**(values | changes))


def execution_of(attempt: soak_checker.RequestAttempt, **changes) -> soak_checker.Execution:
    """Return an execution of a request.

    Args:
      attempt: The request.
      **changes: Fields that differ from the default.
    """
    values = {
        "id": attempt.id,
        "target": attempt.target,
        "team": attempt.team,
        "has_authorization": False,
        "is_continuation": False,
        "endpoint": "app-1",
        "started_at": attempt.sent_at + 0.01,
    }
    return soak_checker.Execution(**(values | changes))


@given("a history of valid requests")
def step_history(context):
    context.history = soak_checker.History()
    context.filing = add_request(context, 1, "filing", b"app-1 ran /filing/1")
    context.stream = add_request(context, 2, "draft", stream_body(1, 2, 3, 4, 5, 6))
    for number in range(3, 20):
        add_request(context, number, "status", f"app-1 ran /status/{number}".encode())
    context.history.orders.append(soak_checker.LoadOrder("lm-1", "vm-0", 5, HISTORY_START))


def add_fault(
    context, name: str, is_planned: bool = False, ended_at: float = HISTORY_START
) -> None:
    """Add a fault of router vm-0 to the history.

    Args:
      name: Name of the fault, a key of `soak.FAULTS`.
      is_planned: Whether it is a planned operation.
      ended_at: Monotonic time in seconds.
    """
    fault = soak_checker.Fault(name, "vm-0", HISTORY_START - 0.5, ended_at, is_planned)
    context.history.faults.append(fault)


@when("a filing is executed at a second endpoint")
def step_executed_twice(context):
    context.history.executions.append(execution_of(context.filing, endpoint="app-2"))


@when("a filing that was executed is answered 503")
def step_executed_refused(context):
    context.filing.status = 503


@when("a response belongs to another request")
def step_response_of_another(context):
    context.filing.body = b"app-1 ran /filing/9"


@when("a stream lacks an event in the middle")
def step_event_missing(context):
    context.stream.body = stream_body(1, 2, 4, 5, 6)


@when("a stream without its last event is marked complete")
def step_last_event_missing(context):
    context.stream.body = stream_body(1, 2, 3, 4, 5)


@when("{count:d} responses hold events of two software versions")
def step_mixed_responses(context, count):
    body = stream_body(1, 2) + stream_body(3, 4, 5, 6, software="v2")
    for number in range(50, 50 + count):
        add_request(context, number, "classify", body)


def add_taken_up(context, number: int, body: bytes, **changes) -> None:
    """Add a stream whose caller's connection breaks after event 2, and the attempt to take it up.

    Args:
      context: Context of the scenario.
      number: Number of the first request.
      body: Body of the second response.
      **changes: Fields of the second attempt that differ from the default.
    """
    first = add_request(
        context, number, "classify", stream_body(1, 2), is_whole=False, is_abandoned=True
    )
    values = {"target": first.target, "resumes": first.id, "last_event_id": 2} | changes
    add_request(context, number + 100, "classify", body, **values)


@when("{count:d} streams go on at another software version when they are taken up")
def step_mixed_streams(context, count):
    for number in range(50, 50 + count):
        add_taken_up(context, number, stream_body(3, 4, 5, 6, software="v2"))


@when("1 stream goes on with an event that its caller has when it is taken up")
def step_repeated_event(context):
    add_taken_up(context, 50, stream_body(2, 3, 4, 5, 6))


@when("1 stream goes on without an event when it is taken up")
def step_skipped_event(context):
    add_taken_up(context, 50, stream_body(4, 5, 6))


def add_software(context, count: int) -> None:
    """Add endpoints of software version v1 that serve all the time."""
    context.history.software += [
        soak_checker.SoftwareInterval(f"lm-{number}", "v1", HISTORY_START - 10.0)
        for number in range(count)
    ]


@when("{count:d} streams go on at their software version when they are taken up")
def step_joined_streams(context, count):
    add_software(context, 2)
    for number in range(50, 50 + count):
        add_taken_up(context, number, stream_body(3, 4, 5, 6))


@when(
    "{count:d} streams are refused when they are taken up, while {serving:d} endpoints of their "
    "version serve"
)
def step_refused_streams(context, count, serving):
    add_software(context, serving)
    for number in range(50, 50 + count):
        add_taken_up(context, number, b"", status=503)
        context.history.executions.pop()


@when("a stream ends as its caller's connection breaks")
def step_abandoned(context):
    add_request(context, 50, "classify", stream_body(1), is_whole=False, is_abandoned=True)


@when("a request is executed that no caller sent")
def step_unknown_request(context):
    context.history.executions.append(execution_of(context.filing, id="q999"))


@when("a request is executed under another team")
def step_other_team(context):
    context.history.executions[0] = execution_of(context.filing, team="lawyers")


@when("a request is executed with the caller's key")
def step_caller_key(context):
    context.history.executions[0] = execution_of(context.filing, has_authorization=True)


@when("a valid request is answered 404")
def step_rejected(context):
    context.filing.status = 404


@when("a new route is answered 404 after its propagation time")
def step_late_route(context):
    add_late_request(context, 30, 404)


def add_late_request(context, number: int, status: int, **changes) -> None:
    """Add a request on the route that configuration 7 added.

    Args:
      context: Context of the scenario.
      number: Number of the request.
      status: Status of the response.
      **changes: Fields of the attempt that differ from the default.
    """
    target = f"/late7/{number}"
    body = f"app-1 ran {target}".encode()
    add_request(context, number, "late", body, target=target, status=status, **changes)
    if status != 200:
        context.history.executions.pop()


@when("a route is answered 404 after it was served, {circumstance}")
def step_route_dropped(context, circumstance):
    add_late_request(context, 25, 200)
    add_late_request(context, 60, 404, router="vm-0" if "same" in circumstance else "vm-1")
    name = "kill" if "restart" in circumstance else "restore"
    fault = soak_checker.Fault(name, "", HISTORY_START + 3.0, HISTORY_START + 4.0)
    context.history.faults.append(fault)


@when("a response is lost although only a planned restart happened")
def step_lost_response(context):
    add_fault(context, "terminate", is_planned=True, ended_at=HISTORY_START + 8)
    context.filing.status, context.filing.is_whole = 0, False


def add_cut_request(context, **changes) -> None:
    """Add a request that got no response and reached no endpoint.

    Args:
      **changes: Fields of the attempt that differ from the default.
    """
    add_request(context, 40, "status", b"", status=0, is_whole=False, **changes)
    context.history.executions.pop()


@when("a request is sent after the close of its connection was announced, and was {what}")
def step_after_close(context, what):
    add_cut_request(context, idle_seconds=0.2, is_after_close=True, is_rejected="not" in what)


@when("a request is sent while its idle connection is being closed")
def step_close_race(context):
    add_cut_request(context, idle_seconds=4.9)


@when("a stream breaks off as its endpoint crashes on a prompt part")
def step_crash_during_stream(context):
    crashing = add_request(context, 41, "status", b"app-1 ran /status/41")
    stream = add_request(
        context, 40, "draft", stream_body(1, 2), is_whole=False, ended_at=HISTORY_START + 4.3
    )
    context.history.part_crashes["dead0"] = [(crashing.id, crashing.sent_at)]
    assert stream.sent_at < crashing.sent_at < stream.ended_at


@when("a stream that may be repeated breaks off as its endpoint crashes on a prompt part")
def step_crash_during_resumable_stream(context):
    crashing = add_request(context, 41, "status", b"app-1 ran /status/41")
    add_request(
        context, 40, "classify", stream_body(1, 2), is_whole=False, ended_at=HISTORY_START + 4.3
    )
    context.history.part_crashes["dead0"] = [(crashing.id, crashing.sent_at)]


@when("a stream breaks off 2 s after a stall of the machine")
def step_after_stall(context):
    stream = add_request(
        context, 40, "classify", stream_body(1, 2), is_whole=False, ended_at=HISTORY_START + 4.3
    )
    stall = soak_checker.Fault("stall", "", stream.sent_at - 2.7, stream.sent_at - 2.0)
    context.history.faults.append(stall)


@when("a request is sent while its router stops accepting")
def step_stop_race(context):
    add_fault(context, "terminate", is_planned=True, ended_at=HISTORY_START + 8)
    add_cut_request(context, idle_seconds=0.2)


@when("a request on a busy connection is cut off at once without a stop")
def step_cut_at_once(context):
    add_cut_request(context, idle_seconds=0.2)


@when("a request gets no response while only the store is unavailable")
def step_lost_beside_store(context):
    fault = soak_checker.Fault("store", "", HISTORY_START, HISTORY_START + 8)
    context.history.faults.append(fault)
    context.filing.status, context.filing.is_whole = 0, False


@when("a request gets no response beside a configuration change")
def step_lost_beside_configuration(context):
    fault = soak_checker.Fault("configure", "", HISTORY_START, HISTORY_START + 8, True)
    context.history.faults.append(fault)
    add_cut_request(context, idle_seconds=0.2)


@when("a stream is broken off while its endpoint is silent")
def step_silent_stream(context):
    fault = soak_checker.Fault("silence", "", HISTORY_START, HISTORY_START + 8)
    context.history.faults.append(fault)
    context.stream.body, context.stream.is_whole = stream_body(1, 2), False


@when("a request gets no response beside an odd entry")
def step_lost_beside_odd_entry(context):
    fault = soak_checker.Fault("odd", "", HISTORY_START, HISTORY_START + 8)
    context.history.faults.append(fault)
    context.filing.status, context.filing.is_whole = 0, False


@when("a response is lost during a kill")
def step_lost_by_kill(context):
    add_fault(context, "kill")
    context.filing.status, context.filing.is_whole = 0, False


@when("a request reaches an endpoint that has been draining for too long")
def step_draining(context):
    context.history.draining_since["app-1"] = (
        HISTORY_START - soak_checker.DRAIN_PROPAGATION_SECONDS - 1.0
    )


@when("a request reaches a draining endpoint through a paused router")
def step_draining_paused(context):
    context.history.draining_since["app-1"] = (
        HISTORY_START - soak_checker.DRAIN_PROPAGATION_SECONDS - 1.0
    )
    add_fault(context, "pause", ended_at=HISTORY_START + 5)


@when("an endpoint has announced that it leaves, and gets a request {what}")
def step_leaving(context, what):
    context.history.answers.append(answer_of(context.filing, is_leaving=True))
    number = 21 if "soon" in what else 40
    router = "vm-1" if "another router" in what else "vm-0"
    attempt = add_request(context, number, "filing", f"app-1 ran /filing/{number}".encode())
    attempt.router = router
    if "next incarnation" in what:
        context.history.arrivals[-1] = arrival_of(attempt, incarnation=2)
    if "misdirected" in what:
        context.history.answers.append(answer_of(attempt, status=421))
    if "not passed on" in what:
        context.history.arrivals.append(arrival_of(context.filing, endpoint="app-2"))
    name = "terminate" if "restart" in what else "store"
    fault = soak_checker.Fault(name, "vm-0", HISTORY_START + 2.0, HISTORY_START + 3.0)
    context.history.faults.append(fault)


@when("an endpoint asks for a pause of {seconds:d} s, and {count:d} requests reach it {what}")
def step_paused(context, seconds, count, what):
    last = context.history.attempts[-1]
    answer = answer_of(last, status=503, pause_seconds=seconds)
    context.history.answers.append(answer)
    for number in range(30, 30 + count):
        attempt = add_request(context, number, "status", f"app-1 ran /status/{number}".encode())
        router = "vm-1" if "another router" in what else "vm-0"
        attempt.router, incarnation = router, 2 if "next incarnation" in what else 1
        context.history.arrivals[-1] = arrival_of(attempt, incarnation=incarnation)
    name = "cut" if "cut" in what else "store"
    fault = soak_checker.Fault(name, "vm-0", HISTORY_START + 3.0, HISTORY_START + 4.0)
    context.history.faults.append(fault)


@when("retries exceed the retry budget")
def step_retry_budget(context):
    attempt = next(a for a in context.history.attempts if a.kind == "status")
    context.history.executions += [execution_of(attempt, endpoint=f"app-{n}") for n in range(40)]


@when("a prompt part crashes endpoints long after it has crashed five")
def step_part_crashes(context):
    attempt = context.history.attempts[0]
    seconds = [0.1, 0.2, 0.3, 0.4, 0.5, 4.0, 4.1, 4.2, 4.3]
    crashes = [(attempt.id, HISTORY_START + at) for at in seconds]
    context.history.part_crashes["dead0"] = crashes


@when("a load order has a lower fencing token than the one before")
def step_lower_token(context):
    context.history.orders.append(soak_checker.LoadOrder("lm-1", "vm-0", 4, HISTORY_START + 1))


@when("two routers send load orders with one fencing token")
def step_two_holders(context):
    context.history.orders.append(soak_checker.LoadOrder("lm-1", "vm-1", 5, HISTORY_START + 1))


@when("a load order arrives right after its sender was resumed")
def step_after_resume(context):
    add_fault(context, "pause", ended_at=HISTORY_START + 0.9)
    context.history.orders.append(soak_checker.LoadOrder("lm-1", "vm-0", 4, HISTORY_START + 1))


@when("a stream continues from its KV backup at a second endpoint")
def step_continued_stream(context):
    context.history.executions.append(
        execution_of(context.stream, endpoint="lm-2", is_continuation=True)
    )


@then('the checker finds a violation of "{invariant}"')
def step_finds_violation(context, invariant):
    violations = soak_checker.check(context.history)
    assert {line.split()[0] for line in violations} == {invariant}, violations


@then("the checker finds nothing")
def step_finds_nothing(context):
    violations = soak_checker.check(context.history)
    assert violations == [], violations
