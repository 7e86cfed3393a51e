"""Randomized soak test of real gateway processes under injected faults.

Run `python -m features.soak --seeds=1-50 --jobs=3`. Each seed draws a sequence of overlapping
faults: network faults between gateways, to the store and to the endpoints, signals to the gateways,
errors of the store and of endpoints, and planned operations. `soak_checker` checks the recorded
history for violated invariants. RECOVER is reported for a gateway that does not serve every kind of
request within `RECOVERY_TIMEOUT_SECONDS` after the last fault.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
import collections
import dataclasses
import datetime
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import sysconfig
import tempfile
import time

import gevent
import gevent.lock
import gevent.pool
from gevent import subprocess

from bronzemux.gateway import http1
from bronzemux.platform import boot, standin_store, standin_worker
from features import gateway_support, odd_entries, soak_checker, soak_proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEEDS_PATH = pathlib.Path(__file__).resolve().parent / "soak_seeds.txt"
GATEWAY_MODULE = "bronzemux.cli_gateway"
# How the deploy file starts a gateway.
LAUNCHER_ARGUMENTS = ("-S", "bronzemux/cli_launcher.py")
GATEWAY_COUNT = 3
CALLER_COUNT = 12
# Each seed has fixed ports of its own for the gateway processes: if free ports were looked up,
# another run could take one before the process listens on it.
FIRST_PORT = 7_000
PORT_RANGE_COUNT = 300
PORTS_PER_SEED = 16
# One caller in so many keeps using connections whose close was announced, until they end.
PERSISTENT_CALLER_RATIO = 3
# Time within which a host rejects bytes for a connection that it has closed.
REJECTION_SECONDS = 0.05
REQUEST_KINDS = ("filing", "status", "classify", "draft")
# Mean time between two requests of a caller.
REQUEST_INTERVAL_SECONDS = 0.15
# Mean time between the starts of two faults. A fault lasts up to four times as long, so that faults
# overlap.
FAULT_INTERVAL_SECONDS = 1.2
MAX_FAULT_SECONDS = 4.8
SHUTDOWN_GRACE_SECONDS = 8.0
DEADLINE_MS = 2000
# Streams may be silent for a while at two endpoints in turn.
STREAM_DEADLINE_MS = 4000
STREAM_KINDS = frozenset({"classify", "draft"})
# Time after the last fault within which every gateway must serve each kind of request.
RECOVERY_TIMEOUT_SECONDS = 12.0
STARTUP_TIMEOUT_SECONDS = 10.0
CONFIG_PROPAGATION_SECONDS = 2.0
# Callers reuse a connection after at most 0.23 s, less than four fifths of the shortest of these.
IDLE_TIMEOUTS_MS = (1000, 2000, 5000)
# A sleep of the first length that takes longer by the second shows that the machine was stalled.
STALL_CHECK_SECONDS = 0.1
MIN_STALL_SECONDS = 0.5
# Most operations in a series, and the longest pause between the starts of two of them.
MAX_SERIES_LENGTH = 5
SERIES_PAUSE_SECONDS = 0.4
ODD_ENTRY_SECONDS = 2.0
# Least and longest time for which an endpoint is silent in a stream.
SILENCE_SECONDS = (1.0, 1.5)
# Longest pause that an endpoint asks for.
MAX_PAUSE_SECONDS = 3
# Copies of the store, of which a restore uses one, and the longest time until what it lost is
# written again.
COPY_COUNT = 8
COPY_INTERVAL_SECONDS = 1.0
REWRITE_SECONDS = 2.0
# One request in so many is for a route that was added during the run.
LATE_REQUEST_RATIO = 6
# One request in so many has a part on which endpoints crash, once there is such a part.
CRASHING_REQUEST_RATIO = 3
MAX_CRASHING_PARTS = 2
ENDPOINT_RESTART_SECONDS = 1.0
PROCESS_POLL_SECONDS = 0.02
SOFTWARE_VERSIONS = ("v1", "v2", "v3")
# Longest time until the entry of an endpoint that restarted with other software is written.
MAX_ENTRY_DELAY_SECONDS = 0.3
# One resumable stream in so many ends as its caller's connection breaks.
BROKEN_STREAM_RATIO = 3
# Attempts to take a stream up, and the longest pause of a caller before each.
MAX_TAKE_UPS = 3
TAKE_UP_PAUSE_SECONDS = 0.3
MAX_PRINTED_VIOLATIONS = 20
SEED_PROCESSES: list[subprocess.Popen] = []
STORE_FAULTS = [fault for fault in standin_store.Fault if fault is not standin_store.Fault.NONE]
WORKER_FAULTS = (
    standin_worker.Fault.SHED,
    standin_worker.Fault.ERROR,
    standin_worker.Fault.RESET,
    standin_worker.Fault.RUN_AND_RESET,
    standin_worker.Fault.TRUNCATE,
    standin_worker.Fault.EXTRA,
    standin_worker.Fault.CROSSED,
    standin_worker.Fault.GARBAGE,
    standin_worker.Fault.CUT_STREAM,
)


class RecordingWorker(standin_worker.StandInWorker):
    """Stand-in endpoint behind a proxy that records the requests and load orders it receives.

    Attributes:
      written_entry: Its entry as it was last written.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        history: soak_checker.History,
        weights=None,
        software: str = SOFTWARE_VERSIONS[0],
    ):
        super().__init__(identity, service, weights, software)
        self.marks_software = True
        self.history = history
        self.on_crash = lambda worker: None
        self.state = "ready"
        self.heartbeats = 0
        self.written_entry: dict = {}
        self.event_seconds = 0.03
        self.execution_seconds = 0.02
        self.start()
        self.proxy = soak_proxy.Proxy(self.address)

    def entry(self, **changes) -> dict:
        """Return the next store entry, with the address of the proxy.

        An endpoint that leaves without saying so in its entry renews it no more.
        """
        if not self.is_leaving or self.state != "ready":
            self.heartbeats += 1
        fields = {
            "address": self.proxy.address,
            "sequence": self.heartbeats,
            "state": self.state,
        }
        self._record(f"writes an entry, heartbeat {self.heartbeats}, {self.state}")
        self.written_entry = super().entry(**(fields | changes))
        return self.written_entry

    def take_down(self) -> None:
        """Refuse connections and reset the open ones."""
        self._record("ends")
        self.proxy.take_down()

    def bring_up(self) -> None:
        """Accept connections again."""
        self.proxy.bring_up()
        self._record("accepts connections")

    def _record(self, what: str) -> None:
        process = f"{what} (start {self.started_at_ms}, {self.software})"
        event = soak_checker.EndpointEvent(self.identity, process, time.monotonic())
        self.history.events.append(event)

    def crash(self) -> None:
        """End the process; `SoakRun` brings it back."""
        if not self.proxy.is_down:
            self.take_down()
            gevent.spawn(self.on_crash, self)

    def _serve(self, channel, head, body: bytes) -> bool:
        if not head.start_line[1].startswith("/-/"):
            self.history.arrivals.append(
                soak_checker.Arrival(
                    head.get("request-id") or "",
                    self.identity,
                    self.started_at_ms,
                    time.monotonic(),
                )
            )
        return super()._serve(channel, head, body)

    def _encode_head(self, status: int, fields) -> bytes:
        values = dict(fields)
        if "Request-Id" in values:
            self.history.answers.append(
                soak_checker.Answer(
                    values["Request-Id"],
                    self.identity,
                    self.started_at_ms,
                    status,
                    self.is_leaving,
                    time.monotonic(),
                    int(values.get("Retry-After", "0")),
                )
            )
        return super()._encode_head(status, fields)

    def _execute(self, channel, request) -> bool:
        fields = request.fields
        parts = {part.partition(":")[0] for part in fields.get("prompt-prefix", "").split(",")}
        for part in parts & self.crashing_parts:
            crash = (fields.get("request-id", ""), time.monotonic())
            self.history.part_crashes.setdefault(part, []).append(crash)
        self.history.executions.append(
            soak_checker.Execution(
                fields.get("request-id", ""),
                request.target,
                fields.get("tenant", ""),
                "authorization" in fields,
                "kv-from" in fields,
                self.identity,
                time.monotonic(),
            )
        )
        return super()._execute(channel, request)

    def _accept_order(self, order: dict) -> int:
        self.history.orders.append(
            soak_checker.LoadOrder(
                self.identity, order["holder"], order["fencing_token"], time.monotonic()
            )
        )
        return super()._accept_order(order)


def environment() -> dict[str, str]:
    """Return the environment of a gateway; it names the packages, for which `-S` does not search."""
    return os.environ | {"PYTHONPATH": sysconfig.get_path("purelib")}


class GatewayProcess:
    """A gateway process whose connections to the store and from its peers pass through proxies.

    Args:
      name: Name of its VM.
      store_address: Address of the store.
      folder: Folder of its settings and its log.
      first_port: First of the ports that it listens on.
      module: Module that it runs.
    """

    def __init__(
        self,
        name: str,
        store_address: str,
        folder: pathlib.Path,
        first_port: int,
        module: str = GATEWAY_MODULE,
    ):
        self.name = name
        self.module = module
        self.folder = folder
        self.store_proxy = soak_proxy.Proxy(store_address)
        names = ("front", "ready", "directory", "control")
        self.listen_addresses = {key: f"127.0.0.1:{first_port + n}" for n, key in enumerate(names)}
        self.peer_proxy = soak_proxy.Proxy(self.listen_addresses["control"])
        self.settings_path = folder / f"{name}.json"
        self.child: subprocess.Popen | None = None
        self.is_paused = False
        self.is_closed = False
        # Prevents overlapping restarts. Signals may be sent without the lock, also to a process
        # that is shutting down.
        self.restart_lock = gevent.lock.Semaphore()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file.

        Args:
          seeds: Addresses of the gateways that it contacts first.
        """
        document = {
            "node_name": self.name,
            "zone": "a",
            "zones": {"a": "r"},
            "listen": self.listen_addresses,
            "seeds": seeds,
            "bounds": {
                "grace_s": SHUTDOWN_GRACE_SECONDS,
                "config_ms": int(CONFIG_PROPAGATION_SECONDS * 1000),
            },
            "platform": {"address": self.store_proxy.address},
        }
        self.settings_path.write_text(json.dumps(document), encoding="utf-8")

    def start(self) -> None:
        """Start the process, unless the run has ended."""
        if self.is_closed:
            return
        is_launched = self.module == GATEWAY_MODULE
        arguments = LAUNCHER_ARGUMENTS if is_launched else ("-m", self.module)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen(
                [
                    sys.executable,
                    *arguments,
                    f"--advertised_peer_address={self.peer_proxy.address}",
                ],
                cwd=ROOT,
                env=environment() | {boot.PATH_VARIABLE: str(self.settings_path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, number: int, seconds: float) -> None:
        """Send a signal that ends the process, and SIGKILL when it has not ended in time.

        Args:
          number: Number of the signal.
          seconds: Time to wait for the end of the process after each signal.
        """
        self.signal(number)
        try:
            self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self.child.wait(seconds)


class SoakRun:
    """One run: gateways, endpoints, callers and faults of one seed.

    Args:
      seed: Seed of the faults, which also selects the ports.
      folder: Folder of the settings and logs.
      fault_names: Keys of `FAULTS` to draw from, empty for all.
      gateway_module: Module that a gateway process runs.
      sought: Invariant whose first violation ends the injection of faults, empty for none.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        fault_names: tuple[str, ...] = (),
        gateway_module: str = GATEWAY_MODULE,
        sought: str = "",
    ):
        self.sought = sought
        self.fault_names = fault_names or tuple(sorted(FAULTS))
        self.random = random.Random(seed)
        self.folder = folder
        self.history = soak_checker.History()
        self.store = standin_store.StandInStore()
        self.store.start()
        self.config_version = 1
        self.idle_timeout_ms = IDLE_TIMEOUTS_MS[-1]
        self.weights_version = 1
        # Also read by `gateway_support.Site.encode`, which is called with this object as `self`.
        self.numbers = itertools.count(1)
        self.workers: dict[str, RecordingWorker] = {}
        self.removed_workers: list[RecordingWorker] = []
        # Endpoints that have an entry in the store, also while they are draining.
        self.registered: dict[str, RecordingWorker] = {}
        self.odd_keys: set[str] = set()
        self.copies: collections.deque[standin_store.Copy] = collections.deque(maxlen=COPY_COUNT)
        self.added_routes: list[tuple[str, float]] = []
        self.crashing_parts: list[str] = []
        self.is_finished = False
        for number in range(1, 3):
            self._add_worker(f"app-{number}", "app")
        # With a third one, two of a version are left after a release.
        for number in range(1, 4):
            self._add_worker(f"lm-{number}", "lm", {gateway_support.MODEL: 1})
        self._write_configuration()
        first_port = FIRST_PORT + seed % PORT_RANGE_COUNT * PORTS_PER_SEED
        self.processes = [
            GatewayProcess(
                f"vm-{number}",
                self.store.address,
                folder,
                first_port + 4 * number,
                gateway_module,
            )
            for number in range(GATEWAY_COUNT)
        ]
        seeds = [process.peer_proxy.address for process in self.processes]
        for process in self.processes:
            process.write_settings(seeds)

    def _add_worker(
        self, identity: str, service: str, weights=None, software: str = SOFTWARE_VERSIONS[0]
    ) -> None:
        worker = RecordingWorker(identity, service, self.history, weights, software)
        worker.on_crash = self._restart_crashed
        worker.crashing_parts = frozenset(self.crashing_parts)
        self.workers[identity] = self.registered[identity] = worker
        self._write_entry(worker)
        self._record_software(worker)

    def _record_software(self, worker: RecordingWorker) -> None:
        """Record that a model endpoint serves from now on."""
        if worker.weights:
            interval = soak_checker.SoftwareInterval(
                worker.identity, worker.software, time.monotonic()
            )
            self.history.software.append(interval)

    def _record_software_end(self, worker: RecordingWorker) -> None:
        """Record that an endpoint serves with its software no more."""
        for interval in self.history.software:
            if interval.endpoint == worker.identity:
                interval.ended_at = min(interval.ended_at, time.monotonic())

    def _write_entry(self, worker: RecordingWorker) -> None:
        self.store.put("servers", worker.identity, worker.entry())

    def _await_process(self, worker: RecordingWorker) -> None:
        """Wait until an endpoint runs, as one that has ended writes no entry."""
        while worker.proxy.is_down:
            gevent.sleep(PROCESS_POLL_SECONDS)

    def _write_configuration(self) -> None:
        routes = list(gateway_support.configuration()["routes"])
        routes += [gateway_support.route(name, "safe", "app") for name, _ in self.added_routes]
        for route in routes:
            if route["name"] in STREAM_KINDS:
                route["timeout_ms"] = STREAM_DEADLINE_MS
        document = gateway_support.configuration(self.config_version, routes)
        document["limits"]["idle_timeout_ms"] = self.idle_timeout_ms
        self.history.idle_timeouts.append(self.idle_timeout_ms / 1000)
        self.store.put("op", "config", document)

    def _write_target(self) -> None:
        document = {"model": gateway_support.MODEL, "version": self.weights_version}
        self.store.put("op", f"version/{gateway_support.MODEL}", document)

    # Callers

    def _send_request(
        self,
        channel: http1.Channel,
        kind: str,
        router: str,
        idle_seconds: float = 0.0,
        is_after_close: bool = False,
        last: int = 0,
        earlier: tuple[soak_checker.RequestAttempt, ...] = (),
    ) -> soak_checker.RequestAttempt:
        """Send a request, read its response and record both.

        Args:
          channel: Connection to a router.
          kind: Kind of the request.
          router: Name of the router.
          idle_seconds: Time since the response before on the connection.
          is_after_close: Whether the response before announced the close of the connection.
          last: Event after which the caller's connection breaks, 0 for none.
          earlier: Earlier attempts of a stream that is taken up.
        """
        number = next(self.numbers)
        attempt = soak_checker.RequestAttempt(
            f"q{number}", kind, f"/{kind}/{number}", "clerks", router, time.monotonic()
        )
        attempt.idle_seconds = idle_seconds
        attempt.is_after_close = is_after_close
        if kind == "late":
            attempt.target = f"/{self._due_routes()[-1]}/{number}"
        if earlier:
            attempt.target = earlier[0].target
            attempt.resumes = earlier[0].id
            attempt.last_event_id = max(n for found in earlier for n, _ in found.events())
        self.history.attempts.append(attempt)

        def is_enough(body: bytes) -> bool:
            numbers = soak_checker.EVENT_PATTERN.findall(body) if last else ()
            return bool(numbers) and int(numbers[-1][0]) >= last

        try:
            deadline_ms = STREAM_DEADLINE_MS if kind in STREAM_KINDS else DEADLINE_MS
            fields = {"Request_Id": attempt.id, "Deadline_Ms": str(deadline_ms)}
            if kind == "classify" and self.crashing_parts and number % CRASHING_REQUEST_RATIO == 0:
                part = self.crashing_parts[number % len(self.crashing_parts)]
                fields["Prompt_Prefix"] = f"aa:50,{part}:20,{number:x}:30"
            if earlier:
                fields |= {"Resumes": attempt.resumes, "Last_Event_Id": str(attempt.last_event_id)}
            data = gateway_support.Site.encode(self, attempt.target, **fields)
            channel.sock.sendall(data)
            reply = gateway_support.read_reply(
                channel, body_errors=(OSError, http1.EndOfStreamError), is_enough=is_enough
            )
            attempt.status, attempt.body = reply.status, reply.body
            attempt.is_whole = reply.is_whole
            attempt.is_abandoned = is_enough(reply.body) and not reply.is_whole
            # A response that was broken off ends the connection.
            attempt.is_closing = not reply.is_whole or reply.head.is_closing()
        except (OSError, http1.EndOfStreamError):
            attempt.is_closing = True
        attempt.ended_at = time.monotonic()
        if not attempt.status:
            attempt.is_rejected = is_rejected(channel.sock)
        return attempt

    def _due_routes(self) -> list[str]:
        """Return the names of the added routes that must be in force."""
        added_before = time.monotonic() - CONFIG_PROPAGATION_SECONDS
        return [name for name, added_at in self.added_routes if added_at <= added_before]

    def _choose_kind(self, rng: random.Random) -> str:
        if self._due_routes() and not rng.randrange(LATE_REQUEST_RATIO):
            return "late"
        return rng.choice(REQUEST_KINDS)

    def _run_caller(self, number: int) -> None:
        """Send requests until the run is finished, on a new connection whenever one ends."""
        rng = random.Random(number)
        while not self.is_finished:
            process = rng.choice(self.processes)
            host, _, port = process.listen_addresses["front"].rpartition(":")
            try:
                sock = socket.create_connection((host, int(port)), 1.0)
            except OSError:
                gevent.sleep(REQUEST_INTERVAL_SECONDS)
                continue
            sock.settimeout(STREAM_DEADLINE_MS / 1000 + 1.0)
            attempt = None
            with sock:
                channel = http1.Channel(sock)
                idle_seconds, is_after_close = 0.0, False
                while not self.is_finished:
                    kind = self._choose_kind(rng)
                    attempt = self._send_request(
                        channel,
                        kind,
                        process.name,
                        idle_seconds,
                        is_after_close,
                        self._draw_break(rng, kind),
                    )
                    is_after_close = attempt.is_closing
                    if not attempt.is_whole or (
                        attempt.is_closing and number % PERSISTENT_CALLER_RATIO
                    ):
                        break
                    gevent.sleep(REQUEST_INTERVAL_SECONDS * rng.uniform(0.5, 1.5))
                    idle_seconds = time.monotonic() - attempt.ended_at
            if attempt is not None and attempt.kind == "classify" and attempt.events():
                self._take_up(rng, attempt)

    def _draw_break(self, rng: random.Random, kind: str, first: int = 1) -> int:
        """Return the event after which a caller's connection breaks, 0 if it does not.

        Args:
          rng: Random numbers of the caller.
          kind: Kind of the request.
          first: First event that the caller expects.
        """
        if kind != "classify" or first >= soak_checker.EVENTS_PER_STREAM:
            return 0
        if rng.randrange(BROKEN_STREAM_RATIO):
            return 0
        return rng.randrange(first, soak_checker.EVENTS_PER_STREAM)

    def _take_up(self, rng: random.Random, attempt: soak_checker.RequestAttempt) -> None:
        """Take up a stream that has broken off, at any router."""
        attempts = [attempt]
        for _ in range(MAX_TAKE_UPS):
            if self.is_finished or attempts[-1].is_whole:
                return
            gevent.sleep(rng.uniform(0.0, TAKE_UP_PAUSE_SECONDS))
            process = rng.choice(self.processes)
            host, _, port = process.listen_addresses["front"].rpartition(":")
            following = max(n for found in attempts for n, _ in found.events()) + 1
            try:
                with socket.create_connection((host, int(port)), 1.0) as sock:
                    sock.settimeout(STREAM_DEADLINE_MS / 1000 + 1.0)
                    found = self._send_request(
                        http1.Channel(sock),
                        attempt.kind,
                        process.name,
                        last=self._draw_break(rng, attempt.kind, following),
                        earlier=tuple(attempts),
                    )
                    attempts.append(found)
            except OSError:
                continue

    def _probe(self, process: GatewayProcess, kind: str) -> int:
        """Send one request on a new connection and return the status, 0 without a response."""
        host, _, port = process.listen_addresses["front"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.settimeout(STREAM_DEADLINE_MS / 1000 + 1.0)
                return self._send_request(http1.Channel(sock), kind, process.name).status
        except OSError:
            return 0

    # Faults

    def _inject_fault(self) -> None:
        """Draw one fault or planned operation and inject it."""
        seconds = self.random.uniform(0.3, MAX_FAULT_SECONDS)
        process = self.random.choice(self.processes)
        worker = self.random.choice(list(self.workers.values()))
        self._inject(self.random.choice(self.fault_names), process, worker, seconds)

    def _inject(self, name: str, process, worker, seconds: float) -> None:
        """Inject a fault and record it.

        Args:
          name: Key of `FAULTS`.
          process: Gateway that it may affect.
          worker: Endpoint that it may affect.
          seconds: How long it lasts.
        """
        started_at = time.monotonic()
        fault = soak_checker.Fault(name, "", started_at, started_at + seconds)
        if name in ROUTER_FAULTS:
            fault = dataclasses.replace(fault, router=process.name, is_planned=name in PLANNED)
        # The checks regard the fault as ongoing until its actual end is recorded.
        self.history.faults.append(dataclasses.replace(fault, ended_at=started_at + 60.0))
        index = len(self.history.faults) - 1
        self._log_fault(f"{name} begins", process, worker)
        FAULTS[name](self, process, worker, seconds)
        self._log_fault(f"{name} ended", process, worker)
        self.history.faults[index] = dataclasses.replace(fault, ended_at=time.monotonic())

    def _log_fault(self, event: str, process: GatewayProcess, worker: RecordingWorker) -> None:
        """Append an event to faults.log, next to the gateway logs, to help trace a failure."""
        pid = process.child.pid if process.child is not None else None
        timestamp = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
        with open(self.folder / "faults.log", "a", encoding="utf-8") as log:
            log.write(f"time={timestamp} {event} {process.name} pid={pid} {worker.identity}\n")

    def _terminate(self, process, worker, seconds) -> None:
        if process.is_paused:
            return
        with process.restart_lock:
            process.stop(signal.SIGTERM, SHUTDOWN_GRACE_SECONDS)
            process.start()

    def _kill(self, process, worker, seconds) -> None:
        process.signal(signal.SIGKILL)
        with process.restart_lock:
            process.stop(signal.SIGKILL, SHUTDOWN_GRACE_SECONDS)
            gevent.sleep(seconds / 4)
            process.start()

    def _lose_power(self, process, worker, seconds) -> None:
        """Kill all gateways at once and start them again."""
        running = [gevent.spawn(self._kill, found, worker, seconds) for found in self.processes]
        gevent.joinall(running, raise_error=True)

    def _pause(self, process, worker, seconds) -> None:
        process.is_paused = True
        process.signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        process.signal(signal.SIGCONT)
        process.is_paused = False

    def _reload(self, process, worker, seconds) -> None:
        process.signal(signal.SIGHUP)

    def _drop_traffic(self, process, worker, seconds) -> None:
        proxy = self.random.choice((process.peer_proxy, process.store_proxy))
        proxy.is_dropping_to_target, proxy.is_dropping_to_client = self.random.choice(
            ((True, True), (True, False), (False, True))
        )
        gevent.sleep(seconds)
        proxy.clear_faults()

    def _delay_traffic(self, process, worker, seconds) -> None:
        proxy = self.random.choice((process.peer_proxy, process.store_proxy, worker.proxy))
        proxy.delay_seconds = self.random.uniform(0.02, 0.3)
        gevent.sleep(seconds)
        # An endpoint that another fault has taken down stays down.
        proxy.delay_seconds = 0.0

    def _reset_connections(self, process, worker, seconds) -> None:
        for proxy in (process.peer_proxy, process.store_proxy, worker.proxy):
            proxy.reset_connections()

    def _blackhole_connections(self, process, worker, seconds) -> None:
        for proxy in (process.peer_proxy, process.store_proxy, worker.proxy):
            proxy.blackhole_connections()
        gevent.sleep(seconds)

    def _inject_store_fault(self, process, worker, seconds) -> None:
        self.store.fault = self.random.choice(STORE_FAULTS)
        gevent.sleep(seconds)
        self.store.fault = standin_store.Fault.NONE

    def _drop_store_history(self, process, worker, seconds) -> None:
        self.store.forget_history()

    def _copy_store(self) -> None:
        while not self.is_finished:
            self.copies.append(self.store.copy())
            gevent.sleep(COPY_INTERVAL_SECONDS)

    def _restore_store(self, process, worker, seconds) -> None:
        """Let the store be away and come back from a copy; then write again what was lost."""
        copy = self.random.choice(self.copies)
        self.store.fault = standin_store.Fault.BUSY
        gevent.sleep(seconds / 4)
        self.store.restore(copy)
        self.store.fault = standin_store.Fault.NONE
        self.copies.clear()
        self.copies.append(copy)
        gevent.sleep(self.random.uniform(0.0, REWRITE_SECONDS))
        self._write_configuration()
        if self.weights_version > 1:
            self._write_target()
        for found in self.registered.values():
            if found.proxy.is_down:
                # A process that has ended writes nothing; the copy may have had its entry.
                self.store.put("servers", found.identity, found.written_entry)
            else:
                self._write_entry(found)
        # The store expires the entries of endpoints that are gone.
        for table, key in list(self.store.rows):
            if table == "servers" and key not in self.registered and key not in self.odd_keys:
                self.store.remove(table, key)

    def _inject_worker_fault(self, process, worker, seconds) -> None:
        worker.fault = self.random.choice(WORKER_FAULTS)
        gevent.sleep(seconds)
        worker.fault = standin_worker.Fault.NONE

    def _crash_worker(self, process, worker, seconds) -> None:
        if worker.proxy.is_down:
            return
        worker.take_down()
        gevent.sleep(seconds)
        worker.bring_up()

    def _add_crashing_part(self, process, worker, seconds) -> None:
        """Let callers send, from now on, requests with a part on which endpoints crash."""
        if len(self.crashing_parts) < MAX_CRASHING_PARTS:
            self.crashing_parts.append(f"dead{len(self.crashing_parts)}")
        for found in self.workers.values():
            found.crashing_parts = frozenset(self.crashing_parts)
        gevent.sleep(seconds)

    def _restart_crashed(self, worker: RecordingWorker) -> None:
        gevent.sleep(ENDPOINT_RESTART_SECONDS)
        worker.started_at_ms += 1
        if worker.identity in self.workers:
            self._write_entry(worker)
        if worker.proxy.is_down:
            worker.bring_up()

    def _replace_worker(self, process, worker, seconds, software: str = "") -> None:
        """Start another endpoint, then drain an endpoint and remove it from the store.

        Args:
          process: Gateway, which is not affected.
          worker: The endpoint.
          seconds: Not used.
          software: Version of the other endpoint's software, empty for the same one.
        """
        if worker.identity not in self.workers:
            return
        name = f"{worker.service}-n{next(self.numbers)}"
        self._add_worker(name, worker.service, worker.weights, software or worker.software)
        gevent.sleep(0.5)
        self._await_process(worker)
        if self.workers.pop(worker.identity, None) is None:
            # Another fault has replaced it meanwhile.
            return
        self.removed_workers.append(worker)
        worker.state = "draining"
        self._write_entry(worker)
        self._record_software_end(worker)
        self.history.draining_since[worker.identity] = time.monotonic()
        gevent.sleep(soak_checker.DRAIN_PROPAGATION_SECONDS + 1.0)
        del self.registered[worker.identity]
        self.store.remove("servers", worker.identity)

    def _draw_release(self) -> tuple[RecordingWorker, str]:
        """Return a model endpoint and another version of its software."""
        worker = self.random.choice([found for found in self.workers.values() if found.weights])
        others = [version for version in SOFTWARE_VERSIONS if version != worker.software]
        return worker, self.random.choice(others)

    def _release(self, process, worker, seconds) -> None:
        """Replace a model endpoint by one with another version of the software."""
        worker, software = self._draw_release()
        self._replace_worker(process, worker, seconds, software)

    def _release_out_of_step(self, process, worker, seconds) -> None:
        """Release software while a gateway is cut off, paused or slow, and break the streams."""
        obstacle = self.random.choice(("cut", "delay", "pause", "stale"))
        running = [
            gevent.spawn(self._inject, name, process, worker, seconds)
            for name in (obstacle, "release")
        ]
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            gevent.sleep(self.random.uniform(0.1, 0.6))
            found = self.random.choice(list(self.workers.values()))
            self._inject("reset", process, found, 0.0)
        gevent.joinall(running, raise_error=True)

    def _reinstall(self, process, worker, seconds) -> None:
        """Restart a model endpoint with other software under its identity."""
        worker, software = self._draw_release()
        if worker.proxy.is_down:
            return
        worker.take_down()
        self._record_software_end(worker)
        gevent.sleep(seconds / 4)
        worker.software = software
        worker.started_at_ms += 1
        if worker.proxy.is_down:
            worker.bring_up()
        gevent.sleep(max(0.0, self.random.uniform(-1, 1) * MAX_ENTRY_DELAY_SECONDS))
        if worker.identity in self.workers:
            self._write_entry(worker)
            self._record_software(worker)

    def _announce_leaving(self, process, worker, seconds) -> None:
        """Let an endpoint announce that it leaves, until its next incarnation starts.

        Its entry says so as well, or does not, or the store is away meanwhile.
        """
        form = self.random.choice(("draining entry", "ready entry", "no store"))
        self._await_process(worker)
        worker.is_leaving = True
        running = []
        if form == "draining entry":
            worker.state = "draining"
            self._write_entry(worker)
        elif form == "no store":
            running.append(gevent.spawn(self._inject, "store", process, worker, seconds))
        gevent.sleep(soak_checker.DRAIN_PROPAGATION_SECONDS + seconds)
        gevent.joinall(running, raise_error=True)
        self._await_process(worker)
        if worker.identity in self.workers:
            worker.is_leaving, worker.state = False, "ready"
            worker.started_at_ms += 1
            self._write_entry(worker)

    def _shed_load(self, process, worker, seconds) -> None:
        """Let an endpoint refuse requests and ask for a pause."""
        worker.retry_after = str(self.random.randint(1, MAX_PAUSE_SECONDS))
        worker.states_not_executed = self.random.choice((True, False))
        worker.fault = standin_worker.Fault.SHED
        gevent.sleep(seconds)
        worker.fault = standin_worker.Fault.NONE
        worker.retry_after, worker.states_not_executed = None, True

    def _silence_streams(self, process, worker, seconds) -> None:
        """Let a model endpoint be silent for a while in each stream, and then go on."""
        worker = self.random.choice([found for found in self.workers.values() if found.weights])
        worker.silence_seconds = self.random.uniform(*SILENCE_SECONDS)
        worker.has_split_events = self.random.choice((True, False))
        gevent.sleep(seconds)
        worker.silence_seconds, worker.has_split_events = 0.0, False

    def _add_route(self, process, worker, seconds) -> None:
        """Add a route, and request it from every gateway once it must be in force."""
        self.config_version += self.random.randint(1, 3)
        self.added_routes.append((f"late{self.config_version}", time.monotonic()))
        self._write_configuration()
        gevent.sleep(CONFIG_PROPAGATION_SECONDS)
        for gateway_process in self.processes:
            self._probe(gateway_process, "late")

    def _change_idle_timeout(self, process, worker, seconds) -> None:
        self.config_version += 1
        self.idle_timeout_ms = self.random.choice(IDLE_TIMEOUTS_MS)
        self._write_configuration()

    def _leave_odd_entry(self, process, worker, seconds) -> None:
        """Leave an odd entry among those of the endpoints for a while."""
        key, value = self.random.choice(list(odd_entries.ODD_ENTRIES.values()))
        self.odd_keys.add(key)
        self.store.put("servers", key, value)
        gevent.sleep(ODD_ENTRY_SECONDS)
        self.odd_keys.discard(key)
        self.store.remove("servers", key)

    def _run_series(self, process, worker, seconds) -> None:
        """Start planned operations on one gateway within a short time, so that they overlap."""
        running = []
        for _ in range(self.random.randint(2, MAX_SERIES_LENGTH)):
            name = self.random.choice(SERIES)
            running.append(gevent.spawn(self._inject, name, process, worker, seconds))
            gevent.sleep(self.random.uniform(0.0, SERIES_PAUSE_SECONDS))
        gevent.joinall(running, raise_error=True)

    def _set_target_weights(self, process, worker, seconds) -> None:
        self.weights_version += 1
        self._write_target()

    # Run and recovery

    def run(self, seconds: float) -> list[str]:
        """Run and check the system; return the violated invariants, one line each.

        Args:
          seconds: Time during which faults are injected.
        """
        try:
            for process in self.processes:
                process.start()
            self._wait_until_serving(STARTUP_TIMEOUT_SECONDS)
            callers = [gevent.spawn(self._run_caller, number) for number in range(CALLER_COUNT)]
            helpers = [gevent.spawn(self._watch_stalls), gevent.spawn(self._copy_store)]
            gevent.sleep(0)
            self._inject_faults(seconds)
            violations = self._check_recovery()
            self.is_finished = True
            gevent.joinall([*callers, *helpers], timeout=STREAM_DEADLINE_MS / 1000 + 2.0)
            for line in soak_checker.mixed_streams(self.history):
                print(line, file=sys.stderr)
            for line in soak_checker.trace_mixed_streams(self.history):
                print(line, file=sys.stderr)
            return violations + soak_checker.check(self.history)
        finally:
            self._stop_all()

    def _watch_stalls(self) -> None:
        """Record when this process, and so the machine, did not run for a while."""
        while not self.is_finished:
            started_at = time.monotonic()
            gevent.sleep(STALL_CHECK_SECONDS)
            ended_at = time.monotonic()
            if ended_at - started_at > STALL_CHECK_SECONDS + MIN_STALL_SECONDS:
                stall = soak_checker.Fault("stall", "", started_at, ended_at)
                self.history.faults.append(stall)
                print(f"the machine stalled for {ended_at - started_at:.1f} s", file=sys.stderr)

    def _inject_faults(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        running_faults = []
        while time.monotonic() < deadline and not self._is_found():
            gevent.sleep(self.random.expovariate(1 / FAULT_INTERVAL_SECONDS))
            running_faults.append(gevent.spawn(self._inject_fault))
        gevent.joinall(running_faults, raise_error=True)

    def _is_found(self) -> bool:
        if not self.sought:
            return False
        latest = time.monotonic() - 2 * REJECTION_SECONDS
        ended = [found for found in self.history.attempts if 0.0 < found.ended_at < latest]
        violations = soak_checker.check(dataclasses.replace(self.history, attempts=ended))
        return any(line.split()[0] == self.sought for line in violations)

    def _wait_until_serving(self, seconds: float) -> list[str]:
        """Wait until every gateway serves every kind of request.

        Args:
          seconds: Timeout.

        Returns:
          One line for each gateway and kind of request that was not served in time.
        """
        deadline = time.monotonic() + seconds
        not_served = [(process, kind) for process in self.processes for kind in REQUEST_KINDS]
        while not_served and time.monotonic() < deadline:
            not_served = [item for item in not_served if self._probe(*item) != 200]
            gevent.sleep(0.1)
        return [f"RECOVER {process.name} does not serve {kind}" for process, kind in not_served]

    def _check_recovery(self) -> list[str]:
        for process in self.processes:
            for proxy in (process.peer_proxy, process.store_proxy):
                proxy.clear_faults()
        return self._wait_until_serving(RECOVERY_TIMEOUT_SECONDS)

    def _stop_all(self) -> None:
        for process in self.processes:
            process.is_closed = True
            if process.child is not None:
                process.stop(signal.SIGKILL, SHUTDOWN_GRACE_SECONDS)
        for worker in [*self.workers.values(), *self.removed_workers]:
            worker.stop()
        self.store.stop()


FAULTS = {
    "terminate": SoakRun._terminate,
    "kill": SoakRun._kill,
    "power": SoakRun._lose_power,
    "pause": SoakRun._pause,
    "reload": SoakRun._reload,
    "cut": SoakRun._drop_traffic,
    "delay": SoakRun._delay_traffic,
    "reset": SoakRun._reset_connections,
    "stale": SoakRun._blackhole_connections,
    "store": SoakRun._inject_store_fault,
    "forget": SoakRun._drop_store_history,
    "restore": SoakRun._restore_store,
    "spoil": SoakRun._inject_worker_fault,
    "crash": SoakRun._crash_worker,
    "poison": SoakRun._add_crashing_part,
    "replace": SoakRun._replace_worker,
    "release": SoakRun._release,
    "out of step": SoakRun._release_out_of_step,
    "reinstall": SoakRun._reinstall,
    "leave": SoakRun._announce_leaving,
    "shed": SoakRun._shed_load,
    "silence": SoakRun._silence_streams,
    "configure": SoakRun._add_route,
    "weights": SoakRun._set_target_weights,
    "retime": SoakRun._change_idle_timeout,
    "odd": SoakRun._leave_odd_entry,
    "series": SoakRun._run_series,
}
ROUTER_FAULTS = frozenset({"terminate", "kill", "pause", "reload", "cut"})
PLANNED = frozenset(
    {"terminate", "reload", "replace", "configure", "weights", "retime", "odd", "series"}
)
# Operations of a series.
SERIES = ("terminate", "reload", "reload", "configure", "retime", "odd")


def is_rejected(sock: socket.socket) -> bool:
    """Return whether the peer, which has closed a connection, rejects what was sent to it.

    A host rejects bytes that arrive after the close, or that were not read before it.
    """
    gevent.sleep(REJECTION_SECONDS)
    try:
        sock.send(b"\r\n")
    except OSError:
        return True
    return False


def run_seed(seed: int, seconds: float, keep: pathlib.Path | None = None, **options) -> list[str]:
    """Run one seed; return the violated invariants, one line each.

    Args:
      seed: Seed of the run.
      seconds: Time during which faults are injected.
      keep: Folder in which settings and logs are kept; None for a temporary folder.
      options: Further arguments of `SoakRun`.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return SoakRun(seed, keep, **options).run(seconds)
    with tempfile.TemporaryDirectory() as folder:
        return SoakRun(seed, pathlib.Path(folder), **options).run(seconds)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds listed in a text such as `1-3,7`."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def run_in_subprocess(seed: int, arguments) -> tuple[int, str]:
    """Run one seed in a subprocess; return the seed and its output."""
    command = [sys.executable, "-m", "features.soak", f"--seeds={seed}", "--jobs=0"]
    command += [f"--seconds={arguments.seconds}"]
    command += [f"--faults={arguments.faults}"]
    if arguments.keep:
        command.append(f"--keep={arguments.keep}")
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as child:
        SEED_PROCESSES.append(child)
        output = child.communicate()[0]
    return seed, output.decode(errors="replace")


def terminate_seed_processes() -> None:
    """Terminate the subprocesses of the seeds, which then stop their gateways, and exit."""
    for child in SEED_PROCESSES:
        if child.poll() is None:
            child.terminate()
    sys.exit(1)


def main(command_line: list[str]) -> int:
    """Run seeds and print the violated invariants; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", default="1", help="seeds and ranges of seeds, for example 1-3,7")
    parser.add_argument(
        "--seconds", type=float, default=14.0, help="seconds during which faults are injected"
    )
    parser.add_argument(
        "--jobs",
        type=int,
        default=3,
        help="number of seeds to run in parallel, 0 to run a single seed in this process",
    )
    parser.add_argument(
        "--faults", default="", help="faults to draw from, separated by commas; empty for all"
    )
    parser.add_argument("--keep", default="", help="folder in which settings and logs are kept")
    arguments = parser.parse_args(command_line)
    gevent.signal_handler(signal.SIGTERM, terminate_seed_processes)
    if not arguments.jobs:
        (seed,) = parse_seeds(arguments.seeds)
        keep = pathlib.Path(arguments.keep) / str(seed) if arguments.keep else None
        faults = tuple(filter(None, arguments.faults.split(",")))
        violations = run_seed(seed, arguments.seconds, keep, fault_names=faults)
        print("\n".join(violations[:MAX_PRINTED_VIOLATIONS]) or "no promise broken")
        if len(violations) > MAX_PRINTED_VIOLATIONS:
            print(f"and {len(violations) - MAX_PRINTED_VIOLATIONS} more")
        return 1 if violations else 0
    pool = gevent.pool.Pool(arguments.jobs)
    failed_count = 0
    runs = pool.imap_unordered(
        lambda seed: run_in_subprocess(seed, arguments), parse_seeds(arguments.seeds)
    )
    for seed, output in runs:
        has_passed = output.strip() == "no promise broken"
        failed_count += not has_passed
        print(f"seed {seed}: {output.strip() or 'the run produced no output'}", flush=True)
    print(f"{failed_count} seeds broke a promise")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
