"""Seeded run of requests under injected faults that checks the guarantees given to callers."""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
import collections
import dataclasses
import json
import random
import re
import sys

import gevent

from bronzemux import (
    clock,
    config_edit,
    config_store,
    development,
    errors,
    http_client,
    porcelain,
    standin_engine,
    standin_platform,
    standin_response,
)
from features import support

CHAT_PATH = "/v1/chat/completions"
FILING_PATH = "/services/cases/filings"
STATUS_PATH = "/services/cases/status/1"
RESPONSE_WORDS = 12
MAX_ATTEMPTS = 80
RETRY_DELAY_SECONDS = 0.15
FAULT_DURATION_SECONDS = 0.4
# Streamed and unstreamed chat requests, filings at a plain service, unstreamed chat requests of a
# non-idempotent workload, and status look-ups at a plain service.
REQUEST_KINDS = ("stream", "whole", "filing", "letter", "status")
KIND_WEIGHTS = (35, 15, 30, 10, 10)
# The empty version is that of engines which state none.
SOFTWARE_VERSIONS = ("", "v1", "v2")
TEAMS = ("caseworkers", "lawyers", "public-portal")
FAULTS = (
    "engine crash",
    "engine silence",
    "engine refuses",
    "engine release",
    "parts lost",
    "parts doubled",
    "answers crossed",
    "events lost",
    "service crash before",
    "service crash after",
    "service refuses",
    "service silent",
    "service late",
    "service crossed",
    "service cut in answer",
    "platform down",
    "platform silence",
    "platform slow",
    "platform answers lost",
    "router crash",
    "router herd",
    "configuration change",
    "configuration race",
)


@dataclasses.dataclass
class Caller:
    """Caller with one request, which it retries until it gets a response or must not retry it.

    Attributes:
      kind: One of `REQUEST_KINDS`.
      team: Name of the team.
      key: Idempotency key.
      replies: Outcome of each attempt in order; ``broken`` when the connection failed or the
        response was incomplete.
      is_satisfied: Whether it received a complete response.
    """

    kind: str
    team: str
    key: str
    replies: list[str] = dataclasses.field(default_factory=list)
    is_satisfied: bool = False


class FaultRun:
    """Run of requests under injected faults, and the checks of the guarantees.

    Args:
      deployment: A started development deployment of the ``centre`` example.
      seed: Seed of requests and faults.
      faults: Kinds of faults to draw from.
      fault_interval_seconds: Mean time between injections, each of two kinds of faults, or of the
        only one; 0 for no faults.

    Attributes:
      violations: Violations found so far, one line each.
      counts: Number of attempts by kind and outcome, of faults by kind, and of other events.
      callers: Callers in the order in which they started.
      crashed_incarnations: Endpoint and incarnation of each injected engine crash.
    """

    def __init__(self, deployment, seed: int, faults=FAULTS, fault_interval_seconds: float = 0.25):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.faults = faults
        self.fault_interval_seconds = fault_interval_seconds
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.callers: list[Caller] = []
        self.is_over = False
        self.crashed_incarnations: set[tuple[str, str]] = set()

    def run(self, count: int, rate: float) -> None:
        """Send requests under faults, clear the faults, wait for all callers and check the run.

        Args:
          count: Number of requests.
          rate: Mean requests per second.
        """
        injector = gevent.spawn(self._inject_faults)
        greenlets = []
        for number in range(count):
            kind = self.random.choices(REQUEST_KINDS, KIND_WEIGHTS)[0]
            caller = Caller(kind, self.random.choice(TEAMS), f"key-{number}")
            if kind == "letter":
                caller.team = "intake"
            self.callers.append(caller)
            greenlets.append(gevent.spawn(self._run_caller, caller, random.Random(number)))
            gevent.sleep(self.random.expovariate(rate))
        self.is_over = True
        injector.join()
        self._clear_faults()
        gevent.joinall(greenlets, raise_error=True)
        self._check_run()

    # Callers

    def _run_caller(self, caller: Caller, rng: random.Random) -> None:
        for _ in range(MAX_ATTEMPTS):
            position = rng.randrange(len(self.deployment.routers))
            outcome = self._attempt(caller, position)
            caller.replies.append(outcome)
            self.counts[f"{caller.kind} {outcome}"] += 1
            if self._should_stop(caller, outcome):
                return
            gevent.sleep(RETRY_DELAY_SECONDS * (1 + rng.random()))

    def _should_stop(self, caller: Caller, outcome: str) -> bool:
        if outcome == "condemned":
            return True
        if outcome == "ran":
            caller.is_satisfied = True
            return True
        return outcome == "unknown" and caller.kind in ("filing", "letter")

    def _attempt(self, caller: Caller, position: int) -> str:
        try:
            return self._send(caller, position)
        except errors.EndpointError:
            return "broken"

    def _send(self, caller: Caller, position: int) -> str:
        address = support.router_address(self.deployment, position)
        key = self.deployment.key(caller.team)
        headers = {"Idempotency-Key": caller.key} if caller.kind in ("filing", "letter") else {}
        if caller.kind == "status":
            reply = support.send(address, "GET", STATUS_PATH, key)
        elif caller.kind == "filing":
            reply = support.send(address, "POST", FILING_PATH, key, caller.key.encode(), headers)
        else:
            reply = support.send(
                address, "POST", CHAT_PATH, key, self._encode_chat(caller), headers
            )
        return self._check_reply(caller, reply)

    def _encode_chat(self, caller: Caller) -> bytes:
        content = support.LONG_TEXT[:9000] + caller.key
        body = {
            "model": "statute-7b",
            "messages": [{"role": "user", "content": content}],
            "max_tokens": RESPONSE_WORDS,
            "stream": caller.kind == "stream",
        }
        return json.dumps(body).encode()

    # Checks of one response

    def _check_reply(self, caller: Caller, reply: support.Reply) -> str:
        outcome = reply.headers.get("X-Outcome", "broken")
        if reply.status == 409:
            return "in progress"
        if outcome == "not-run":
            self._check_not_run(caller)
        if reply.status != 200:
            kind = reply.json()["error"]["type"]
            return "condemned" if kind == "request_quarantined" else outcome
        if caller.kind == "stream":
            return self._check_stream(caller, reply)
        if caller.kind in ("whole", "letter"):
            text = reply.json()["choices"][0]["message"]["content"]
            self._check_text(caller, reply, text)
        if caller.kind == "filing":
            self._check_filing(caller, reply)
        return outcome

    def _check_not_run(self, caller: Caller) -> None:
        """Check that a request reported as not run did not run.

        The check applies only when all earlier attempts were reported as not run, because one of
        them may otherwise have run.
        """
        has_only_not_run = all(reply == "not-run" for reply in caller.replies)
        if has_only_not_run and self._executions(caller):
            self._add_violation("false not-run", caller)

    def _check_stream(self, caller: Caller, reply: support.Reply) -> str:
        numbers, text, is_done = [], "", False
        for event in http_client.iter_events(iter([reply.body])):
            lines = dict(
                line.split(b": ", 1) for line in event.split(b"\n") if line and line[:1] != b":"
            )
            data = lines[b"data"]
            is_done = data == b"[DONE]"
            if b"id" not in lines:
                return json.loads(data)["error"]["outcome"]
            numbers.append(int(lines[b"id"]))
            if not is_done:
                choices = json.loads(data)["choices"]
                text += "".join(c["delta"].get("content") or "" for c in choices)
        if numbers != sorted(set(numbers)):
            self._add_violation("stream out of order", caller)
        if not is_done:
            return "broken"
        self._check_text(caller, reply, text)
        return "ran"

    def _check_text(self, caller: Caller, reply: support.Reply, text: str) -> None:
        if not standin_response.is_complete_response(text, RESPONSE_WORDS):
            self._add_violation("answer not whole", caller)
        elif "X-Idempotent-Replay" not in reply.headers:
            job_id = text.split()[0].strip("<>").partition(".")[2]
            request_id = re.split(f"[.{standin_response.SOFTWARE_SEPARATOR}]", job_id)[0]
            if request_id != reply.headers["X-Request-Id"]:
                self._add_violation("crossed answer", caller)

    def _check_filing(self, caller: Caller, reply: support.Reply) -> None:
        executions = self._executions(caller)
        number = reply.json().get("filing")
        if number not in [filing.number for filing in executions]:
            self._add_violation("response of another filing", caller)

    def _executions(self, caller: Caller) -> list:
        if caller.kind == "filing":
            services = self.deployment.services.values()
            return [f for s in services for f in s.filings if f.content == caller.key.encode()]
        if caller.kind == "letter":
            found = self.deployment.executions()
            return [item for item in found if item.idempotency_key == caller.key]
        return []

    def _add_violation(self, violation: str, caller: Caller) -> None:
        self.violations.append(f"{violation}: {caller.kind} {caller.key} after {caller.replies}")

    # Checks of the whole run

    def _check_run(self) -> None:
        for caller in self.callers:
            if caller.replies[-1] == "condemned":
                self._check_quarantined(caller)
                continue
            count = len(self._executions(caller))
            if count > 1:
                self._add_violation(f"ran {count} times", caller)
            if caller.kind in ("filing", "letter") and caller.is_satisfied and count != 1:
                self._add_violation("response without exactly one execution", caller)
            if caller.kind not in ("filing", "letter") and not caller.is_satisfied:
                self._add_violation("lost", caller)
            is_unanswered = caller.kind in ("filing", "letter") and not caller.is_satisfied
            if is_unanswered and caller.replies[-1] != "unknown":
                self._add_violation("lost", caller)

    def _check_quarantined(self, caller: Caller) -> None:
        """Check that a quarantined request ran at two or more incarnations that crashed."""
        endings = (f"{caller.key}\n", caller.key)
        incarnations = {
            (item.endpoint, item.incarnation)
            for item in self.deployment.executions()
            if item.tail.endswith(endings)
        }
        if len(incarnations & self.crashed_incarnations) < 2:
            self._add_violation("quarantined without two crashes", caller)
        self.counts["quarantined requests"] += 1

    # Faults

    def _inject_faults(self) -> None:
        while not self.is_over and self.fault_interval_seconds:
            gevent.sleep(self.random.expovariate(1 / self.fault_interval_seconds))
            for kind in self.random.sample(self.faults, min(2, len(self.faults))):
                self.counts[f"fault {kind}"] += 1
                gevent.spawn(self._apply_fault, kind)

    def _apply_fault(self, kind: str) -> None:
        target, _, fault = kind.partition(" ")
        {
            "engine": self._apply_engine_fault,
            "parts": self._apply_part_fault,
            "answers": self._apply_part_fault,
            "events": self._apply_part_fault,
            "service": self._apply_service_fault,
            "platform": self._apply_platform_fault,
            "router": self._apply_router_fault,
            "configuration": self._apply_configuration_fault,
        }[target](fault)

    def _apply_engine_fault(self, fault: str) -> None:
        engine = self.random.choice(list(self.deployment.engines.values()))
        if not engine.is_up:
            return
        if fault in ("crash", "release"):
            self.crashed_incarnations.add((engine.settings.name, engine.incarnation))
            engine.crash()
            if fault == "release":
                engine.software = self.random.choice(SOFTWARE_VERSIONS)
            else:
                gevent.sleep(FAULT_DURATION_SECONDS)
            engine.restart()
        elif fault == "silence":
            engine.mute_open_connections()
        else:
            engine.faults.refuses = True
            gevent.sleep(FAULT_DURATION_SECONDS)
            engine.faults.refuses = False

    def _apply_part_fault(self, fault: str) -> None:
        """Inject a fault of response parts, responses or cache events at one engine.

        ``lost`` omits parts of responses or cache events, drawn at random; it omits parts when
        cache events are still to be omitted.
        """
        engine = self.random.choice(list(self.deployment.engines.values()))
        faults = engine.faults
        if fault == "crossed":
            faults.crossed_answers = 2
        elif fault == "doubled":
            faults.doubled_parts = 5
        elif engine.faults.dropped_events or self.random.random() < 0.5:
            faults.skipped_parts = 2
        else:
            faults.dropped_events = 20

    def _apply_service_fault(self, fault: str) -> None:
        modes = {
            "crash before": "crash_before",
            "crash after": "crash_after",
            "refuses": "refuse",
            "silent": "silent_after",
            "late": "late",
            "crossed": "crossed",
            "cut in answer": "cut_in_answer",
        }
        service = self.random.choice(list(self.deployment.services.values()))
        service.next_fault_modes = [modes[fault]] * 2

    def _apply_platform_fault(self, fault: str) -> None:
        faults = self.deployment.platform.faults
        if fault == "answers lost":
            faults.lost_answers = 3
            return
        if fault == "silence":
            self.deployment.platform.mute_open_connections()
            return
        if fault == "down":
            faults.is_down = True
        else:
            faults.delay_seconds = 0.1
        gevent.sleep(FAULT_DURATION_SECONDS)
        faults.is_down = False
        faults.delay_seconds = 0.0

    def _apply_router_fault(self, fault: str) -> None:
        count = len(self.deployment.routers)
        positions = range(count) if fault == "herd" else [self.random.randrange(count)]
        running = [n for n in positions if self.deployment.routers[n].server.started]
        for position in running:
            self.deployment.crash_router(position)
        gevent.sleep(FAULT_DURATION_SECONDS)
        for position in running:
            self.deployment.start_router(position)

    def _apply_configuration_fault(self, fault: str) -> None:
        operators = 2 if fault == "race" else 1
        gevent.joinall([gevent.spawn(self._set_random_preset) for _ in range(operators)])

    def _set_random_preset(self) -> None:
        preset = self.random.choice(("ordinary", "peak", "maintenance"))
        store = config_store.ConfigStore(self.deployment.platform.table, clock.SystemClock())
        try:
            porcelain.edit_config(store, config_edit.set_preset(preset), "run", preset)
        except errors.ConfigConflictError:
            self.counts["configuration conflicts"] += 1

    def _clear_faults(self) -> None:
        gevent.sleep(2 * FAULT_DURATION_SECONDS)
        self.deployment.platform.faults = standin_platform.Faults()
        for engine in self.deployment.engines.values():
            engine.faults = standin_engine.Faults()
            if not engine.is_up:
                engine.restart()
        for service in self.deployment.services.values():
            service.next_fault_modes = []

    def unknown_fraction(self) -> float:
        """Return the fraction of non-idempotent requests whose outcome remained unknown."""
        non_idempotent = [c for c in self.callers if c.kind in ("filing", "letter")]
        unknown = [c for c in non_idempotent if c.replies and c.replies[-1] == "unknown"]
        return len(unknown) / max(1, len(non_idempotent))


def remove_limits(text: str) -> str:
    """Return a configuration document with team limits that a run does not reach.

    Args:
      text: TOML document.
    """
    from bronzemux import config, config_edit

    for team in config.loads(text).teams:
        limits = config.Limits(1e6, 1e12, 10_000)
        text = config_edit.apply(text, config_edit.set_limits(team.name, limits))
    return text


def main(arguments: list[str]) -> int:
    """Run a fault run from the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    settings = development.DevelopmentSettings(
        text=remove_limits(support.example("centre")),
        routers=3,
        token_seconds=0.002,
        speed=20.0,
        progress_seconds=0.5,
        late_answer_seconds=2.0,
    )
    deployment = development.DevelopmentDeployment(settings, clock.SystemClock())
    deployment.start()
    run = FaultRun(deployment, options.seed)
    run.run(options.requests, options.rate)
    deployment.stop()
    for name, count in sorted(run.counts.items()):
        print(f"{count:7d}  {name}")
    print(f"unknown outcomes: {run.unknown_fraction():.4f} of non-idempotent requests")
    for violation in run.violations:
        print(f"violation: {violation}")
    print(f"{len(run.violations)} violations in {options.requests} requests, seed {options.seed}")
    return 1 if run.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
