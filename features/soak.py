"""Randomized soak: real gateways as processes, harmed from outside, and checked all the while.

Run `python -m features.soak --seeds=1-50 --jobs=3`. Each seed draws faults of the links between
gateways, to the store and to the endpoints, signals to the gateways, misbehaviour of the store, and
planned work, in series and overlapping. The checks are those of `soak_checker`.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
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
import tempfile
import time

import gevent
import gevent.lock
import gevent.pool
from gevent import subprocess

from bronzemux.gateway import http1
from bronzemux.platform import boot, standin_store, standin_worker
from features import gateway_support, soak_checker, soak_proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEEDS = pathlib.Path(__file__).resolve().parent / "soak_seeds.txt"
GATEWAYS = 3
CALLERS = 12
# Ports of the gateways' processes, of their own for each seed: a port that was only found to be free
# could be taken by another run until the process listens.
FIRST_PORT = 7_000
PORT_BLOCKS = 300
PORTS_EACH = 16
KINDS = ("filing", "status", "classify", "draft")
# Time between two requests of one caller.
PAUSE_SECONDS = 0.15
# Time between two faults; their lengths are drawn up to four times that, so that they overlap.
FAULT_PAUSE_SECONDS = 1.2
MAX_FAULT_SECONDS = 4.8
GRACE_SECONDS = 8.0
DEADLINE_MS = 2000
# Within this time after the last fault every gateway must serve each kind of request.
RECOVERY_SECONDS = 12.0
START_SECONDS = 10.0
CONFIG_SECONDS = 2.0
MAX_PRINTED = 20
CHILDREN: list[subprocess.Popen] = []
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


class Worker(standin_worker.StandInWorker):
    """Endpoint behind a proxy that notes what it runs."""

    def __init__(self, identity: str, service: str, history: soak_checker.History, weights=None):
        super().__init__(identity, service, weights)
        self.history = history
        self.event_seconds = 0.03
        self.execution_seconds = 0.02
        self.start()
        self.proxy = soak_proxy.Proxy(self.address)

    def entry(self, **changes) -> dict:
        """Return its entry in the store."""
        return super().entry(address=self.proxy.address, **changes)

    def _execute(self, channel, request) -> bool:
        fields = request.fields
        self.history.ran.append(
            soak_checker.Ran(
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
            soak_checker.Ordered(
                self.identity, order["holder"], order["fencing_token"], time.monotonic()
            )
        )
        return super()._accept_order(order)


class Process:
    """One gateway process behind proxies.

    Args:
      name: Name of its VM.
      store: Address of the store.
      folder: Where its settings and its log lie.
      first_port: First of the ports that it listens on.
    """

    def __init__(self, name: str, store: str, folder: pathlib.Path, first_port: int):
        self.name = name
        self.folder = folder
        self.store = soak_proxy.Proxy(store)
        names = ("front", "ready", "directory", "control")
        self.listen = {key: f"127.0.0.1:{first_port + n}" for n, key in enumerate(names)}
        self.peers = soak_proxy.Proxy(self.listen["control"])
        self.settings = folder / f"{name}.json"
        self.child: subprocess.Popen | None = None
        self.is_paused = False
        self.is_closed = False
        # One stop and start at a time; signals to a process that is ending may overlap.
        self.restarting = gevent.lock.Semaphore()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file."""
        document = {
            "node_name": self.name,
            "zone": "a",
            "zones": {"a": "r"},
            "listen": self.listen,
            "seeds": seeds,
            "bounds": {"grace_s": GRACE_SECONDS, "config_ms": int(CONFIG_SECONDS * 1000)},
            "platform": {"address": self.store.address},
        }
        self.settings.write_text(json.dumps(document), encoding="utf-8")

    def start(self) -> None:
        """Start the process, unless the run has ended meanwhile."""
        if self.is_closed:
            return
        environment = os.environ | {boot.PATH_VARIABLE: str(self.settings)}
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bronzemux.cli_gateway",
                    f"--advertised_peer_address={self.peers.address}",
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, which this soak started."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, number: int, seconds: float) -> None:
        """End the process by a signal, and by force when it takes too long."""
        self.signal(number)
        try:
            self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self.child.wait(seconds)


class Soak:
    """One run.

    Args:
      seed: Seed of the callers and of the faults.
      folder: Where settings and logs lie.
    """

    def __init__(self, seed: int, folder: pathlib.Path):
        self.random = random.Random(seed)
        self.folder = folder
        self.history = soak_checker.History()
        self.store = standin_store.StandInStore()
        self.store.start()
        self.version = 1
        self.weights = 1
        self.numbers = itertools.count(1)
        self.workers: dict[str, Worker] = {}
        self.retired: list[Worker] = []
        self.late_routes: list[tuple[str, float]] = []
        self.is_over = False
        for number in range(1, 3):
            self._add_worker(f"app-{number}", "app")
            self._add_worker(f"lm-{number}", "lm", {gateway_support.MODEL: 1})
        self._write_configuration()
        first = FIRST_PORT + seed % PORT_BLOCKS * PORTS_EACH
        self.processes = [
            Process(f"vm-{number}", self.store.address, folder, first + 4 * number)
            for number in range(GATEWAYS)
        ]
        seeds = [process.peers.address for process in self.processes]
        for process in self.processes:
            process.write_settings(seeds)

    def _add_worker(self, identity: str, service: str, weights=None) -> None:
        worker = Worker(identity, service, self.history, weights)
        self.workers[identity] = worker
        self.store.put("servers", identity, worker.entry())

    def _write_configuration(self) -> None:
        routes = list(gateway_support.configuration()["routes"])
        routes += [gateway_support.route(name, "safe", "app") for name, _ in self.late_routes]
        self.store.put("op", "config", gateway_support.configuration(self.version, routes))

    # Callers

    def _call(self, channel: http1.Channel, kind: str, router: str) -> soak_checker.Sent:
        number = next(self.numbers)
        attempt = soak_checker.Sent(
            f"q{number}", kind, f"/{kind}/{number}", "clerks", router, time.monotonic()
        )
        if kind == "late":
            attempt.target = f"/{self.late_routes[-1][0]}/{number}"
        self.history.sent.append(attempt)
        try:
            fields = {"Request_Id": attempt.id, "Deadline_Ms": str(DEADLINE_MS)}
            data = gateway_support.Site.encode(self, attempt.target, **fields)
            channel.sock.sendall(data)
            reply = gateway_support.read_reply(channel)
            attempt.status, attempt.body = reply.status, reply.body
            attempt.is_whole = reply.is_whole
            attempt.closes = reply.head is None or reply.head.is_closing()
        except (OSError, http1.EndOfStreamError):
            attempt.closes = True
        attempt.ended_at = time.monotonic()
        return attempt

    def _caller(self, number: int) -> None:
        """Send requests on one connection until it ends, then on another."""
        source = random.Random(number)
        while not self.is_over:
            process = source.choice(self.processes)
            host, _, port = process.listen["front"].rpartition(":")
            try:
                sock = socket.create_connection((host, int(port)), 1.0)
            except OSError:
                gevent.sleep(PAUSE_SECONDS)
                continue
            sock.settimeout(DEADLINE_MS / 1000 + 1.0)
            with sock:
                channel = http1.Channel(sock)
                while not self.is_over:
                    if self._call(channel, source.choice(KINDS), process.name).closes:
                        break
                    gevent.sleep(PAUSE_SECONDS * source.uniform(0.5, 1.5))

    def _probe(self, process: Process, kind: str) -> int:
        """Send one request on a fresh connection; return its status."""
        host, _, port = process.listen["front"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.settimeout(DEADLINE_MS / 1000 + 1.0)
                return self._call(http1.Channel(sock), kind, process.name).status
        except OSError:
            return 0

    # Faults

    def _fault(self) -> None:
        """Draw one fault or piece of planned work and carry it out."""
        seconds = self.random.uniform(0.3, MAX_FAULT_SECONDS)
        process = self.random.choice(self.processes)
        worker = self.random.choice(list(self.workers.values()))
        name = self.random.choice(sorted(FAULTS))
        began_at = time.monotonic()
        fault = soak_checker.Fault(name, "", began_at, began_at + seconds)
        if name in ROUTER_FAULTS:
            fault = dataclasses.replace(fault, router=process.name, is_planned=name in PLANNED)
        # It counts as going on until it is known to have ended.
        self.history.faults.append(dataclasses.replace(fault, ended_at=began_at + 60.0))
        place = len(self.history.faults) - 1
        self._note(f"{name} begins", process, worker)
        FAULTS[name](self, process, worker, seconds)
        self._note(f"{name} ended", process, worker)
        self.history.faults[place] = dataclasses.replace(fault, ended_at=time.monotonic())

    def _note(self, what: str, process: Process, worker: Worker) -> None:
        """Write what is done to whom beside the logs of the gateways, for the trace of a failure."""
        child = process.child.pid if process.child is not None else None
        moment = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
        with open(self.folder / "faults.log", "a", encoding="utf-8") as log:
            log.write(f"time={moment} {what} {process.name} pid={child} {worker.identity}\n")

    def _terminate(self, process, worker, seconds) -> None:
        if process.is_paused:
            return
        with process.restarting:
            process.stop(signal.SIGTERM, GRACE_SECONDS)
            process.start()

    def _kill(self, process, worker, seconds) -> None:
        process.signal(signal.SIGKILL)
        with process.restarting:
            process.stop(signal.SIGKILL, GRACE_SECONDS)
            gevent.sleep(seconds / 4)
            process.start()

    def _pause(self, process, worker, seconds) -> None:
        process.is_paused = True
        process.signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        process.signal(signal.SIGCONT)
        process.is_paused = False

    def _reload(self, process, worker, seconds) -> None:
        process.signal(signal.SIGHUP)

    def _cut(self, process, worker, seconds) -> None:
        proxy = self.random.choice((process.peers, process.store))
        proxy.is_cut_up, proxy.is_cut_down = self.random.choice(
            ((True, True), (True, False), (False, True))
        )
        gevent.sleep(seconds)
        proxy.heal()

    def _delay(self, process, worker, seconds) -> None:
        proxy = self.random.choice((process.peers, process.store, worker.proxy))
        proxy.delay = self.random.uniform(0.02, 0.3)
        gevent.sleep(seconds)
        proxy.heal()

    def _reset(self, process, worker, seconds) -> None:
        for proxy in (process.peers, process.store, worker.proxy):
            proxy.reset_links()

    def _stale(self, process, worker, seconds) -> None:
        for proxy in (process.peers, process.store, worker.proxy):
            proxy.make_links_stale()
        gevent.sleep(seconds)

    def _store(self, process, worker, seconds) -> None:
        self.store.fault = self.random.choice(STORE_FAULTS)
        gevent.sleep(seconds)
        self.store.fault = standin_store.Fault.NONE

    def _forget(self, process, worker, seconds) -> None:
        self.store.forget_history()

    def _spoil(self, process, worker, seconds) -> None:
        worker.fault = self.random.choice(WORKER_FAULTS)
        gevent.sleep(seconds)
        worker.fault = standin_worker.Fault.NONE

    def _crash(self, process, worker, seconds) -> None:
        if worker.proxy.is_down:
            return
        worker.proxy.take_down()
        gevent.sleep(seconds)
        worker.proxy.bring_up()

    def _replace(self, process, worker, seconds) -> None:
        """Bring up another endpoint, and let one drain and leave."""
        if worker.identity not in self.workers:
            return
        name = f"{worker.service}-n{next(self.numbers)}"
        self._add_worker(name, worker.service, worker.weights)
        gevent.sleep(0.5)
        del self.workers[worker.identity]
        self.retired.append(worker)
        self.store.put("servers", worker.identity, worker.entry(state="draining"))
        self.history.draining[worker.identity] = time.monotonic()
        gevent.sleep(soak_checker.DRAIN_SECONDS + 1.0)
        self.store.remove("servers", worker.identity)

    def _configure(self, process, worker, seconds) -> None:
        """Add a route, and ask for it everywhere once it must be in force."""
        self.version += self.random.randint(1, 3)
        self.late_routes.append((f"late{self.version}", time.monotonic()))
        self._write_configuration()
        gevent.sleep(CONFIG_SECONDS)
        for one in self.processes:
            self._probe(one, "late")

    def _name_weights(self, process, worker, seconds) -> None:
        self.weights += 1
        document = {"model": gateway_support.MODEL, "version": self.weights}
        self.store.put("op", f"version/{gateway_support.MODEL}", document)

    # The run

    def run(self, seconds: float) -> list[str]:
        """Run for a time; return the promises that were broken."""
        try:
            for process in self.processes:
                process.start()
            self._await_all(START_SECONDS)
            callers = [gevent.spawn(self._caller, number) for number in range(CALLERS)]
            self._inject(seconds)
            broken = self._recover()
            self.is_over = True
            gevent.joinall(callers, timeout=DEADLINE_MS / 1000 + 2.0)
            return broken + soak_checker.check(self.history)
        finally:
            self._end()

    def _inject(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        under_way = []
        while time.monotonic() < until:
            gevent.sleep(self.random.expovariate(1 / FAULT_PAUSE_SECONDS))
            under_way.append(gevent.spawn(self._fault))
        gevent.joinall(under_way, raise_error=True)

    def _await_all(self, seconds: float) -> list[str]:
        """Wait until each gateway serves each kind; return what is not served in time."""
        until = time.monotonic() + seconds
        missing = [(process, kind) for process in self.processes for kind in KINDS]
        while missing and time.monotonic() < until:
            missing = [item for item in missing if self._probe(*item) != 200]
            gevent.sleep(0.1)
        return [f"RECOVER {process.name} does not serve {kind}" for process, kind in missing]

    def _recover(self) -> list[str]:
        for process in self.processes:
            for proxy in (process.peers, process.store):
                proxy.heal()
        return self._await_all(RECOVERY_SECONDS)

    def _end(self) -> None:
        for process in self.processes:
            process.is_closed = True
            if process.child is not None:
                process.stop(signal.SIGKILL, GRACE_SECONDS)
        for worker in [*self.workers.values(), *self.retired]:
            worker.stop()
        self.store.stop()


FAULTS = {
    "terminate": Soak._terminate,
    "kill": Soak._kill,
    "pause": Soak._pause,
    "reload": Soak._reload,
    "cut": Soak._cut,
    "delay": Soak._delay,
    "reset": Soak._reset,
    "stale": Soak._stale,
    "store": Soak._store,
    "forget": Soak._forget,
    "spoil": Soak._spoil,
    "crash": Soak._crash,
    "replace": Soak._replace,
    "configure": Soak._configure,
    "weights": Soak._name_weights,
}
ROUTER_FAULTS = frozenset({"terminate", "kill", "pause", "reload", "cut"})
PLANNED = frozenset({"terminate", "reload", "replace", "configure", "weights"})


def run_seed(seed: int, seconds: float, keep: pathlib.Path | None = None) -> list[str]:
    """Run one seed; return the promises that were broken.

    Args:
      seed: The seed.
      seconds: How long faults are injected.
      keep: Where settings and logs are kept, a temporary folder when None.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return Soak(seed, keep).run(seconds)
    with tempfile.TemporaryDirectory() as folder:
        return Soak(seed, pathlib.Path(folder)).run(seconds)


def seeds_of(text: str) -> list[int]:
    """Return the seeds that a text such as `1-3,7` names."""
    found = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def run_apart(seed: int, arguments) -> tuple[int, str]:
    """Run one seed in a process of its own; return the seed and what it printed."""
    words = [sys.executable, "-m", "features.soak", f"--seeds={seed}", "--jobs=0"]
    words += [f"--seconds={arguments.seconds}"]
    if arguments.keep:
        words.append(f"--keep={arguments.keep}")
    with subprocess.Popen(words, cwd=ROOT, stdout=subprocess.PIPE) as child:
        CHILDREN.append(child)
        output = child.communicate()[0]
    return seed, output.decode(errors="replace")


def end_children() -> None:
    """End the runs of other seeds, which end their gateways, and this program."""
    for child in CHILDREN:
        if child.poll() is None:
            child.terminate()
    sys.exit(1)


def main(words: list[str]) -> int:
    """Run seeds; print what was broken; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", default="1", help="for instance 1-3,7")
    parser.add_argument("--seconds", type=float, default=14.0, help="how long faults are injected")
    parser.add_argument("--jobs", type=int, default=3, help="seeds at the same time")
    parser.add_argument("--keep", default="", help="folder for the logs")
    arguments = parser.parse_args(words)
    gevent.signal_handler(signal.SIGTERM, end_children)
    if not arguments.jobs:
        (seed,) = seeds_of(arguments.seeds)
        keep = pathlib.Path(arguments.keep) / str(seed) if arguments.keep else None
        broken = run_seed(seed, arguments.seconds, keep)
        print("\n".join(broken[:MAX_PRINTED]) or "no promise broken")
        if len(broken) > MAX_PRINTED:
            print(f"and {len(broken) - MAX_PRINTED} more")
        return 1 if broken else 0
    pool = gevent.pool.Pool(arguments.jobs)
    failed = 0
    runs = pool.imap_unordered(lambda seed: run_apart(seed, arguments), seeds_of(arguments.seeds))
    for seed, output in runs:
        is_good = output.strip() == "no promise broken"
        failed += not is_good
        print(f"seed {seed}: {output.strip() or 'the run ended early'}", flush=True)
    print(f"{failed} seeds broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
