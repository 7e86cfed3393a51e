"""Requests reach an endpoint long after its entry was removed, if channels to the store go silent.

The open channels of all machines to the store go silent for good, while new ones work. One second
later the store removes the entry of an endpoint that leaves without reporting that it drains. It
goes on serving for the drain time and a little longer, and then exits.
"""

from gevent import monkey

monkey.patch_all()

import pathlib
import time

import gevent

from bronzemux.platform import standin_worker
from features import gateway_support, soak_proxy
from review import harness_3

FOLDER = pathlib.Path(__file__).resolve().parent
DRAIN_SECONDS = harness_3.BOUNDS["drain_ms"] / 1000
STABLE_SECONDS = harness_3.BOUNDS["stable_window_ms"] / 1000
# From the silence to the removal of the entry.
REMOVAL_SECONDS = 1.0
# How long an endpoint that leaves serves beyond the drain time.
LONGER_SECONDS = 0.3
ROUNDS = 5
ROUND_SECONDS = 9.0
CALLERS = 20
EXECUTION_SECONDS = 0.09


class Worker(standin_worker.StandInWorker):
    """Endpoint that records the requests that reach it."""

    deployment: "Silence"

    def _execute(self, channel, request) -> bool:
        self.deployment.record_run(self.identity, request.fields["request-id"])
        return super()._execute(channel, request)


class Silence(harness_3.Deployment):
    """Deployment whose channels to the store go silent."""

    def __init__(self, folder: pathlib.Path):
        super().__init__(folder)
        self.proxies: dict[str, soak_proxy.Proxy] = {}
        self.runs: list[tuple[float, str, str]] = []
        self.sent: dict[str, tuple[float, str, str]] = {}
        self.answers: dict[str, int] = {}
        # Identity of each endpoint that leaves, with the time of its removal and of the silence.
        self.removals: dict[str, tuple[float, float]] = {}
        self.is_finished = False

    def store_address(self, found: harness_3.GatewayProcess) -> str:
        """Return the address of the proxy through which a gateway reaches the store."""
        self.proxies[found.name] = soak_proxy.Proxy(self.store.address)
        return self.proxies[found.name].address

    def start_worker(self, identity: str) -> None:
        """Start an endpoint of the plain service."""
        worker = Worker(identity, "app")
        worker.deployment = self
        worker.execution_seconds = EXECUTION_SECONDS
        self.add_worker(worker)

    def record_run(self, identity: str, request_id: str) -> None:
        """Record that a request has reached an endpoint, which runs it."""
        self.runs.append((time.monotonic(), identity, request_id))
        self.record.write(f"{identity} runs {request_id}")

    def run_caller(self, number: int) -> None:
        """Send requests to all gateways in turn, each on a new connection."""
        while not self.is_finished:
            target = self.gateways[number % len(self.gateways)]
            number += 1
            kind = ("status", "filing")[number % 2]
            request_id = f"q{next(self.numbers)}"
            data = gateway_support.Site.encode(
                self, f"/{kind}/{request_id}", Request_Id=request_id, Deadline_Ms="1000"
            )
            self.sent[request_id] = (time.monotonic(), target.name, kind)
            self.record.write(f"{request_id} {kind} to {target.name}")
            reply = harness_3.exchange(target.listen["front"], data, 2.0)
            self.answers[request_id] = reply.status
            self.record.write(f"{request_id} gets {reply.status}")
            gevent.sleep(0.2)

    def run_round(self, number: int, has_trouble: bool) -> None:
        """Let one endpoint leave while another one takes its place."""
        leaving, following = f"app-{number}", f"app-{number + 3}"
        self.start_worker(following)
        gevent.sleep(2.0)
        silent_at = time.monotonic()
        if has_trouble:
            self.record.write("the open channels to the store go silent")
            for proxy in self.proxies.values():
                proxy.blackhole_connections()
        gevent.sleep(REMOVAL_SECONDS)
        self.silent.add(leaving)
        self.store.remove("servers", leaving)
        self.removals[leaving] = (time.monotonic(), silent_at)
        self.record.write(f"the store removes {leaving}")
        gevent.sleep(DRAIN_SECONDS + LONGER_SECONDS)
        self.workers[leaving].crash()
        self.record.write(f"{leaving} exits")
        gevent.sleep(ROUND_SECONDS - 2.0 - REMOVAL_SECONDS - DRAIN_SECONDS - LONGER_SECONDS)

    def late_requests(self) -> list[str]:
        """Return the requests that reached an endpoint too late after its removal."""
        found = []
        for at, identity, request_id in self.runs:
            if identity not in self.removals:
                continue
            removed_at, silent_at = self.removals[identity]
            sent_at, target, kind = self.sent[request_id]
            # Machines are in touch again so long after the silence began.
            in_touch_at = silent_at + STABLE_SECONDS
            if at > removed_at + DRAIN_SECONDS and sent_at > in_touch_at:
                found.append(
                    f"DRAIN {request_id} ({kind}) reached {identity} from {target}"
                    f" {at - removed_at:.2f} s after its removal, {sent_at - silent_at:.2f} s"
                    f" after the silence began; its caller got {self.answers.get(request_id)}"
                )
        return found


def main(has_trouble: bool) -> list[str]:
    """Run the rounds; return the breaks of the rule."""
    with Silence(FOLDER) as deployment:
        for number in range(3):
            deployment.start_worker(f"app-{number}")
        deployment.store.put("op", "config", gateway_support.configuration())
        deployment.start_gateways()
        callers = [deployment.spawn(deployment.run_caller, n) for n in range(CALLERS)]
        gevent.sleep(4.0)
        for number in range(ROUNDS):
            deployment.run_round(number, has_trouble)
        deployment.is_finished = True
        gevent.joinall(callers, timeout=3.0)
        breaks = deployment.late_requests()
        for line in breaks:
            deployment.record.write(line)
        return breaks


if __name__ == "__main__":
    harness_3.run_case(main)
