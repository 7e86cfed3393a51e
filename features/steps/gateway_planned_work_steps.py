"""Steps for callers that send requests during planned work."""

import collections
import dataclasses
import io
import itertools
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time

import gevent
from behave import given, then, when

from bronzemux import http_client, logs
from bronzemux.gateway import forwarder, http1
from bronzemux.platform import standin_store
from features import gateway_support, soak

CALLER_COUNT = 12
KINDS = ("filing", "status", "classify", "draft")
BODY = b"0123456789" * 20
DEADLINE_SECONDS = 1.0
# What the gateway logs of a response that it cut at the deadline.
DEADLINE_CAUSE = 'deadline passed during the response" end=cut'
# Requests that the message of a failed step describes.
MAX_DESCRIBED = 10
# Requests on one connection, and the longest pause between two of them.
REQUESTS_PER_CONNECTION = 5
MAX_PAUSE_SECONDS = 0.12
# One body in so many is sent in two halves, with the longest pause between them.
SPLIT_RATIO = 3
MAX_SPLIT_SECONDS = 0.15
EXECUTION_SECONDS = 0.05
PROCESS_FIRST_PORT = soak.FIRST_PORT - 2 * soak.PORTS_PER_SEED


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A request and its response.

    Attributes:
      request_id: Identity of the request.
      is_kept: Whether it was sent on a connection that had carried another.
      reply: The response.
      seconds: Time from before the request was sent to the end of the response.
    """

    request_id: str
    is_kept: bool
    reply: gateway_support.Reply
    seconds: float


class Callers:
    """Callers that send requests on kept connections.

    Args:
      site: Encodes the requests.
      address: Address of the gateway.

    Attributes:
      outcomes: The requests that were sent.
    """

    def __init__(self, site: gateway_support.Site, address: str):
        self.site = site
        self.address = address
        self.outcomes: list[Outcome] = []
        self.numbers = itertools.count(1)
        self.is_ended = False
        self.greenlets = [gevent.spawn(self._run, random.Random(n)) for n in range(CALLER_COUNT)]

    def end(self) -> None:
        """End the callers after their current requests."""
        self.is_ended = True
        gevent.joinall(self.greenlets, timeout=gateway_support.TIMEOUT_SECONDS, raise_error=True)
        assert all(greenlet.ready() for greenlet in self.greenlets)

    def _run(self, rng: random.Random) -> None:
        host, _, port = self.address.rpartition(":")
        while not self.is_ended:
            try:
                sock = socket.create_connection((host, int(port)), 1.0)
            except ConnectionError:
                # The listening socket is closed, or was closed before the connection was accepted.
                gevent.sleep(0.02)
                continue
            with sock:
                sock.settimeout(gateway_support.TIMEOUT_SECONDS)
                self._use(sock, rng)

    def _use(self, sock, rng: random.Random) -> None:
        channel = http1.Channel(sock)
        for position in range(REQUESTS_PER_CONNECTION):
            if self.is_ended or not http_client.is_open_and_idle(sock):
                return
            request_id = f"p{next(self.numbers)}"
            data = self.site.encode(
                f"/{rng.choice(KINDS)}/1",
                body=BODY,
                Request_Id=request_id,
                Deadline_Ms=f"{DEADLINE_SECONDS * 1000:.0f}",
            )
            started_at = time.monotonic()
            try:
                if rng.randrange(SPLIT_RATIO):
                    sock.sendall(data)
                else:
                    sock.sendall(data[: -len(BODY) // 2])
                    gevent.sleep(rng.uniform(0, MAX_SPLIT_SECONDS))
                    sock.sendall(data[-len(BODY) // 2 :])
                reply = gateway_support.read_reply(channel)
            except OSError:
                reply = gateway_support.Reply(0)
            seconds = time.monotonic() - started_at
            self.outcomes.append(Outcome(request_id, position > 0, reply, seconds))
            if not reply.is_whole or reply.head.is_closing():
                return
            gevent.sleep(rng.uniform(0, MAX_PAUSE_SECONDS))


def start_callers(context, address: str) -> Callers:
    """Start the callers and record the log; the endpoints take a while for each request."""
    context.log = io.StringIO()
    destination = logs.start("info", context.log)
    context.cleanups.append(lambda: logs.stop(destination))
    for worker in context.site.workers.values():
        worker.execution_seconds = EXECUTION_SECONDS
        worker.event_seconds = EXECUTION_SECONDS / 2
    context.callers = Callers(context.site, address)
    return context.callers


def without(field: str, names: tuple[str, ...]) -> dict:
    """Return the change of a configuration that drops items of a list."""
    items = gateway_support.configuration()[field]
    return {field: [item for item in items if item["name"] not in names]}


def limits(**changes) -> dict:
    """Return the change of a configuration that changes limits of callers."""
    return {"limits": gateway_support.configuration()["limits"] | changes}


CHANGES = {
    "lower and raise the idle timeout": limits(idle_timeout_ms=100),
    "drop and add routes": without("routes", ("status", "draft")),
    "drop and add services": without("services", ("app",)) | without("routes", ("filing",)),
    "drop and add teams": without("tenants", ("clerks",)),
    "lower and raise the limit of bodies": limits(max_body_bytes=100),
}


@when("callers send requests to it while configurations {change}")
def step_configurations(context, change):
    callers = start_callers(context, context.site.gateways[0].settings.ingress_address)
    for version in range(2, 12):
        gevent.sleep(0.15)
        changes = CHANGES[change] if version % 2 == 0 else {}
        configuration = gateway_support.configuration(version, **changes)
        context.site.store.put("op", "config", configuration)
    gevent.sleep(0.15)
    callers.end()


@when("callers send requests to it while it stops {delay:g} seconds after a configuration")
def step_stop(context, delay):
    served = context.site.gateways[0]
    callers = start_callers(context, served.settings.ingress_address)
    gevent.sleep(0.3)
    configuration = gateway_support.configuration(3, **limits(idle_timeout_ms=300))
    context.site.store.put("op", "config", configuration)
    gevent.sleep(delay)
    served.stop()
    for channel in list(served.ingress.open_channels):
        channel.sock.close()
    callers.end()


@given("a gateway process")
def step_process(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.process = soak.GatewayProcess(
        "vm-0", context.site.store.address, folder, PROCESS_FIRST_PORT
    )
    context.process.write_settings([])
    context.cleanups += [
        lambda: shutil.rmtree(folder),
        lambda: context.process.stop(signal.SIGKILL, 5.0),
    ]
    context.process.start()
    context.front = context.process.listen_addresses["front"]


@when(
    "callers send requests to it while it gets {signals} after {delay:g} seconds beside a configuration"
)
def step_signals(context, signals, delay):
    callers = start_callers(context, context.front)

    def is_serving() -> bool:
        return any(outcome.reply.status == 200 for outcome in callers.outcomes)

    gateway_support.wait_for(is_serving, seconds=10.0)
    gevent.sleep(0.3)
    for version in range(2, 6):
        configuration = gateway_support.configuration(version, **limits(idle_timeout_ms=300))
        context.site.store.put("op", "config", configuration)
        gevent.sleep(delay)
        if "SIGHUP" in signals:
            context.process.signal(signal.SIGHUP)
    if "SIGTERM" in signals:
        context.process.stop(signal.SIGTERM, soak.SHUTDOWN_GRACE_SECONDS)
        assert context.process.child.returncode == 0, context.process.child.returncode
    else:
        gevent.sleep(0.5)
    callers.end()


@given("the store answers nobody from now on")
def step_store_away(context):
    context.site.store.fault = standin_store.Fault.SILENT


@when("callers send requests to a gateway that starts {delay:g} seconds after the first one stops")
def step_start_late(context, delay):
    stopping = gevent.spawn(context.site.gateways[0].stop)
    gevent.sleep(delay)
    started = context.site.add_gateway(is_ready_expected=False)
    callers = start_callers(context, started.settings.ingress_address)
    stopping.get(timeout=5.0)
    gevent.sleep(0.5)
    callers.end()


def read_log(context) -> str:
    """Return what the gateways have logged."""
    if "process" in context:
        log_path = context.process.folder / f"{context.process.name}.log"
        return log_path.read_text(encoding="utf-8")
    return context.log.getvalue()


def log_of(context, outcome: Outcome) -> list[str]:
    """Return the lines of the log about a request."""
    mark = f" id={outcome.request_id} "
    return [line for line in read_log(context).splitlines() if mark in line]


def was_cut_at_deadline(context, outcome: Outcome) -> bool:
    """Return whether a response had begun and was cut because the deadline passed.

    The gateway must end such a response, which has no other way to tell its caller; both its log
    and the time that the caller measured have to show it.
    """
    shortest = DEADLINE_SECONDS - forwarder.TIMEOUT_MARGIN_SECONDS
    is_logged = any(line.endswith(DEADLINE_CAUSE) for line in log_of(context, outcome))
    return bool(outcome.reply.status) and outcome.seconds >= shortest and is_logged


def describe(context, outcomes: list[Outcome]) -> str:
    """Return a description of requests, with what was logged of them."""
    lines = [f"{len(outcomes)} of {len(context.callers.outcomes)} requests:"]
    for outcome in outcomes[:MAX_DESCRIBED]:
        reply = outcome.reply
        lines.append(
            f"{outcome.request_id}: is_kept={outcome.is_kept} status={reply.status} "
            f"whole={reply.is_whole} seconds={outcome.seconds:.3f} body={reply.body!r}"
        )
        lines += log_of(context, outcome)
    return "\n".join(lines)


def unanswered(context) -> list[Outcome]:
    """Return the requests without a complete answer that were not cut at their deadline."""
    outcomes = context.callers.outcomes
    assert len(outcomes) > CALLER_COUNT, outcomes
    incomplete = [outcome for outcome in outcomes if not outcome.reply.is_whole]
    return [outcome for outcome in incomplete if not was_cut_at_deadline(context, outcome)]


@then("each request got a complete answer, or was cut at its deadline")
def step_answered(context):
    found = unanswered(context)
    assert not found, describe(context, found)


@then("some requests were cut at their deadline")
def step_cut(context):
    assert any(was_cut_at_deadline(context, outcome) for outcome in context.callers.outcomes)


@then(
    "each request got a complete answer, was cut at its deadline, or crossed a close and ran nowhere"
)
def step_answered_or_unread(context):
    ran = {
        seen.fields["request-id"]
        for worker in context.site.workers.values()
        for seen in worker.executed
    }
    found = [
        outcome
        for outcome in unanswered(context)
        if not outcome.is_kept or outcome.reply.status or outcome.request_id in ran
    ]
    assert not found, describe(context, found)


@then("requests were answered 200 and {status:d}")
def step_statuses(context, status):
    statuses = collections.Counter(outcome.reply.status for outcome in context.callers.outcomes)
    in_force = [line for line in read_log(context).splitlines() if " event=configuration " in line]
    assert {200, status} <= set(statuses), "\n".join([str(statuses), *in_force])
