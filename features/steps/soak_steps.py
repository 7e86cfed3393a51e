"""Steps for the soak and its checker."""

import pathlib
import shutil
import signal
import tempfile

import gevent
from behave import given, then, when

from bronzemux.platform import standin_store
from features import soak, soak_checker

START = 100.0


@when("the soak runs seed {seed:d} with {seconds:g} seconds of faults")
def step_run(context, seed, seconds):
    context.broken = soak.run_seed(seed, seconds)


def masks_hangup(pid: int, name: str) -> bool:
    """Return whether a mask of a process, SigIgn or SigCgt, holds SIGHUP."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith(name + ":"):
            return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)
    return False


@when("a gateway gets SIGHUP from the time it ignores it until it has started")
def step_hangup(context):
    store = standin_store.StandInStore()
    store.start()
    folder = pathlib.Path(tempfile.mkdtemp())
    process = soak.Process("vm-0", store.address, folder, soak.FIRST_PORT - soak.PORTS_EACH)
    process.write_settings([])
    context.process, context.log = process, folder / "vm-0.log"
    context.cleanups += [
        lambda: shutil.rmtree(folder),
        store.stop,
        lambda: process.stop(signal.SIGKILL, 5.0),
    ]
    process.start()
    with gevent.Timeout(20.0):
        while not masks_hangup(process.child.pid, "SigIgn"):
            assert not masks_hangup(process.child.pid, "SigCgt"), "it was never ignored"
            gevent.sleep(0.002)
        while "gateway_started" not in context.log.read_text(encoding="utf-8"):
            process.signal(signal.SIGHUP)
            assert process.child.poll() is None, "the signal ended it"
            gevent.sleep(0.01)


@then("it has started, and lives")
def step_lives(context):
    gevent.sleep(0.2)
    assert context.process.child.poll() is None


@then("no promise is broken")
def step_nothing(context):
    assert context.broken == [], context.broken


@then("the seeds of features/soak_seeds.txt keep every promise")
def step_seeds(context):
    root = pathlib.Path(soak.__file__).resolve().parent
    lines = (root / "soak_seeds.txt").read_text(encoding="utf-8").splitlines()
    for line in lines:
        if line.strip() and not line.startswith("#"):
            seed, seconds, _ = line.split(maxsplit=2)
            broken = soak.run_seed(int(seed), float(seconds))
            assert broken == [], (line, broken)


def events(*numbers: int) -> bytes:
    """Return the body of a stream."""
    return b"".join(f"id: {n}\ndata: token-{n}\n\n".encode() for n in numbers)


def add(context, number: int, kind: str, body: bytes, **changes) -> soak_checker.Sent:
    """Add a request that was answered, and its run."""
    at = START + number * 0.1
    values = {
        "id": f"q{number}",
        "kind": kind,
        "target": f"/{kind}/{number}",
        "team": "clerks",
        "router": "vm-0",
        "at": at,
        "ended_at": at + 0.05,
        "status": 200,
        "body": body,
        "is_whole": True,
    }
    attempt = soak_checker.Sent(**(values | changes))
    context.history.sent.append(attempt)
    context.history.ran.append(run_of(attempt))
    return attempt


def run_of(attempt: soak_checker.Sent, **changes) -> soak_checker.Ran:
    """Return the run of a request."""
    values = {
        "id": attempt.id,
        "target": attempt.target,
        "team": attempt.team,
        "has_key": False,
        "is_continued": False,
        "endpoint": "app-1",
        "at": attempt.at + 0.01,
    }
    return soak_checker.Ran(**(values | changes))


@given("a history of sound requests")
def step_history(context):
    context.history = soak_checker.History()
    context.filing = add(context, 1, "filing", b"app-1 ran /filing/1")
    context.stream = add(context, 2, "draft", events(1, 2, 3, 4, 5, 6))
    for number in range(3, 20):
        add(context, number, "status", f"app-1 ran /status/{number}".encode())
    context.history.orders.append(soak_checker.Ordered("lm-1", "vm-0", 5, START))


def add_fault(context, name: str, is_planned: bool = False, ended_at: float = START) -> None:
    """Add something that was done to the router."""
    fault = soak_checker.Fault(name, "vm-0", START - 0.5, ended_at, is_planned)
    context.history.faults.append(fault)


@when("a filing runs at a second endpoint")
def step_twice(context):
    context.history.ran.append(run_of(context.filing, endpoint="app-2"))


@when("a filing that ran is answered 503")
def step_refused(context):
    context.filing.status = 503


@when("an answer is that of another request")
def step_mixed(context):
    context.filing.body = b"app-1 ran /filing/9"


@when("a stream lacks an event in the middle")
def step_gap(context):
    context.stream.body = events(1, 2, 4, 5, 6)


@when("a stream without its last event looks whole")
def step_short(context):
    context.stream.body = events(1, 2, 3, 4, 5)


@when("a request runs that nobody sent")
def step_unasked(context):
    context.history.ran.append(run_of(context.filing, id="q999"))


@when("a request runs under another team")
def step_team(context):
    context.history.ran[0] = run_of(context.filing, team="lawyers")


@when("a request runs with the caller's key")
def step_key(context):
    context.history.ran[0] = run_of(context.filing, has_key=True)


@when("a valid request is answered 404")
def step_denied(context):
    context.filing.status = 404


@when("a new route is answered 404 long after it was written")
def step_late(context):
    add(context, 30, "late", b"", status=404)
    context.history.ran.pop()


@when("an answer is cut off while nothing but a stop goes on")
def step_lost(context):
    add_fault(context, "terminate", is_planned=True, ended_at=START + 8)
    context.filing.status, context.filing.is_whole = 0, False


@when("a request crosses the close of its connection")
def step_crossing(context):
    attempt = add(context, 40, "status", b"", status=0, is_whole=False)
    context.history.ran = [ran for ran in context.history.ran if ran.id != attempt.id]


@when("an answer is cut off by a kill")
def step_killed(context):
    add_fault(context, "kill")
    context.filing.status, context.filing.is_whole = 0, False


@when("a request reaches an endpoint long after it began to leave")
def step_drain(context):
    context.history.draining["app-1"] = START - soak_checker.DRAIN_SECONDS - 1.0


@when("a request reaches a leaving endpoint through a paused router")
def step_drain_paused(context):
    context.history.draining["app-1"] = START - soak_checker.DRAIN_SECONDS - 1.0
    add_fault(context, "pause", ended_at=START + 5)


@when("requests are repeated without measure")
def step_budget(context):
    status = next(s for s in context.history.sent if s.kind == "status")
    context.history.ran += [run_of(status, endpoint=f"app-{n}") for n in range(40)]


@when("an order bears a lower token than the one before")
def step_token(context):
    context.history.orders.append(soak_checker.Ordered("lm-1", "vm-0", 4, START + 1))


@when("two routers order under one token")
def step_holders(context):
    context.history.orders.append(soak_checker.Ordered("lm-1", "vm-1", 5, START + 1))


@when("an order arrives right after its sender was resumed")
def step_thawed(context):
    add_fault(context, "pause", ended_at=START + 0.9)
    context.history.orders.append(soak_checker.Ordered("lm-1", "vm-0", 4, START + 1))


@when("a stream goes on from its copy at a second endpoint")
def step_copy(context):
    context.history.ran.append(run_of(context.stream, endpoint="lm-2", is_continued=True))


@then('the checker finds "{rule}"')
def step_finds(context, rule):
    found = soak_checker.check(context.history)
    assert {line.split()[0] for line in found} == {rule}, found


@then("the checker finds nothing")
def step_finds_nothing(context):
    found = soak_checker.check(context.history)
    assert found == [], found
