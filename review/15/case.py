"""A request that crashes endpoints is not kept away from them if all machines are killed in between.

The crashes that were counted against it are in the memory of the gateways only. Each time that all
of them are killed at once, the counting starts anew.
"""

from gevent import monkey

monkey.patch_all()

import pathlib
import signal
import time

import gevent

from bronzemux.platform import standin_worker
from features import gateway_support
from review import harness_3

FOLDER = pathlib.Path(__file__).resolve().parent
STABLE_SECONDS = harness_3.BOUNDS["stable_window_ms"] / 1000
# A crash of an endpoint counts as the third by the rule.
COUNTED_CRASHES = 3
ALLOWED_RETRIES = 3
TARGET = "/filing/deadly"
# An endpoint that crashed is back after some seconds.
RESTART_SECONDS = 2.0
# From the kill to the start of the processes.
DOWN_SECONDS = 0.5
KILLS = 2
ATTEMPTS_BETWEEN_KILLS = 2
ATTEMPT_SECONDS = 3.6
CALLERS = 4


class Worker(standin_worker.StandInWorker):
    """Endpoint that crashes when it begins to run the request."""

    deployment: "Crashes"

    def _execute(self, channel, request) -> bool:
        self.deployment.record.write(
            f"{self.identity} runs {request.fields['request-id']} {request.target}"
        )
        if request.target != TARGET:
            return super()._execute(channel, request)
        self.deployment.record_crash(self.identity, request.fields["request-id"])
        self.crash()
        gevent.spawn_later(RESTART_SECONDS, self.come_back)
        return False

    def come_back(self) -> None:
        """Start again under the same identity."""
        self.started_at_ms += 1000
        self.reopen()
        self.deployment.silent.discard(self.identity)
        self.deployment.write_entry(self)
        self.deployment.record.write(f"{self.identity} is back")


class Crashes(harness_3.Deployment):
    """Deployment with a request that crashes endpoints."""

    def __init__(self, folder: pathlib.Path):
        super().__init__(folder)
        self.crashes: list[tuple[float, str, str]] = []
        self.sent: dict[str, str] = {}
        # Name of a gateway, and time at which it was started again after a kill.
        self.disruptions: list[tuple[str, float]] = []
        self.is_finished = False

    def record_crash(self, identity: str, request_id: str) -> None:
        """Record that an endpoint crashes."""
        self.crashes.append((time.monotonic(), identity, request_id))
        self.silent.add(identity)
        self.record.write(f"{identity} crashes on {request_id} from {self.sent[request_id]}")

    def send(self, target, path: str) -> int:
        """Send a request to a gateway; return the status, 0 for none."""
        request_id = f"q{next(self.numbers)}"
        self.sent[request_id] = target.name
        data = gateway_support.Site.encode(
            self, path, Request_Id=request_id, Deadline_Ms="1000", body=b"the same body"
        )
        self.record.write(f"{request_id} {path} to {target.name}")
        status = harness_3.exchange(target.listen["front"], data, 2.0).status
        self.record.write(f"{request_id} gets {status}")
        return status

    def run_caller(self, number: int) -> None:
        """Send sound requests to all gateways in turn."""
        while not self.is_finished:
            number += 1
            self.send(self.gateways[number % len(self.gateways)], f"/status/{number}")
            gevent.sleep(0.3)

    def send_deadly(self, number: int) -> None:
        """Send the request that crashes endpoints; it comes at any machine."""
        self.send(self.gateways[number % len(self.gateways)], TARGET)

    def kill_all(self) -> None:
        """Kill all gateways at once, and start them again."""
        running = [gevent.spawn(g.restart, signal.SIGKILL, DOWN_SECONDS) for g in self.gateways]
        gevent.joinall(running, raise_error=True)
        now = time.monotonic()
        self.disruptions += [(found.name, now) for found in self.gateways]

    def late_retries(self) -> list[str]:
        """Return the retries that reached endpoints later than allowed after the third crash."""
        if len(self.crashes) < COUNTED_CRASHES:
            return []
        third_at = self.crashes[COUNTED_CRASHES - 1][0]
        return [
            f"{request_id} crashed {identity} {at - third_at:.1f} s after the third crash"
            for at, identity, request_id in self.crashes[COUNTED_CRASHES:]
            if at > third_at + STABLE_SECONDS and self.was_in_touch(self.sent[request_id], at)
        ]

    def was_in_touch(self, name: str, at: float) -> bool:
        """Return whether a gateway was in touch when it sent a request."""
        starts = [s for n, s in self.disruptions if n == name and s <= at]
        return all(at - start > STABLE_SECONDS for start in starts)


def main(has_trouble: bool) -> list[str]:
    """Send the request again and again; return the breaks of the rule."""
    with Crashes(FOLDER) as deployment:
        for number in range(3):
            worker = Worker(f"app-{number}", "app")
            worker.deployment = deployment
            deployment.add_worker(worker)
        deployment.store.put("op", "config", gateway_support.configuration())
        deployment.start_gateways()
        callers = [deployment.spawn(deployment.run_caller, n) for n in range(CALLERS)]
        gevent.sleep(STABLE_SECONDS + 1.0)
        number = 0
        for _ in range(KILLS + 1):
            for _ in range(ATTEMPTS_BETWEEN_KILLS):
                deployment.send_deadly(number)
                number += 1
                gevent.sleep(ATTEMPT_SECONDS)
            if has_trouble and number <= KILLS * ATTEMPTS_BETWEEN_KILLS:
                deployment.record.write("all gateways are killed")
                deployment.kill_all()
                for found in deployment.gateways:
                    deployment.await_ready(found)
                gevent.sleep(STABLE_SECONDS + 0.5)
        for _ in range(3):
            deployment.send_deadly(number)
            number += 1
            gevent.sleep(ATTEMPT_SECONDS)
        deployment.is_finished = True
        gevent.joinall(callers, timeout=3.0)
        late = deployment.late_retries()
        deployment.record.write(f"{len(deployment.crashes)} crashes, {len(late)} late retries")
        if len(late) <= ALLOWED_RETRIES:
            return []
        for line in late:
            deployment.record.write(line)
        return [f"BUDGET {len(late)} retries, {ALLOWED_RETRIES} are allowed", *late]


if __name__ == "__main__":
    harness_3.run_case(main)
